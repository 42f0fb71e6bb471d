"""TCP links between one process and one address, which can be disturbed."""

from __future__ import annotations

import asyncio


class Link:
    """Forwards connections; what passes can be held up or delayed.

    A link that is held up is a partition that heals: bytes wait, and are lost
    if their sender resets the connection meanwhile. A sender that only closes
    it has its bytes delivered, as its kernel goes on sending them.
    """

    def __init__(self, target):
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        #: Returns the seconds by which a piece of an answer is late.
        self.answer_delay = lambda connection, piece: 0
        #: Called with each piece that a process sends.
        self.on_sent = lambda piece: None
        self._connections = 0
        self.port = 0

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()

    def cut(self):
        """Holds up everything in both directions."""
        self._open.clear()

    def heal(self):
        """Lets everything pass again."""
        self._open.set()

    async def _serve(self, reader, writer):
        self._connections += 1
        number = self._connections
        try:
            far_reader, far_writer = await asyncio.open_connection(
                '127.0.0.1', self._target())
        except OSError:
            writer.transport.abort()
            return
        tasks = (
            asyncio.create_task(self._forward_requests(reader, far_writer)),
            asyncio.create_task(
                self._forward_answers(far_reader, writer, number)),
        )
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        # What the other direction still has to deliver takes no longer.
        await asyncio.wait(tasks, timeout=0.1)
        for task in tasks:
            task.cancel()
        for one in (writer, far_writer):
            one.transport.abort()

    async def _forward_requests(self, reader, writer):
        try:
            while piece := await reader.read(65_536):
                self.on_sent(piece)
                if not await self._passes(reader):
                    return
                writer.write(piece)
                await writer.drain()
        except OSError:
            return

    async def _forward_answers(self, reader, writer, number):
        try:
            while piece := await reader.read(65_536):
                await self._open.wait()
                delay = self.answer_delay(number, piece)
                if delay:
                    await asyncio.sleep(delay)
                writer.write(piece)
                await writer.drain()
        except OSError:
            return

    async def _passes(self, reader):
        """Waits until the link is open; False once the sender has reset it."""
        while not self._open.is_set():
            if reader.exception() is not None:
                return False
            await asyncio.sleep(0.01)
        return reader.exception() is None
