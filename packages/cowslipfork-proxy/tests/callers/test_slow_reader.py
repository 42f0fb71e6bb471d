from __future__ import annotations

import asyncio
import struct

from pymysql._auth import scramble_native_password

from cowslipfork.outcomes import Done
from cowslipfork.requests import Answer, Column

from .conftest import PASSWORD

BATCH_BYTES = 262_144
BATCHES = 256

#: Batches that buffers of node and kernel may hold together.
MOST_AHEAD = 64


async def test_rows_wait_for_a_slow_reader(server, run):
    produced = 0

    async def rows():
        nonlocal produced
        for _ in range(BATCHES):
            produced += 1
            yield [('x' * BATCH_BYTES,)]

    answer = Answer(columns=(Column('a', 253, 255),), rows=rows())
    run.reply('SELECT a FROM t', Done(answer))
    reader, writer = await talk_to(server)
    statement = b'\x03SELECT a FROM t'
    writer.write(struct.pack('<I', len(statement)) + statement)
    read = 0
    while read < BATCHES * BATCH_BYTES:
        read += len(await reader.readexactly(BATCH_BYTES))
        assert produced - read // BATCH_BYTES < MOST_AHEAD
    assert produced == BATCHES
    writer.close()


async def test_a_slow_reader_that_goes_ends_its_rows(server, run):
    closed = asyncio.Event()

    async def rows():
        try:
            while True:
                yield [('x' * BATCH_BYTES,)]
        finally:
            closed.set()

    answer = Answer(columns=(Column('a', 253, 255),), rows=rows())
    run.reply('SELECT a FROM t', Done(answer))
    reader, writer = await talk_to(server)
    statement = b'\x03SELECT a FROM t'
    writer.write(struct.pack('<I', len(statement)) + statement)
    await reader.readexactly(BATCH_BYTES)
    writer.transport.abort()
    await closed.wait()


async def talk_to(server) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Logs in by hand, so that the test decides when bytes are read."""
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    greeting = await packet(reader)
    version_end = greeting.index(0, 1)
    salt = greeting[version_end + 5 :][:8] + greeting[version_end + 32 :][:12]
    proof = scramble_native_password(PASSWORD.encode(), salt)
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
    assert (await packet(reader))[0] == 0
    return reader, writer


async def packet(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readexactly(4)
    return await reader.readexactly(int.from_bytes(head[:3], 'little'))
