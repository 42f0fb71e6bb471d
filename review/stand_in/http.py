"""A small HTTP/1.1 server whose answers can be lost."""

import asyncio
import json
from urllib.parse import parse_qsl, unquote, urlsplit

#: Answer of a handler: the request is carried out and its answer is lost. The
#: connection returns nothing further, as the pages say.
LOST = object()


class HttpServer:
    """Calls a handler with each request and sends what it returns."""

    def __init__(self, handle):
        self._handle = handle
        self._servers = []
        self._writers = set()

    async def listen(self, label):
        """Listens on a free port; requests there carry the label."""

        async def serve(reader, writer):
            self._writers.add(writer)
            try:
                await self._serve(label, reader, writer)
            except (OSError, asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                self._writers.discard(writer)
                writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0, limit=2**21)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, label, reader, writer):
        while True:
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            first, *lines = head.rstrip().split('\r\n')
            method, target, _ = first.split(' ')
            headers = {}
            for line in lines:
                name, _, content = line.partition(':')
                headers[name.strip().lower()] = content.strip()
            body = await reader.readexactly(int(headers.get('content-length', 0)))
            parts = urlsplit(target)
            query = dict(parse_qsl(parts.query, keep_blank_values=True))
            answer = await self._handle(
                label, method, unquote(parts.path), query, headers, body
            )
            if answer is LOST:
                while await reader.read(65536):
                    pass
                return
            status, document = answer
            content = b'' if document is None else json.dumps(document).encode()
            writer.write(
                f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                f'Content-Length: {len(content)}\r\n\r\n'.encode() + content
            )
            await writer.drain()

    def close(self):
        """Stops listening and ends all connections."""
        for server in self._servers:
            server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
