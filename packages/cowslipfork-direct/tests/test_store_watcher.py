import asyncio

from virtual_time import run_virtual

from cowslipfork.store import HistoryLost, Put
from cowslipfork.store.memory import Fault, MemoryStore
from cowslipfork_direct.store_watcher import StoreWatcher, Subscription


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

    async def watch_with_lost_history(prefix, after):
        if lost_histories:
            lost_histories.pop()
            raise HistoryLost('watch', 'compacted')
        async for events in watch(prefix, after):
            if lost_histories:
                return
            yield events

    store.watch = watch_with_lost_history

    async def steps(recorder):
        lost_histories.append(True)
        store.put('a/1', None)
        store.put('a/2', b'new')
        recorder.store_watcher.restart_watch()

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
        recorder.store_watcher.restart_watch()
        await asyncio.sleep(0.1)
        store.put('a/2', b'y')

    recorder = watch_during(store, steps, 'a/')
    assert recorder.contents == [('a/1', b'x'), ('a/2', b'y')]
