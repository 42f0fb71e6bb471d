"""A client of the wire protocol."""

from __future__ import annotations

import asyncio
import uuid


class Session:
    """A client's connection; ``query`` returns rows, the end, the state."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, port, database, key='k'):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', port, limit=2**21)
        writer.write(f'START {database} {key}\r\n'.encode())
        async with asyncio.timeout(2):
            line = await reader.readuntil(b'\r\n')
        if not line.startswith(b'READY'):
            writer.close()
            raise ConnectionError(line.decode())
        return cls(reader, writer)

    async def query(self, text, query_id=None, timeout=5):
        query_id = query_id or uuid.uuid4().hex[:16]
        self._writer.write(f'QUERY {query_id} {text}\r\n'.encode('latin-1'))
        rows, end = [], ''
        async with asyncio.timeout(timeout):
            while True:
                raw = await self._reader.readuntil(b'\r\n')
                line = raw[:-2].decode('latin-1')
                word, _, rest = line.partition(' ')
                if word == 'ROW':
                    rows.append(rest)
                elif word == 'READY':
                    break
                else:
                    end = line
        return rows, end, line

    def close(self):
        self._writer.close()
