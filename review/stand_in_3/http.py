"""A small HTTP/1.1 server for JSON bodies."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone',
           412: 'Precondition Failed', 429: 'Too Many Requests',
           503: 'Service Unavailable'}


class HttpServer:
    """Calls ``handle(method, path, query, headers, body)`` for each request.

    The handler returns a status and a value for the JSON body, or None if the
    request is never answered.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._tasks = set()
        self.port = 0

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=2**22
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        first, *rest = head.decode('latin-1').split('\r\n')
        method, target, _ = first.split(' ', 2)
        headers = {}
        for line in filter(None, rest):
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        url = urlsplit(target)
        answer = await self._handle(
            method, url.path, dict(parse_qsl(url.query)), headers, body
        )
        if answer is None:
            await asyncio.Event().wait()
        status, content = answer
        data = b'' if content is None else json.dumps(content).encode()
        reason = REASONS.get(status, 'Status')
        writer.write(
            f'HTTP/1.1 {status} {reason}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(data)}\r\n\r\n'.encode() + data
        )
        await writer.drain()
        return True
