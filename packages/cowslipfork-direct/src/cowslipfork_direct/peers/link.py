"""One end of a peer link: lines with a heartbeat."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from typing import Final

from cowslipfork_direct.peers.codec import encode_line
from cowslipfork_direct.peers.frames import Ping, Pong
from cowslipfork_direct.peers.heartbeat import (
    Heartbeat,
    HeartbeatActions,
    HeartbeatLimits,
)
from cowslipfork_direct.peers.line_stream import LineStream
from cowslipfork_direct.relay import Streams

#: Seconds between two signs of life to the other end while a long line of it
#: arrives: its ping waits behind that line.
SIGN_OF_LIFE_INTERVAL: Final = 0.1

_PING: Final = encode_line(Ping())
_PONG: Final = encode_line(Pong())


@dataclass(frozen=True, slots=True)
class LinkEvents:
    """What the owner of a link is told and asked.

    Attributes:
        expects_bytes: returns whether the other end should show that it is
            alive, after some of its lines were handled.
        on_silent: called when it has not done so in time.
        on_unused: called when the link has not been used for a while.
    """

    expects_bytes: Callable[[], bool]
    on_silent: Callable[[], None]
    on_unused: Callable[[], None]


class Link:
    """Sends and receives lines, and notices that the other end is silent."""

    def __init__(
        self,
        streams: Streams,
        limits: HeartbeatLimits,
        events: LinkEvents,
    ) -> None:
        """Starts the heartbeat.

        Args:
            streams: reader and writer of the connection.
            limits: times of the heartbeat.
            events: functions of the owner.
        """
        self._stream = LineStream(streams)
        self._events = events
        self._clock = asyncio.get_running_loop().time
        self._sent_at = self._clock()
        self._heartbeat = Heartbeat(
            limits,
            HeartbeatActions(
                lambda: self._send_control(_PING),
                events.on_silent,
                events.on_unused,
            ),
        )

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait because the other end receives them slowly."""
        return self._stream.unsent_bytes

    def send(self, line: bytes) -> int:
        """Sends a line; returns its number for ``was_written``.

        Args:
            line: the line with its line feed.
        """
        return self._stream.send(line)

    def send_pong(self) -> None:
        """Shows the other end that this one is alive."""
        self._send_control(_PONG)

    def was_written(self, number: int) -> bool:
        """Returns whether any byte of a line may have been sent.

        Args:
            number: number of the line.
        """
        return self._stream.was_written(number)

    def expect_bytes(self) -> None:
        """Expects a sign of life of the other end from now on."""
        self._heartbeat.expect()

    async def lines(self) -> AsyncGenerator[bytes, None]:
        """Yields the lines of the other end until the connection ends.

        Raises:
            OSError: the connection ended.
            MalformedLine: a line is too long.
        """
        while True:
            lines = await self._stream.receive()
            self._heartbeat.record_received()
            if not lines:
                self._show_life()
            for line in lines:
                yield line
            if self._events.expects_bytes():
                self._heartbeat.expect()

    def close(self) -> None:
        """Closes the connection once written lines are sent."""
        self._heartbeat.stop()
        self._stream.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._heartbeat.stop()
        self._stream.abort()

    def _show_life(self) -> None:
        if self._clock() - self._sent_at >= SIGN_OF_LIFE_INTERVAL:
            self._send_control(_PONG)

    def _send_control(self, line: bytes) -> None:
        self._sent_at = self._clock()
        self._stream.send(line)
