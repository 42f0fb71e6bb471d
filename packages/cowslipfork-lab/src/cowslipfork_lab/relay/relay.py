"""Listeners that stand before processes and pass bytes on by rules."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from cowslipfork_lab.relay.owners import owner_of
from cowslipfork_lab.relay.rules import ANY, Rules, TrafficPolicy

_HOST = '127.0.0.1'
_CHUNK_BYTES = 65536
_CHUNKS_IN_FLIGHT = 256

#: Connections that fill a queue of length 0.
_QUEUE_FILLERS = 2


@dataclass(frozen=True, slots=True)
class _Direction:
    source: str
    destination: str


@dataclass(slots=True)
class _Listener:
    """A port before a process.

    Attributes:
        port: port of the listener.
        target: port of the process.
        server: accepts connections; None while the port is dark.
        unanswering: sockets that keep the port from answering meanwhile.
    """

    port: int
    target: int
    server: asyncio.Server | None = None
    unanswering: list[socket.socket] = field(default_factory=list)


class Relay:
    """Stands before any number of processes.

    Bytes that a silent rule holds up are delivered once it ends, unless their
    sender has reset the connection.

    Attributes:
        rules: what happens to the bytes.
        on_sent: called with sender and receiver before a rule is applied to
            what was sent.
    """

    def __init__(self) -> None:
        """Starts without listeners."""
        self.rules = Rules()
        self.on_sent: Callable[[str, str], None] = _ignore
        self._names: dict[int, str] = {}
        self._listeners: dict[str, _Listener] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._open: dict[asyncio.StreamWriter, _Direction] = {}
        self._hushed: set[asyncio.StreamWriter] = set()

    def register_process(self, pid: int, name: str) -> None:
        """Names a process, so that rules find its connections."""
        self._names[pid] = name

    async def listen(self, name: str, target: int, port: int = 0) -> int:
        """Stands before a process.

        Args:
            name: name of the process.
            target: its port on the loopback address.
            port: port of the listener; 0 lets the system choose.

        Returns:
            Port of the listener.
        """

        listener = _Listener(port, target)
        self._listeners[name] = listener
        await self.unblock_port(name)
        return listener.port

    def block_port(self, name: str) -> None:
        """Has nobody answer before a process, as if its machine were gone.

        New connections neither open nor are refused; open ones stay, to be
        silenced by a rule.
        """
        listener = self._listeners[name]
        if listener.server is not None:
            listener.server.close()
            listener.server = None
            listener.unanswering = _unanswering(listener.port)

    def reset(self, source: str, destination: str) -> None:
        """Breaks open connections of a process to another one.

        Args:
            source: process that opened them; ``ANY`` for all.
            destination: process that they lead to; ``ANY`` for all.
        """
        for writer in self._between(source, destination):
            writer.transport.abort()

    def drop_traffic(self, source: str, destination: str) -> None:
        """Has open connections of a process fall silent for good.

        Args:
            source: process that opened them; ``ANY`` for all.
            destination: process that they lead to; ``ANY`` for all.
        """
        self._hushed.update(self._between(source, destination))

    async def unblock_port(self, name: str) -> None:
        """Accepts connections before a process, at first or again."""
        listener = self._listeners[name]
        if listener.server is not None:
            return

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await self._serve(name, listener.target, reader, writer)

        for waiting in listener.unanswering:
            waiting.close()
        listener.unanswering = []
        server = await asyncio.start_server(serve, _HOST, listener.port)
        listener.server = server
        listener.port = server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Ends every listener and connection."""
        for listener in self._listeners.values():
            if listener.server is not None:
                listener.server.close()
            for waiting in listener.unanswering:
                waiting.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _between(
        self,
        source: str,
        destination: str,
    ) -> list[asyncio.StreamWriter]:
        """Gives open connections, each by its opener's end."""
        return [
            writer
            for writer, direction in self._open.items()
            if source in {ANY, direction.source}
            and destination in {ANY, direction.destination}
        ]

    async def _serve(
        self,
        name: str,
        target: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        port = writer.get_extra_info('peername')[1]
        listener = self._listeners[name].port
        source = owner_of(port, listener, self._names)
        there = _Direction(source, name)
        back = _Direction(name, source)
        try:
            if not await self._admits(there):
                return
            far_reader, far_writer = await asyncio.open_connection(
                _HOST,
                target,
            )
            self._open[writer] = there
            pumps = [
                self._start(self._pump(writer, there, reader, far_writer)),
                self._start(self._pump(writer, back, far_reader, writer)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
            far_writer.close()
        except OSError:
            return
        finally:
            self._close(writer)

    def _close(self, writer: asyncio.StreamWriter) -> None:
        self._open.pop(writer, None)
        self._hushed.discard(writer)
        writer.close()

    async def _admits(self, direction: _Direction) -> bool:
        rule = await self.rules.wait_while_silent(
            direction.source, direction.destination
        )
        return rule.policy == TrafficPolicy.OPEN

    async def _pump(
        self,
        connection: asyncio.StreamWriter,
        direction: _Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            _CHUNKS_IN_FLIGHT,
        )
        reading = self._start(_read(reader, chunks))
        delivering = self._start(
            self._deliver(connection, direction, chunks, writer)
        )
        try:
            await _deliver_unless_reset(reading, delivering)
        except OSError:
            return
        finally:
            reading.cancel()
            delivering.cancel()

    async def _deliver(
        self,
        connection: asyncio.StreamWriter,
        direction: _Direction,
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        clock = asyncio.get_running_loop()
        while True:
            sent_at, chunk = await chunks.get()
            if connection in self._hushed:
                continue
            self.on_sent(direction.source, direction.destination)
            rule = await self.rules.wait_while_silent(
                direction.source,
                direction.destination,
            )
            if rule.policy == TrafficPolicy.REFUSED or not chunk:
                return
            wait = sent_at + rule.delay - clock.time()
            if wait > 0:
                await asyncio.sleep(wait)
            writer.write(chunk)
            await writer.drain()

    def _start(self, work: Any) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _unanswering(port: int) -> list[socket.socket]:
    """Opens a port whose queue of connections is full for good."""
    full = socket.socket()
    full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    full.bind((_HOST, port))
    full.listen(0)
    fillers = [socket.socket() for _ in range(_QUEUE_FILLERS)]
    for filler in fillers:
        filler.setblocking(False)
        with suppress(BlockingIOError):
            filler.connect((_HOST, port))
    return [full, *fillers]


async def _read(
    reader: asyncio.StreamReader,
    chunks: asyncio.Queue[tuple[float, bytes]],
) -> None:
    """Reads until the sender closes, which is an empty chunk.

    Raises:
        OSError: the sender has reset the connection.
    """
    clock = asyncio.get_running_loop()
    while True:
        chunk = await reader.read(_CHUNK_BYTES)
        await chunks.put((clock.time(), chunk))
        if not chunk:
            return


async def _deliver_unless_reset(
    reading: asyncio.Task[None], delivering: asyncio.Task[None]
) -> None:
    """Waits until all is delivered.

    Raises:
        OSError: the sender has reset the connection, or the receiver has.
    """
    await asyncio.wait(
        (reading, delivering), return_when=asyncio.FIRST_COMPLETED
    )
    if not delivering.done():
        await reading
    await delivering


def _ignore(source: str, destination: str) -> None:
    """Stands for a listener where there is none."""
