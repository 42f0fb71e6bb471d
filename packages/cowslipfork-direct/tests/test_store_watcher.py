import asyncio

from virtual_time import run_virtual

from cowslipfork.store import HistoryLost, Put
from cowslipfork.store.memory import Fault, MemoryStore
from cowslipfork_direct.store_watcher import StoreWatcher, Subscription


class Heard:
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


def following(store, steps, *prefixes):
    async def main():
        heard = Heard(store, *prefixes)
        task = asyncio.create_task(heard.store_watcher.run())
        await asyncio.sleep(0.1)
        await steps(heard)
        await asyncio.sleep(1)
        task.cancel()
        return heard

    return run_virtual(main())


def test_what_is_there_and_what_changes_is_told_once():
    store = MemoryStore()
    store.put('a/1', b'old')

    async def steps(_):
        await store.swap((), (Put('a/2', b'new'), Put('b/1', b'other')))
        store.put('a/1', None)

    heard = following(store, steps, 'a/')
    assert heard.contents == [
        ('a/1', b'old'),
        ('a/2', b'new'),
        ('a/1', None),
    ]


def test_a_lost_history_is_made_up_by_a_list():
    store = MemoryStore()
    store.put('a/1', b'old')
    watch = store.watch
    broken = []

    async def breaking(prefix, after):
        if broken:
            broken.pop()
            raise HistoryLost('watch', 'compacted')
        async for events in watch(prefix, after):
            if broken:
                return
            yield events

    store.watch = breaking

    async def steps(heard):
        broken.append(True)
        store.put('a/1', None)
        store.put('a/2', b'new')
        heard.store_watcher.restart_watch()

    heard = following(store, steps, 'a/')
    assert sorted(heard.contents[1:]) == [('a/1', None), ('a/2', b'new')]


def test_an_outage_loses_nothing():
    store = MemoryStore()

    async def steps(_):
        store.fail(Fault.DOWN)
        await asyncio.sleep(1)
        store.heal()
        store.put('a/1', b'x')

    assert following(store, steps, 'a/').contents == [('a/1', b'x')]


def test_a_renewed_watch_goes_on_where_the_old_one_was():
    store = MemoryStore()

    async def steps(heard):
        store.put('a/1', b'x')
        await asyncio.sleep(0.1)
        heard.store_watcher.restart_watch()
        await asyncio.sleep(0.1)
        store.put('a/2', b'y')

    heard = following(store, steps, 'a/')
    assert heard.contents == [('a/1', b'x'), ('a/2', b'y')]
