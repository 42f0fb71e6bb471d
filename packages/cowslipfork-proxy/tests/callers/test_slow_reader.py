from __future__ import annotations

import asyncio
import struct

from cowslipfork.outcomes import Done
from cowslipfork.requests import Answer, Column
from cowslipfork_proxy.callers import results

from .by_hand import talk_to

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


async def test_a_reader_that_has_stopped_frees_its_endpoint(
    server,
    run,
    monkeypatch,
):
    monkeypatch.setattr(results, 'WRITE_TIMEOUT', 0.01)
    closed = asyncio.Event()

    async def rows():
        try:
            while True:
                yield [('x' * BATCH_BYTES,)]
        finally:
            closed.set()

    answer = Answer(columns=(Column('a', 253, 255),), rows=rows())
    run.reply('SELECT a FROM t', Done(answer))
    _, writer = await talk_to(server)
    statement = b'\x03SELECT a FROM t'
    writer.write(struct.pack('<I', len(statement)) + statement)
    await closed.wait()
    writer.transport.abort()


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
