"""Contract of the store as a client of etcd v3 sees it."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import aetcd
import pytest
from aetcd.exceptions import ClientError
from aetcd.rtypes import EventKind

from cowslipfork_lab.store import StoreServer
from cowslipfork_lab.store.faults import Rate


@asynccontextmanager
async def store():
    server = StoreServer()
    await server.start()
    try:
        async with aetcd.Client(port=server.port) as client:
            yield server, client
    finally:
        await server.close()


def swap(client, key, revision, content):
    return client.transaction(
        compare=[client.transactions.mod(key) == revision],
        success=[client.transactions.put(key, content)],
        failure=[client.transactions.get(key)],
    )


async def test_keys_have_revisions_and_prefixes():
    async with store() as (_server, client):
        await client.put(b'/a/1', b'x')
        await client.put(b'/a/2', b'y')
        await client.put(b'/b', b'z')
        found = [entry.key for entry in await client.get_prefix(b'/a/')]
        assert found == [b'/a/1', b'/a/2']
        assert await client.get(b'/missing') is None
        await client.delete(b'/a/1')
        assert await client.get(b'/a/1') is None
        assert (await client.get(b'/b')).mod_revision == 4


async def test_compare_and_swap_lets_one_of_two_win():
    async with store() as (_server, client):
        won, _ = await swap(client, b'/k', 0, b'first')
        lost, _ = await swap(client, b'/k', 0, b'second')
        assert (won, lost) == (True, False)
        entry = await client.get(b'/k')
        assert entry.value == b'first'
        again, _ = await swap(client, b'/k', entry.mod_revision, b'third')
        assert again


async def test_watch_starts_at_a_revision_and_goes_on():
    async with store() as (_server, client):
        await client.put(b'/a/1', b'before')
        await client.put(b'/a/1', b'seen')
        watch = await client.watch_prefix(b'/a/', start_revision=3)
        await client.put(b'/b', b'elsewhere')
        await client.delete(b'/a/1')
        seen = []
        async for event in watch:
            seen.append((event.kind, event.kv.value))
            if len(seen) == 2:
                break
        assert seen == [(EventKind.PUT, b'seen'), (EventKind.DELETE, b'')]


async def test_keys_of_a_revoked_lease_go():
    async with store() as (_server, client):
        lease = await client.lease(60)
        await client.put(b'/held', b'x', lease=lease)
        assert await lease.refresh()
        await lease.revoke()
        assert await client.get(b'/held') is None


@pytest.mark.parametrize(
    ('fault', 'setting', 'written'),
    [
        (b'outage', b'refuse', False),
        (b'lost_answers', b'1', True),
        (b'writes_per_second', b'0', False),
    ],
)
async def test_failed_write(fault, setting, written):
    async with store() as (server, client):
        await client.put(b'/lab/' + fault, setting)
        with pytest.raises(ClientError):
            await client.put(b'/k', b'x')
        assert (server.keys.find(b'/k') is not None) == written


async def test_silent_store_answers_after_it_returns():
    async with store() as (_server, client):
        await client.put(b'/lab/outage', b'silent')
        waiting = asyncio.create_task(client.put(b'/k', b'x'))
        await client.get(b'/lab/counts')
        assert not waiting.done()
        await client.put(b'/lab/outage', b'')
        await waiting


async def test_outage_breaks_a_watch():
    async with store() as (_server, client):
        watch = await client.watch_prefix(b'/a/')
        await client.put(b'/lab/outage', b'refuse')
        with pytest.raises(ClientError):
            await anext(aiter(watch))


async def test_counts_name_each_call():
    async with store() as (_server, client):
        await client.put(b'/k', b'x')
        await client.get(b'/k')
        report = (await client.get(b'/lab/counts')).value
        assert b'"put": 1' in report
        assert b'"range": 1' in report


def test_waiting_watches_use_up_the_rate():
    rate = Rate(10)
    taken = [rate.take(0, reserved=4) for _ in range(10)]
    assert taken.count(True) == 6
    assert rate.take(1, reserved=4)
