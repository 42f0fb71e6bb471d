"""A TCP proxy in front of a server that can go silent or be down."""

import asyncio
from contextlib import suppress


class Proxy:
    """Forwards connections to a port, unless it is silent or closed.

    While silent it accepts connections and forwards nothing in either
    direction, as a machine does whose links have gone dark. Connections that
    were open then are reset when it forwards again.
    """

    def __init__(self):
        self.port = 0
        self._target = 0
        self._server = None
        self._silent = False
        self._writers = set()

    async def start(self, target):
        """Listens on a free port of the loopback address."""
        self._target = target
        await self._listen(0)

    async def close(self):
        """Refuses new connections and resets the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._reset()

    async def reopen(self):
        """Listens on the same port again."""
        await self._listen(self.port)

    def silence(self):
        """Forwards nothing from now on."""
        self._silent = True

    def heal(self):
        """Forwards again; connections from before are reset."""
        self._silent = False
        self._reset()

    async def _listen(self, port):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, limit=2**21
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def _reset(self):
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        other = None
        try:
            if self._silent:
                await asyncio.Event().wait()
            inner, other = await asyncio.open_connection(
                '127.0.0.1', self._target, limit=2**21
            )
            self._writers.add(other)
            pumps = (
                asyncio.create_task(self._pump(reader, other)),
                asyncio.create_task(self._pump(inner, writer)),
            )
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
        except OSError:
            pass
        finally:
            for one in (writer, other):
                if one is not None:
                    self._writers.discard(one)
                    with suppress(OSError):
                        one.transport.abort()

    async def _pump(self, reader, writer):
        while chunk := await reader.read(65_536):
            if self._silent:
                await asyncio.Event().wait()
            writer.write(chunk)
            await writer.drain()
