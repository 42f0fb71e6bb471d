"""Packets of one caller, read whole and bounded."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from io import BytesIO
from ssl import SSLContext
from typing import Any

from mysql_mimic.stream import ConnectionClosed, MysqlStream

from cowslipfork_proxy.callers.failures import (
    CallerFailure,
    MysqlErrorCode,
    mysql_failure,
)

_HEADER_BYTES = 4
_LENGTH_MASK = 0xFFFFFF
_SEQUENCE_SHIFT = 24
_SKIP_BYTES = 65_536

#: A longer first packet holds a user name, and a shorter one asks for TLS.
_TLS_REQUEST_BYTES = 32

#: The library looks for the ends of user, database and plugin without end.
_TERMINATORS = bytes(3)


class PacketTooLong(CallerFailure):
    """A packet over the limit; it was passed over, so reading goes on."""

    def __init__(self, limit: int) -> None:
        """Tells the limit.

        Args:
            limit: in bytes.
        """
        errno, sqlstate = MysqlErrorCode.STATEMENT_TOO_LONG.value
        text = f'statement is longer than {limit} bytes; it was not run'
        super().__init__(errno, sqlstate, text)


class CallerReader(asyncio.StreamReader):
    """A reader that tells at once when the caller goes away."""

    def __init__(self) -> None:
        """Starts with nobody to tell."""
        super().__init__()
        self.gone: Callable[[], None] | None = None

    def feed_eof(self) -> None:
        """Notes the end and tells it."""
        super().feed_eof()
        if self.gone is not None:
            self.gone()

    def set_exception(self, exc: Exception) -> None:
        """Notes a broken connection and tells it.

        Args:
            exc: what broke it.
        """
        super().set_exception(exc)
        if self.gone is not None:
            self.gone()

    def take_buffered(self) -> bytes:
        """Takes what has come and nobody has read.

        Returns:
            The bytes; the buffer is empty afterwards.
        """
        buffered: bytearray = self._buffer  # type: ignore[attr-defined]
        content = bytes(buffered)
        buffered.clear()
        return content


class CallerStream:
    """The library's stream with a length limit and whole headers.

    The library reads a header in one step, which fails when the network
    splits it, and buffers a packet of any length. Its class is compiled and
    can't be inherited from, so writing is handed on to it.
    """

    __slots__ = (
        '_library',
        '_reader',
        '_writer',
        'drain',
        'limit',
        'login',
        'reset_seq',
        'write',
        'write_many',
        'write_text_rows',
    )

    def __init__(
        self,
        reader: CallerReader,
        writer: asyncio.StreamWriter,
        limit: int,
    ) -> None:
        """Wraps a connection.

        Args:
            reader: bytes of the caller.
            writer: bytes to the caller.
            limit: longest packet in bytes.
        """
        library = MysqlStream(reader, writer)
        self._library = library
        self._reader = reader
        self._writer = writer
        self.limit = limit
        self.login = True
        self.write = library.write
        self.write_many = library.write_many
        self.write_text_rows = library.write_text_rows
        self.drain = library.drain
        self.reset_seq = library.reset_seq

    @property
    def closing(self) -> bool:
        """Whether the caller went away."""
        return self._reader.at_eof() or self._writer.is_closing()

    def when_gone(self, tell: Callable[[], None] | None) -> None:
        """Sets who hears that the caller went away.

        Args:
            tell: called once; None for nobody.
        """
        self._reader.gone = tell

    def write_last(self, packet: bytes, sequence: int) -> None:
        """Writes a packet out of turn and ends the sending side.

        Args:
            packet: its payload.
            sequence: its number; 1 answers the next command.
        """
        head = len(packet) | sequence << _SEQUENCE_SHIFT
        header = head.to_bytes(_HEADER_BYTES, 'little')
        self._writer.write(header + packet)
        if self._writer.can_write_eof():
            self._writer.write_eof()

    async def drain_within(self, seconds: float) -> None:
        """Waits until the caller has read most of what was written.

        Args:
            seconds: longest wait.

        Raises:
            ConnectionClosed: it took longer; the connection was aborted.
        """
        try:
            async with asyncio.timeout(seconds):
                await self.drain()
        except TimeoutError as error:
            self._writer.transport.abort()
            raise ConnectionClosed from error

    async def read(self) -> bytes:
        """Reads one packet.

        Returns:
            Payload, joined over continued packets.

        Raises:
            ConnectionClosed: the caller went away.
            PacketTooLong: it was passed over.
        """
        length = await self._header()
        if length == _LENGTH_MASK or length > self.limit:
            return await self._long(length)
        packet = await self._exactly(length)
        if self.login and length > _TLS_REQUEST_BYTES:
            return packet + _TERMINATORS
        return packet

    async def start_tls(self, context: SSLContext) -> None:
        """Goes on under TLS.

        A caller sends its first TLS message right behind its request for
        TLS, so that it may be in the reader already. The loop's upgrade
        reads from the socket only. One round of the loop later its protocol
        has taken the reader's place, and nothing more comes to the reader;
        after another round it is connected and takes what came early.

        Args:
            context: certificate and key.
        """
        upgrade = asyncio.ensure_future(self._library.start_tls(context))
        await asyncio.sleep(0)
        early = self._reader.take_buffered()
        await asyncio.sleep(0)
        if early:
            _feed(self._writer.transport.get_protocol(), early)
        await upgrade

    async def _long(self, length: int) -> bytes:
        parts: list[bytes] = []
        total = length
        while total <= self.limit:
            parts.append(await self._exactly(length))
            if length < _LENGTH_MASK:
                return b''.join(parts)
            length = await self._header()
            total += length
        await self._skip(length)
        raise PacketTooLong(self.limit)

    async def _skip(self, length: int) -> None:
        await self._discard(length)
        while length == _LENGTH_MASK:
            length = await self._header()
            await self._discard(length)

    async def _discard(self, length: int) -> None:
        while length:
            part = await self._exactly(min(length, _SKIP_BYTES))
            length -= len(part)

    async def _header(self) -> int:
        head = int.from_bytes(await self._exactly(_HEADER_BYTES), 'little')
        expected = next(self._library.seq)
        sequence = head >> _SEQUENCE_SHIFT
        if sequence != expected:
            raise mysql_failure(
                MysqlErrorCode.MALFORMED_PACKET,
                f'packet {sequence} came instead of {expected}',
            )
        return head & _LENGTH_MASK

    async def _exactly(self, length: int) -> bytes:
        try:
            return await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise ConnectionClosed from error


def _feed(protocol: Any, content: bytes) -> None:
    room = protocol.get_buffer(len(content))
    protocol.buffer_updated(BytesIO(content).readinto(room))
