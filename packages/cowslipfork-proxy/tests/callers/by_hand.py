from __future__ import annotations

import asyncio
import struct

from pymysql._auth import scramble_native_password

from .conftest import PASSWORD


async def talk_to(
    server,
    password: str = PASSWORD,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Logs in by hand, so that the test decides when bytes are read."""
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    greeting = await packet(reader)
    version_end = greeting.index(0, 1)
    salt = greeting[version_end + 5 :][:8] + greeting[version_end + 32 :][:12]
    proof = scramble_native_password(password.encode(), salt)
    response = b''.join(
        (
            struct.pack('<IIB', 0x8_8208, 1 << 24, 45),
            bytes(23),
            b'editors\x00',
            bytes((len(proof),)),
            proof,
            b'observances\x00',
            b'mysql_native_password\x00',
        ),
    )
    writer.write(struct.pack('<I', len(response) | 1 << 24) + response)
    answer = await packet(reader)
    assert (answer[0] == 0) == (password == PASSWORD)
    return reader, writer


async def packet(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readexactly(4)
    return await reader.readexactly(int.from_bytes(head[:3], 'little'))
