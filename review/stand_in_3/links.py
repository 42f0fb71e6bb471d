"""TCP links between one process and one address, which can be disturbed."""

from __future__ import annotations

import asyncio


class Link:
    """Forwards connections; what passes can be held up or delayed.

    A link that is held up is a partition that heals: bytes wait, and are lost
    if their sender closes or resets the connection meanwhile.
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
        there = asyncio.create_task(
            self._forward(reader, far_writer, None, writer))
        back = asyncio.create_task(
            self._forward(far_reader, writer, number, far_writer))
        await asyncio.wait((there, back), return_when=asyncio.FIRST_COMPLETED)
        for task in (there, back):
            task.cancel()
        for one in (writer, far_writer):
            one.transport.abort()

    async def _forward(self, reader, writer, number, near):
        try:
            while piece := await reader.read(65_536):
                if number is None:
                    self.on_sent(piece)
                    if not await self._passes(reader):
                        return
                else:
                    await self._open.wait()
                    delay = self.answer_delay(number, piece)
                    if delay:
                        await asyncio.sleep(delay)
                writer.write(piece)
                await writer.drain()
        except OSError:
            return

    async def _passes(self, reader):
        """Waits until the link is open; False if the sender is gone."""
        while not self._open.is_set():
            if reader.at_eof() or reader.exception() is not None:
                return False
            await asyncio.sleep(0.01)
        return not (reader.at_eof() or reader.exception() is not None)
