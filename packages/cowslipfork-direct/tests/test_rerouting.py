import asyncio

import pytest
from direct_fakes.world import NodeStore, run

from cowslipfork.store import Compare, Put, StoreDown, StoreUncertain
from cowslipfork.store.memory import MemoryStore
from cowslipfork_direct.relay import Address
from cowslipfork_direct.rerouting import DIRECT_RETRY_INTERVAL, ReroutedStore

RELAY = Address('n2', 1)


class Ways:
    def __init__(self):
        self.shared = MemoryStore()
        self.direct = NodeStore(self.shared)
        self.relayed = NodeStore(self.shared)
        self.store = ReroutedStore(
            lambda via: self.relayed if via else self.direct,
            lambda: [RELAY],
        )


def test_calls_go_the_direct_way():
    async def main():
        ways = Ways()
        await ways.store.swap((), (Put('k', b'x'),))
        return ways.store.relay, await ways.store.get('k')

    relay, entry = run(main())
    assert relay is None
    assert entry.content == b'x'


def test_a_read_that_fails_directly_is_made_by_a_detour():
    async def main():
        ways = Ways()
        ways.shared.put('k', b'x')
        ways.direct.blocked = True
        return await ways.store.get('k'), ways.store.relay

    entry, relay = run(main())
    assert entry.content == b'x'
    assert relay == RELAY


def test_the_direct_way_is_taken_again():
    async def main():
        ways = Ways()
        ways.direct.blocked = True
        await ways.store.get('k')
        ways.direct.blocked = False
        await asyncio.sleep(DIRECT_RETRY_INTERVAL + 0.1)
        await ways.store.get('k')
        await asyncio.sleep(0.1)
        return ways.store.relay

    assert run(main()) is None


def test_a_store_that_is_away_on_all_ways_fails_and_is_not_asked_twice():
    async def main():
        ways = Ways()
        ways.direct.blocked = ways.relayed.blocked = True
        with pytest.raises(StoreDown):
            await ways.store.get('k')
        begun = asyncio.get_running_loop().time()
        with pytest.raises(StoreDown):
            await ways.store.get('k')
        return asyncio.get_running_loop().time() - begun

    assert run(main()) == pytest.approx(1, abs=0.1)


def test_a_write_whose_answer_was_lost_is_not_made_again():
    async def main():
        ways = Ways()
        ways.direct.lose_answers = 1
        put = Put('k', b'x')
        with pytest.raises(StoreUncertain):
            await ways.store.swap((Compare('k', 0),), (put,))
        return ways.shared.revision, ways.store.relay

    revision, relay = run(main())
    assert revision == 1
    assert relay == RELAY


def test_a_watch_goes_on_by_the_detour():
    async def main():
        ways = Ways()
        ways.direct.blocked = True
        with pytest.raises(StoreDown):
            await anext(ways.store.watch('', 0))
        ways.shared.put('k', b'x')
        return await anext(ways.store.watch('', 0))

    assert [event.key for event in run(main())] == ['k']
