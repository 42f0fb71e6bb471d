"""Listeners that stand before processes and pass bytes on by rules."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from cowslipfork_lab.relay.owners import owner_of
from cowslipfork_lab.relay.rules import Passage, Rules

_HOST = '127.0.0.1'
_CHUNK_BYTES = 65536
_CHUNKS_IN_FLIGHT = 256


@dataclass(frozen=True, slots=True)
class _Direction:
    source: str
    destination: str


class Relay:
    """Stands before any number of processes."""

    def __init__(self) -> None:
        """Starts without listeners."""
        self.rules = Rules()
        self._names: dict[int, str] = {}
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    def know(self, pid: int, name: str) -> None:
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

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await self._serve(name, target, reader, writer)

        server = await asyncio.start_server(serve, _HOST, port)
        self._servers.append(server)
        listener = server.sockets[0]
        return listener.getsockname()[1]

    async def close(self) -> None:
        """Ends every listener and connection."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self,
        name: str,
        target: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        port = writer.get_extra_info('peername')[1]
        source = owner_of(port, self._names)
        there = _Direction(source, name)
        back = _Direction(name, source)
        try:
            if not await self._admits(there):
                return
            far_reader, far_writer = await asyncio.open_connection(
                _HOST,
                target,
            )
            pumps = [
                self._start(self._pump(there, reader, far_writer)),
                self._start(self._pump(back, far_reader, writer)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
            far_writer.close()
        except OSError:
            return
        finally:
            writer.close()

    async def _admits(self, direction: _Direction) -> bool:
        rule = await self.rules.passage(direction.source, direction.destination)
        return rule.passage == Passage.OPEN

    async def _pump(
        self,
        direction: _Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            _CHUNKS_IN_FLIGHT,
        )
        reading = self._start(_read(reader, chunks))
        try:
            await self._deliver(direction, chunks, writer)
        except OSError:
            return
        finally:
            reading.cancel()

    async def _deliver(
        self,
        direction: _Direction,
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        clock = asyncio.get_running_loop()
        while True:
            sent_at, chunk = await chunks.get()
            rule = await self.rules.passage(
                direction.source,
                direction.destination,
            )
            if rule.passage == Passage.REFUSED or not chunk:
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


async def _read(
    reader: asyncio.StreamReader,
    chunks: asyncio.Queue[tuple[float, bytes]],
) -> None:
    clock = asyncio.get_running_loop()
    chunk = await _next_chunk(reader)
    while chunk:
        await chunks.put((clock.time(), chunk))
        chunk = await _next_chunk(reader)
    await chunks.put((clock.time(), chunk))


async def _next_chunk(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read(_CHUNK_BYTES)
    except OSError:
        return b''
