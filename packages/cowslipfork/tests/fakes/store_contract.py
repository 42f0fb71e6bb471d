"""What every ``Store`` promises; each implementation runs through it.

A test module brings its own fixture ``store`` and imports everything here.
"""

import asyncio
from contextlib import aclosing

import pytest

from cowslipfork.store import (
    Compare,
    Event,
    Put,
    StoreUncertain,
    TooManyChanges,
)
from cowslipfork.store.memory import Fault


async def test_an_absent_key_is_none(store):
    assert await store.get('/a') is None


async def test_swap_writes_all_puts_in_one_revision(store):
    swapped = await store.swap([], [Put('/a/1', b'one'), Put('/a/2', b'two')])
    entries, revision = await store.list_prefix('/a/')
    assert [(entry.key, entry.content) for entry in entries] == [
        ('/a/1', b'one'),
        ('/a/2', b'two'),
    ]
    assert {entry.revision for entry in entries} == {swapped.revision}
    assert revision == swapped.revision


@pytest.mark.parametrize(
    ('compares', 'succeeded'),
    [
        ([Compare('/k', 0)], False),
        ([Compare('/k', -1)], True),
        ([Compare('/k', -1), Compare('/other', 0)], True),
        ([Compare('/k', -1), Compare('/other', 1)], False),
    ],
)
async def test_swap_writes_only_if_every_compare_holds(
    store,
    compares,
    succeeded,
):
    written = (await store.swap([], [Put('/k', b'old')])).revision
    exact = [
        Compare(compare.key, written) if compare.revision == -1 else compare
        for compare in compares
    ]
    swapped = await store.swap(exact, [Put('/k', b'new')])
    assert swapped.succeeded is succeeded
    content = (await store.get('/k')).content
    assert content == (b'new' if succeeded else b'old')


async def test_a_prefix_ends_where_the_next_begins(store):
    await store.swap([], [Put('/a/x', b''), Put('/b/x', b''), Put('/a', b'')])
    entries, _ = await store.list_prefix('/a/')
    assert [entry.key for entry in entries] == ['/a/x']


async def test_a_deleted_key_is_absent_again(store):
    await store.swap([], [Put('/k', b'x')])
    await store.swap([], [Put('/k', None)])
    assert await store.get('/k') is None
    assert (await store.swap([Compare('/k', 0)], [Put('/k', b'')])).succeeded


async def test_watch_yields_later_changes_in_order(store):
    first = (await store.swap([], [Put('/w/a', b'1')])).revision
    second = (await store.swap([], [Put('/w/b', b'2')])).revision
    async with (
        asyncio.timeout(10),
        aclosing(store.watch('/w/', first)) as watch,
    ):
        assert await anext(watch) == [Event('/w/b', b'2', second)]
        later = asyncio.create_task(anext(watch))
        await store.swap([], [Put('/elsewhere', b'')])
        third = (await store.swap([], [Put('/w/a', None)])).revision
        assert await later == [Event('/w/a', None, third)]


async def test_a_watch_refuses_changes_that_are_too_long(store):
    first = (await store.swap([], [Put('/w/a', b'1')])).revision
    await store.swap([], [Put('/w/a', b'2' * 100_000)])
    async with (
        asyncio.timeout(10),
        aclosing(store.watch('/w/', first, 10_000)) as watch,
    ):
        with pytest.raises(TooManyChanges):
            await anext(watch)


async def test_a_lost_answer_leaves_the_write_done(store):
    store.fail_once(Fault.LOST_ANSWER)
    with pytest.raises(StoreUncertain):
        await store.swap([], [Put('/k', b'x')])
    assert (await store.get('/k')).content == b'x'


async def test_a_list_longer_than_a_page_is_whole(store):
    keys = [f'/long/{number:04}' for number in range(2500)]
    for batch in range(0, len(keys), 100):
        await store.swap([], [Put(key, b'') for key in keys[batch:][:100]])
    entries, revision = await store.list_prefix('/long/')
    assert [entry.key for entry in entries] == keys
    assert revision == entries[-1].revision
