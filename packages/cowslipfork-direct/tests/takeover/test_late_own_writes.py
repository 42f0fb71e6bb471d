"""Answers to own writes that arrive after the watch has told of later ones."""

import asyncio

import pytest
from direct_fakes.world import run, world

from cowslipfork.ids import GroupName, Term, VmId
from cowslipfork.store import Event
from cowslipfork_direct.takeover import Claims, TakeoverCache
from cowslipfork_direct.takeover.departure_cache import DepartureCache
from cowslipfork_direct.takeover.records import (
    DUTY_KEY,
    ClaimId,
    Departure,
    Departures,
    Duty,
    Takeover,
    TakeoverKind,
    TakeoverPhase,
    departures_key,
    encode,
    takeover_key,
)

GROUP = GroupName('g')
OWN = Event(DUTY_KEY, encode(Duty(VmId('n1'), ClaimId('ours'))), 8)
LATER = Event(DUTY_KEY, encode(Duty(VmId('n2'), ClaimId('theirs'))), 9)


class LateStore:
    """Applies a swap at once and answers it once it is told to."""

    def __init__(self, store):
        self._store = store
        self.answers = asyncio.Event()

    async def swap(self, compares, puts):
        swapped = await self._store.swap(compares, puts)
        await self.answers.wait()
        return swapped


def test_a_claimer_that_another_node_has_replaced_may_not_order():
    """Guards against an order with a token lower than another's."""

    async def main():
        async with world(nodes=0) as cluster:
            cache = TakeoverCache(lambda _: None)
            late = LateStore(cluster.store)
            claims = Claims(VmId('n1'), cache, late, lambda: 0)
            claiming = asyncio.create_task(
                claims.claim(GROUP, TakeoverKind.FAILOVER, None, Term(1))
            )
            await asyncio.sleep(0.1)
            cluster.store.put(DUTY_KEY, LATER.content)
            entry = await cluster.store.get(DUTY_KEY)
            cache.apply_events([Event(DUTY_KEY, entry.content, entry.revision)])
            late.answers.set()
            claim = await claiming
            return claims.fence_of(claim), cache.duty

    fence, duty = run(main())
    assert duty.holder == 'n2'
    assert fence == 0


@pytest.mark.parametrize('later', [LATER, Event(DUTY_KEY, None, 9)])
def test_the_latest_change_of_a_record_holds(later):
    cache = TakeoverCache(lambda _: None)
    cache.apply_events([later])
    cache.apply_events([OWN])
    assert cache.duty != Duty(VmId('n1'), ClaimId('ours'))


def test_a_record_stays_unreadable_after_an_older_change():
    """Guards against a claim that overlooks an order it can't read."""
    takeover = Takeover(
        GROUP,
        Term(2),
        Term(1),
        'e1',
        TakeoverKind.FAILOVER,
        TakeoverPhase.CLAIMED,
        VmId('n1'),
        ClaimId('ours'),
    )
    key = takeover_key(GROUP)
    cache = TakeoverCache(lambda _: None)
    cache.apply_events([Event(key, b'?', 9)])
    cache.apply_events([Event(key, encode(takeover), 8)])
    assert cache.has_unreadable(GROUP)
    assert cache.record_revision(GROUP) == 9


def test_departures_stay_known_after_an_older_removal():
    """Guards against a takeover that misses a replica which has left."""
    key = departures_key(GROUP)
    departure = Departure('e2', '10.0.0.1', 1002)
    content = encode(Departures(GROUP, (departure,)))
    cache = DepartureCache()
    cache.apply_events([Event(key, content, 9)])
    cache.apply_events([Event(key, None, 8)])
    assert cache.known(GROUP) == {'e2': departure}
    assert cache.revision(GROUP) == 9


def test_a_restored_store_may_have_older_changes():
    cache = TakeoverCache(lambda _: None)
    cache.apply_events([LATER])
    cache.start_era()
    cache.apply_events([OWN])
    assert cache.duty.holder == 'n1'
    assert cache.duty_revision == OWN.revision
