"""Lines over a connection; lines sent at the same time share one write."""

from __future__ import annotations

import asyncio
from typing import Final

from cowslipfork_direct.peers.codec import MalformedLine
from cowslipfork_direct.relay import Streams

#: Greatest length of a line in bytes. A statement or an answer of 1 MiB grows
#: when it is encoded as JSON.
MAX_LINE: Final = 4_194_304

#: Most bytes that are read at a time.
CHUNK_SIZE: Final = 262_144

_LINE_FEED: Final = b'\n'


class LineStream:
    """Sends and receives lines on one connection."""

    def __init__(self, streams: Streams) -> None:
        """Starts with nothing sent or received.

        Args:
            streams: reader and writer of the connection.
        """
        self._reader = streams[0]
        self._writer = streams[1]
        self._loop = asyncio.get_running_loop()
        self._partial = bytearray()
        self._queued: list[bytes] = []
        self._written = 0
        self._closed = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait because the other end receives them slowly."""
        return self._writer.transport.get_write_buffer_size()

    def send(self, line: bytes) -> int:
        """Sends a line at the end of this iteration of the event loop.

        Args:
            line: the line with its line feed.

        Returns:
            Number of this line in the order in which lines are sent, from 1.
        """
        if self._closed:
            return self._written + 1
        if not self._queued:
            self._loop.call_soon(self._write_queued)
        self._queued.append(line)
        return self._written + len(self._queued)

    def was_written(self, number: int) -> bool:
        """Returns whether any byte of a line may have been sent.

        Args:
            number: number of the line.
        """
        return number <= self._written

    async def receive(self) -> list[bytes]:
        """Waits for bytes of the other end.

        Returns:
            Complete lines without line feeds; none if the bytes belong to a
            line that is not complete yet.

        Raises:
            OSError: the connection ended.
            MalformedLine: a line is too long.
        """
        chunk = await self._reader.read(CHUNK_SIZE)
        if not chunk:
            raise ConnectionResetError('closed by the other end')
        *lines, rest = chunk.split(_LINE_FEED)
        if lines and self._partial:
            lines[0] = bytes(self._partial + lines[0])
            self._partial.clear()
        self._partial += rest
        if len(self._partial) > MAX_LINE or (
            lines and len(lines[0]) > MAX_LINE
        ):
            raise MalformedLine(f'line of more than {MAX_LINE} bytes')
        return lines

    def close(self) -> None:
        """Closes the connection once written lines are sent."""
        self._closed = True
        self._writer.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._closed = True
        self._writer.transport.abort()

    def _write_queued(self) -> None:
        if self._closed or self._writer.is_closing():
            return
        lines = self._queued
        self._queued = []
        self._written += len(lines)
        self._writer.write(b''.join(lines))
