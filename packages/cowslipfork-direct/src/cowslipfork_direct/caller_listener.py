"""Accepts callers' connections, whatever their protocol."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from typing import Final

from cowslipfork_direct.connected_callers import ConnectedCallers
from cowslipfork_direct.counting_reader import CountingReader
from cowslipfork_direct.relay import Address

#: Listen backlog: connections that may wait to be accepted.
BACKLOG: Final = 1024

#: Serves a caller on an open connection until it ends. It notes the caller as
#: connected before it waits for anything.
ServeCaller = Callable[[CountingReader, asyncio.StreamWriter], Awaitable[None]]


class CallerListener:
    """The socket on which callers connect."""

    def __init__(
        self, serve: ServeCaller, callers: ConnectedCallers, max_line: int
    ) -> None:
        """Creates a listener that accepts no caller until ``listen``.

        Args:
            serve: serves a caller.
            callers: callers that are connected to the node.
            max_line: longest line in bytes that callers may send.
        """
        self._serve = serve
        self._callers = callers
        self._max_line = max_line
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._late_connections: set[asyncio.Task[object]] = set()

    async def listen(self, address: Address) -> asyncio.Server:
        """Starts to accept callers.

        Args:
            address: address to listen on.
        """
        loop = asyncio.get_running_loop()
        self._socket = socket.create_server(
            (address.host, address.port), backlog=BACKLOG
        )
        self._server = await loop.create_server(
            self._make_protocol, sock=self._socket, backlog=BACKLOG
        )
        return self._server

    def stop_accepting(self) -> None:
        """Accepts callers who have connected already, and no further ones."""
        if self._server is None or self._socket is None:
            return
        loop = asyncio.get_running_loop()
        for accepted in _accept_waiting(self._socket):
            late = loop.create_task(
                loop.connect_accepted_socket(self._make_protocol, accepted)
            )
            self._late_connections.add(late)
            late.add_done_callback(self._late_connections.discard)
        self._server.close()

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        reader = CountingReader(self._max_line)
        self._callers.count_accepted()

        async def serve(
            _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._callers.count_served()
            await self._serve(reader, writer)

        return asyncio.StreamReaderProtocol(reader, serve)


def _accept_waiting(listening: socket.socket) -> Iterator[socket.socket]:
    """Accepts the connections that wait in a socket's backlog."""
    with suppress(OSError):
        yield from iter(lambda: listening.accept()[0], None)
