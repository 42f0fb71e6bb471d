import asyncio

import pytest
from direct_fakes.world import NodeStore, run, world

from cowslipfork.store import (
    Compare,
    Put,
    StoreDown,
    StoreUncertain,
    WatchClosed,
)
from cowslipfork.store.memory import MemoryStore
from cowslipfork_direct.relay import Address
from cowslipfork_direct.rerouting import ReroutedStore
from cowslipfork_direct.store_path import (
    DIRECT_RETRY_INTERVAL,
    MAX_RELAYS_IN_A_ROW,
)

RELAY = Address('n2', 1)


class Paths:
    def __init__(self):
        self.shared = MemoryStore()
        self.direct = NodeStore(self.shared)
        self.relayed = NodeStore(self.shared)
        self.store = ReroutedStore(
            lambda via: self.relayed if via else self.direct,
            lambda: [RELAY],
        )


def test_calls_use_the_direct_connection():
    async def main():
        paths = Paths()
        await paths.store.swap((), (Put('k', b'x'),))
        return paths.store.relay, await paths.store.get('k')

    relay, entry = run(main())
    assert relay is None
    assert entry.content == b'x'


def test_a_read_that_fails_directly_is_repeated_through_a_relay():
    async def main():
        paths = Paths()
        paths.shared.put('k', b'x')
        paths.direct.blocked = True
        return await paths.store.get('k'), paths.store.relay

    entry, relay = run(main())
    assert entry.content == b'x'
    assert relay == RELAY


def test_the_direct_connection_is_used_again_once_it_works():
    async def main():
        paths = Paths()
        paths.direct.blocked = True
        await paths.store.get('k')
        paths.direct.blocked = False
        await asyncio.sleep(DIRECT_RETRY_INTERVAL + 0.1)
        await paths.store.get('k')
        await asyncio.sleep(0.1)
        return paths.store.relay

    assert run(main()) is None


def test_no_relay_is_tried_soon_after_both_paths_have_failed():
    async def main():
        paths = Paths()
        paths.direct.blocked = paths.relayed.blocked = True
        with pytest.raises(StoreDown):
            await paths.store.get('k')
        begun = asyncio.get_running_loop().time()
        with pytest.raises(StoreDown):
            await paths.store.get('k')
        return asyncio.get_running_loop().time() - begun

    assert run(main()) == pytest.approx(1, abs=0.1)


def test_a_write_whose_answer_was_lost_is_not_repeated():
    async def main():
        paths = Paths()
        paths.direct.lose_answers = 1
        put = Put('k', b'x')
        with pytest.raises(StoreUncertain):
            await paths.store.swap((Compare('k', 0),), (put,))
        return paths.shared.revision, paths.store.relay

    revision, relay = run(main())
    assert revision == 1
    assert relay == RELAY


def test_a_watch_continues_through_the_relay():
    async def main():
        paths = Paths()
        paths.direct.blocked = True
        with pytest.raises(StoreDown):
            await anext(paths.store.watch('', 0))
        paths.shared.put('k', b'x')
        return await anext(paths.store.watch('', 0))

    assert [event.key for event in run(main())] == ['k']


def test_a_detour_ends_at_once_if_the_direct_path_works():
    """Guards against a detour of seconds for one silent connection."""

    async def main():
        paths = Paths()
        paths.direct.lose_answers = 1
        with pytest.raises(StoreUncertain):
            await paths.store.swap((Compare('k', 0),), (Put('k', b'x'),))
        detour = paths.store.relay
        await asyncio.sleep(0.1)
        return detour, paths.store.relay

    assert run(main()) == (RELAY, None)


class ManyRelays:
    """A store that one of several relays reaches."""

    def __init__(self, relays):
        self.shared = MemoryStore()
        self.blocked = NodeStore(self.shared)
        self.blocked.blocked = True
        self.reached = NodeStore(self.shared)
        self.tried = []
        self.store = ReroutedStore(self._open, lambda: relays)

    def _open(self, via):
        self.tried.append(via)
        return self.reached if via == RELAY else self.blocked


def test_the_next_relay_is_tried_at_once_after_one_has_failed():
    """Guards against news of the store that waits for seconds per relay."""

    async def main():
        others = [Address(f'n{number}', 1) for number in (3, 4)]
        paths = ManyRelays([*others, RELAY])
        with pytest.raises(StoreDown):
            await paths.store.get('k')
        await paths.store.get('k')
        return paths.store.relay

    assert run(main()) == RELAY


def test_some_relays_are_tried_before_the_pause():
    async def main():
        others = [Address(f'n{number}', 1) for number in range(3, 9)]
        paths = ManyRelays(others)
        while len(paths.tried) < 2 or paths.store.relay is not None:
            with pytest.raises(StoreDown):
                await paths.store.get('k')
        return paths.tried

    assert len(run(main())) == 1 + MAX_RELAYS_IN_A_ROW


def test_a_node_knows_whether_it_reaches_the_store_itself():
    """Guards against a relay that leads nowhere."""

    async def main():
        paths = Paths()
        reached = [paths.store.reaches_store]
        await paths.store.get('k')
        reached.append(paths.store.reaches_store)
        paths.direct.blocked = True
        await paths.store.get('k')
        await paths.store.get('k')
        reached.append(paths.store.reaches_store)
        paths.direct.blocked = False
        await asyncio.sleep(DIRECT_RETRY_INTERVAL + 0.1)
        await paths.store.get('k')
        await asyncio.sleep(0.1)
        return [*reached, paths.store.reaches_store]

    assert run(main()) == [False, True, False, True]


class OneSilentWatch:
    """A store that answers all calls but a watch, which it leaves for long."""

    async def get(self, key):
        return None

    async def watch(self, prefix, after, max_size=None):
        await asyncio.sleep(3)
        raise StoreDown('watch', 'no answer')
        yield []


@pytest.mark.parametrize(('called', 'switched'), [(True, 0), (False, 2)])
def test_a_dead_connection_does_not_change_a_path_that_works(called, switched):
    """Guards against a detour after the path was found to work again."""

    async def main():
        switches = []
        store = ReroutedStore(
            lambda via: OneSilentWatch(),
            lambda: [RELAY],
            lambda: switches.append(store.relay),
        )
        watch = asyncio.create_task(anext(store.watch('', 0)))
        await asyncio.sleep(1)
        if called:
            await store.get('k')
        with pytest.raises(StoreDown):
            await watch
        await asyncio.sleep(0.1)
        return len(switches)

    assert run(main()) == switched


class ClosedWatches:
    """A store that closes the next watches before they are answered."""

    def __init__(self, closes):
        self.closes = closes

    async def get(self, key):
        raise StoreDown('get', 'no answer')

    async def watch(self, prefix, after, max_size=None):
        if self.closes:
            self.closes -= 1
            raise WatchClosed('watch', 'connection reset')
        yield []


@pytest.mark.parametrize(
    ('closes', 'relay'),
    [((1,), None), ((2,), RELAY), ((1, 1), None), ((1, 2), RELAY)],
)
def test_a_closed_watch_goes_on_without_a_relay(closes, relay):
    """Guards against a detour of all nodes when all watches are closed."""

    async def main():
        direct = ClosedWatches(0)
        store = ReroutedStore(
            lambda via: ClosedWatches(0) if via else direct, lambda: [RELAY]
        )
        for direct.closes in closes:
            for _ in range(direct.closes):
                with pytest.raises(WatchClosed):
                    await anext(store.watch('', 0))
            await anext(store.watch('', 0))
        return store.relay

    assert run(main()) == relay


def test_a_node_relays_to_the_store_only_while_it_reaches_it():
    """Guards against a relay that costs others a time limit."""
    store = Address('store', 1)

    async def main():
        async with world(nodes=2) as made:
            node = made.nodes['n1']
            endpoints = len(made.servers)
            relayed = [node.relayed_addresses(store)]
            made.stores['n1'].blocked = True
            await asyncio.sleep(3)
            relayed.append(node.relayed_addresses(store))
            made.stores['n1'].blocked = False
            await asyncio.sleep(5)
            relayed.append(node.relayed_addresses(store))
            assert [len(one - {store}) for one in relayed] == [endpoints] * 3
            return [store in one for one in relayed]

    assert run(main()) == [True, False, True]
