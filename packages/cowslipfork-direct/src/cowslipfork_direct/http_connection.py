"""A connection that carries one HTTP/1.1 request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

import h11

from cowslipfork.errors import CowslipforkError
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.connection_reset import (
    reset,
    reset_at_end,
    reset_unless_received,
)
from cowslipfork_direct.order_window import may_send

#: Most bytes read from a socket at a time.
_READ_SIZE: Final = 65_536

_CLOSED_EARLY: Final = 'connection closed before the end of the response'


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete response.

    Attributes:
        status: status code.
        body: complete body.
        headers: headers by name in lower case.
    """

    status: int
    body: bytes
    headers: Mapping[str, str]


class ResponseTooLong(CowslipforkError):
    """A response exceeds its limit; says how long it is, or by now."""


class RequestExpired(CowslipforkError):
    """The deadline of a request passed before it was sent."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request.

    Attributes:
        method: HTTP method.
        path: path and query.
        body: its body; empty for none.
        headers: additional headers.
        deadline: boot time after which the request must not arrive any more;
            None if it may arrive late. Its connection is reset then, and if
            the process ends or is stopped before.
    """

    method: str
    path: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    deadline: float | None = None


class HttpConnection:
    """A connection and the state of its HTTP/1.1 exchange."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        host: str,
    ) -> None:
        """Wraps an open connection.

        Args:
            reader: reading end of the connection.
            writer: writing end.
            host: address of the server, for the requests' headers.
        """
        self._reader = reader
        self._writer = writer
        self._host = host
        self._state = h11.Connection(h11.CLIENT)
        self._received = 0
        self._max_size: int | None = None

    @property
    def received(self) -> int:
        """Bytes received of the last response."""
        return self._received

    @property
    def usable(self) -> bool:
        """Whether the last exchange left this connection open for another."""
        return (
            self._state.our_state is h11.IDLE
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    async def is_silent(self) -> bool:
        """Tells whether nothing has arrived since the last response.

        Whatever arrives while no request is outstanding, the end of the
        connection included, answers no later request.
        """
        # While the first read waits, the event loop reads from the socket.
        has_input = await self._has_input()
        return not (has_input or await self._has_input())

    def close(self) -> None:
        """Closes once all bytes are sent."""
        self._writer.close()

    def abort(self) -> None:
        """Resets the connection: what is still on its way never arrives."""
        reset(self._writer)

    async def exchange(
        self,
        request: HttpRequest,
        max_size: int | None,
        on_received: Callable[[], None],
    ) -> HttpReply:
        """Sends a request and reads its response.

        Args:
            request: the request.
            max_size: most bytes to read; None for no limit.
            on_received: called whenever a part of the response has arrived.

        Raises:
            RequestExpired: it was too late to send the request.
            ResponseTooLong: the response is longer than ``max_size``.
        """
        head = h11.Request(
            method=request.method,
            target=request.path,
            headers=[
                ('Host', self._host),
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(request.body))),
                *request.headers,
            ],
        )
        events = (head, h11.Data(data=request.body), h11.EndOfMessage())
        encoded = b''.join(self._state.send(event) or b'' for event in events)
        self._received = 0
        if request.deadline is not None:
            self._limit_arrival(request.deadline)
        self._writer.write(encoded)
        self._max_size = max_size
        reply = await self._read_response(on_received)
        surplus, _ = self._state.trailing_data
        if self._state.our_state is h11.DONE and not surplus:
            self._state.start_next_cycle()
        return reply

    def _limit_arrival(self, deadline: float) -> None:
        """Ensures that what is written next doesn't arrive late.

        Opening the connection may have taken long: the machine may have been
        suspended meanwhile.
        """
        now = boot_time()
        if not may_send(deadline, now):
            raise RequestExpired('the deadline passed before it was sent')
        reset_at_end(self._writer)
        reset_unless_received(self._writer, deadline - now)

    async def _has_input(self) -> bool:
        """Tells whether a read ends at once: with bytes, an end or an error."""
        try:
            async with asyncio.timeout(0):
                await self._reader.read(1)
        except TimeoutError:
            return False
        except OSError:
            return True
        return True

    async def _read_response(
        self, on_received: Callable[[], None]
    ) -> HttpReply:
        head = await self._read_head(on_received)
        headers = {
            name.decode(): text.decode('latin-1') for name, text in head.headers
        }
        length = headers.get('content-length', '')
        self._ensure_short(int(length) if length.isdecimal() else 0)
        parts: list[bytes] = []
        event = await self._next_event(on_received)
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            event = await self._next_event(on_received)
        if not isinstance(event, h11.EndOfMessage):
            raise h11.RemoteProtocolError(_CLOSED_EARLY)
        return HttpReply(head.status_code, b''.join(parts), headers)

    async def _read_head(self, on_received: Callable[[], None]) -> h11.Response:
        """Reads the start of a response; interim responses are skipped."""
        event = await self._next_event(on_received)
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event(on_received)
        if not isinstance(event, h11.Response):
            raise h11.RemoteProtocolError(_CLOSED_EARLY)
        return event

    async def _next_event(self, on_received: Callable[[], None]) -> object:
        event = self._state.next_event()
        while event is h11.NEED_DATA:
            chunk = await self._reader.read(_READ_SIZE)
            self._received += len(chunk)
            self._ensure_short(self._received)
            on_received()
            self._state.receive_data(chunk)
            event = self._state.next_event()
        return event

    def _ensure_short(self, size: int) -> None:
        if self._max_size is not None and size > self._max_size:
            raise ResponseTooLong(f'{size} bytes, {self._max_size} allowed')
