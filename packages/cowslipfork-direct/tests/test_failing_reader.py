"""An error in one reader of the store's changes, and all other readers."""

import asyncio

import pytest
from virtual_time import run_virtual

from cowslipfork.store import Put
from cowslipfork.store.memory import MemoryStore
from cowslipfork_direct.long_lived import keep_running
from cowslipfork_direct.store_watcher import StoreWatcher, Subscription


class Reader:
    """Fails for some calls and records the contents of the others."""

    def __init__(self, failures=0):
        self.contents = []
        self.failures = failures

    def read(self, events):
        if self.failures:
            self.failures -= 1
            raise ValueError('unexpected')
        self.contents.extend(event.content for event in events)


def read_changes(failing, *puts):
    """Returns the failing reader and another one after some changes."""

    async def main():
        store = MemoryStore()
        store.put('a/0', b'zero')
        broken, sound = Reader(), Reader()
        watcher = StoreWatcher(
            store,
            [Subscription('a/', broken.read), Subscription('b/', sound.read)],
        )
        failed = []
        task = asyncio.create_task(
            keep_running('store_watcher', watcher.run, failed.append)
        )
        await asyncio.sleep(0.1)
        broken.failures = failing
        await store.swap((), puts)
        await asyncio.sleep(10)
        task.cancel()
        return broken, sound, failed

    return run_virtual(main())


CHANGES = (Put('a/1', b'one'), Put('b/1', b'two'), Put('b/2', b'three'))


@pytest.mark.parametrize('failing', [1, 2, 5])
def test_an_error_in_one_reader_loses_no_change_of_another(failing):
    _, sound, failed = read_changes(failing, *CHANGES)
    assert sound.contents == [b'two', b'three']
    assert len(failed) == failing


@pytest.mark.parametrize('failing', [1, 2, 5])
def test_changes_are_delivered_again_to_the_reader_that_failed(failing):
    broken, _, _ = read_changes(failing, *CHANGES)
    assert broken.contents == [b'zero', b'one']


def test_a_reader_that_always_fails_stops_no_other_one():
    _, sound, failed = read_changes(1000, *CHANGES)
    assert sound.contents == [b'two', b'three']
    assert len(failed) > 2


def test_a_removal_is_delivered_again_to_the_reader_that_failed():
    broken, _, _ = read_changes(2, Put('a/0', None))
    assert broken.contents == [b'zero', None]
