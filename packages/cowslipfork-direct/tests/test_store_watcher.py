import asyncio

import pytest
from direct_fakes.world import run
from virtual_time import run_virtual

from cowslipfork.store import HistoryLost, Put, StoreDown, WatchClosed
from cowslipfork.store.memory import Fault, MemoryStore
from cowslipfork_direct.relay import Address
from cowslipfork_direct.rerouting import ReroutedStore
from cowslipfork_direct.store_watcher import (
    MAX_ANSWER_TIME,
    MIN_CHANGES_SIZE,
    StoreWatcher,
    Subscription,
)


class Recorder:
    def __init__(self, store, *prefixes):
        self.events = []
        self.store_watcher = StoreWatcher(
            store,
            [
                Subscription(prefix, lambda events: self.events.extend(events))
                for prefix in prefixes
            ],
        )

    @property
    def contents(self):
        return [(event.key, event.content) for event in self.events]


def watch_during(store, steps, *prefixes):
    async def main():
        recorder = Recorder(store, *prefixes)
        task = asyncio.create_task(recorder.store_watcher.run())
        await asyncio.sleep(0.1)
        await steps(recorder)
        await asyncio.sleep(1)
        task.cancel()
        return recorder

    return run_virtual(main())


def test_existing_keys_and_changes_are_delivered_once():
    store = MemoryStore()
    store.put('a/1', b'old')

    async def steps(_):
        await store.swap((), (Put('a/2', b'new'), Put('b/1', b'other')))
        store.put('a/1', None)

    recorder = watch_during(store, steps, 'a/')
    assert recorder.contents == [
        ('a/1', b'old'),
        ('a/2', b'new'),
        ('a/1', None),
    ]


def test_changes_in_a_lost_history_are_found_by_listing():
    store = MemoryStore()
    store.put('a/1', b'old')
    watch = store.watch
    lost_histories = []

    async def watch_with_lost_history(prefix, after, max_size):
        if lost_histories:
            lost_histories.pop()
            raise HistoryLost('watch', 'compacted')
        async for events in watch(prefix, after, max_size):
            if lost_histories:
                return
            yield events

    store.watch = watch_with_lost_history

    async def steps(recorder):
        lost_histories.append(True)
        store.put('a/1', None)
        store.put('a/2', b'new')
        recorder.store_watcher.start_another_watch()

    recorder = watch_during(store, steps, 'a/')
    assert sorted(recorder.contents[1:]) == [('a/1', None), ('a/2', b'new')]


def test_an_outage_loses_nothing():
    store = MemoryStore()

    async def steps(_):
        store.fail(Fault.DOWN)
        await asyncio.sleep(1)
        store.heal()
        store.put('a/1', b'x')

    assert watch_during(store, steps, 'a/').contents == [('a/1', b'x')]


def test_a_restarted_watch_continues_where_the_old_one_stopped():
    store = MemoryStore()

    async def steps(recorder):
        store.put('a/1', b'x')
        await asyncio.sleep(0.1)
        recorder.store_watcher.start_another_watch()
        await asyncio.sleep(0.1)
        store.put('a/2', b'y')

    recorder = watch_during(store, steps, 'a/')
    assert recorder.contents == [('a/1', b'x'), ('a/2', b'y')]


def test_the_time_of_the_last_answer_stands_still_in_an_outage():
    """Guards against a node that takes a silent store for a current one."""

    async def main():
        store = MemoryStore()
        watcher = StoreWatcher(store, ())
        before = watcher.last_answer_at
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(1)
        store.put('a/1', b'x')
        await asyncio.sleep(0.1)
        answered = watcher.last_answer_at
        store.fail(Fault.DOWN)
        await asyncio.sleep(5)
        silent = watcher.last_answer_at
        store.heal()
        await asyncio.sleep(2)
        store.put('a/1', b'y')
        await asyncio.sleep(0.1)
        task.cancel()
        return before, answered, silent, watcher.last_answer_at

    before, answered, silent, back = run(main())
    assert before == float('-inf')
    assert answered == silent == pytest.approx(1, abs=0.1)
    assert back == pytest.approx(8.1, abs=0.1)


@pytest.mark.parametrize(
    ('duration', 'counts_from'),
    [(MAX_ANSWER_TIME - 0.1, 'arrival'), (60, 'call')],
)
def test_an_answer_that_arrived_late_counts_from_its_call(
    duration, counts_from
):
    """Guards against an old answer that is read after a suspension."""

    async def main():
        store = MemoryStore()
        watcher = StoreWatcher(store, ())
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(duration)
        store.put('a/1', b'x')
        await asyncio.sleep(0.01)
        task.cancel()
        return watcher.last_answer_at

    expected = {'arrival': duration, 'call': 0}[counts_from]
    assert run(main()) == pytest.approx(expected, abs=0.05)


def test_replaced_contents_are_skipped_if_listing_is_shorter():
    store = MemoryStore()
    store.put('a/1', b'x' * MIN_CHANGES_SIZE)

    async def steps(_):
        store.fail(Fault.DOWN)
        await asyncio.sleep(0.1)
        for number in range(5):
            store.put('a/1', bytes([number]) * MIN_CHANGES_SIZE)
        store.heal()

    recorder = watch_during(store, steps, 'a/')
    assert [content[:1] for _, content in recorder.contents] == [b'x', b'\4']


def test_changes_that_are_not_longer_than_the_store_are_all_delivered():
    store = MemoryStore()
    store.put('a/1', b'x')

    async def steps(_):
        store.fail(Fault.DOWN)
        await asyncio.sleep(0.1)
        for number in range(5):
            store.put('a/1', bytes([number]))
        store.heal()

    recorder = watch_during(store, steps, 'a/')
    assert len(recorder.contents) == 6


def test_a_content_that_grows_is_delivered_once():
    store = MemoryStore()
    store.put('a/1', b'x')

    async def steps(_):
        store.put('a/1', b'y' * 5 * MIN_CHANGES_SIZE)

    recorder = watch_during(store, steps, 'a/')
    assert [content[:1] for _, content in recorder.contents] == [b'x', b'y']


def test_an_answer_on_its_way_is_not_lost_to_a_restart():
    """Guards against a long answer that is asked for again for ever."""
    store = MemoryStore()
    store.put('a/0', b'old')
    watch = store.watch

    async def slow_watch(prefix, after, max_size):
        async for events in watch(prefix, after, max_size):
            await asyncio.sleep(1)
            yield events

    store.watch = slow_watch

    async def steps(recorder):
        store.put('a/1', b'x')
        for _ in range(6):
            await asyncio.sleep(0.3)
            recorder.store_watcher.start_another_watch()
        assert recorder.contents == [('a/0', b'old'), ('a/1', b'x')]

    watch_during(store, steps, 'a/')


def test_a_change_of_path_does_not_wait_for_a_silent_watch():
    """Guards against waiting for a watch after other calls found it dead."""

    class Silent(MemoryStore):
        async def get(self, key):
            raise StoreDown('get', 'no answer')

        async def watch(self, prefix, after, max_size=None):
            await asyncio.Event().wait()
            yield []

    async def main():
        shared = MemoryStore()
        events = []
        rerouted = ReroutedStore(
            lambda via: shared if via else Silent(),
            lambda: [Address('n2', 1)],
            lambda: watcher.start_another_watch(),
        )
        watcher = StoreWatcher(rerouted, [Subscription('a/', events.extend)])
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(0.1)
        shared.put('a/1', b'x')
        await rerouted.get('b')
        await asyncio.sleep(0.1)
        task.cancel()
        return [event.key for event in events]

    assert run_virtual(main()) == ['a/1']


def test_changes_around_a_closed_watch_do_not_wait_for_the_next_watch():
    """Guards against a watch that is begun just before a compaction."""
    store = MemoryStore()
    store.put('a/1', b'old')
    cuts = [True]

    async def watch_after_close(prefix, after, max_size):
        if cuts:
            await asyncio.sleep(0.5)
            cuts.pop()
            raise WatchClosed('watch', 'connection reset')
        await asyncio.Event().wait()
        yield []

    store.watch = watch_after_close

    async def steps(_):
        store.put('a/1', b'new')
        await asyncio.sleep(0.5)

    recorder = watch_during(store, steps, 'a/')
    assert recorder.contents == [('a/1', b'old'), ('a/1', b'new')]
