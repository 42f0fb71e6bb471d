"""A server that answers nothing and records how its connection ends."""

import asyncio


class RecordingServer:
    """Serves one connection.

    Attributes:
        received: bytes received, without the first line if that is greeted.
        begun: set once some were received.
        end: set to the error at the end of the connection, or to None if it
            was closed in good order.
    """

    def __init__(self, greeting=b''):
        """Starts to listen in a block of ``async with``.

        Args:
            greeting: answer to the first line; none if it is empty.
        """
        self._greeting = greeting
        self._server = None
        self.received = bytearray()
        self.begun = asyncio.Event()
        self.end = asyncio.get_running_loop().create_future()

    @property
    def port(self):
        return self._server.sockets[0].getsockname()[1]

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        if self._greeting:
            await reader.readline()
            writer.write(self._greeting)
        try:
            while chunk := await reader.read(65_536):
                self.received += chunk
                self.begun.set()
            self.end.set_result(None)
        except ConnectionResetError as error:
            self.end.set_result(error)
        writer.close()
