"""Replicas that an earlier takeover has left held receive again."""

import asyncio
from types import SimpleNamespace

import pytest
from direct_fakes import servers
from direct_fakes.history import History
from direct_fakes.restore import now, write_until
from direct_fakes.world import run, world

from cowslipfork.ids import EndpointId, GroupName, Term, VmId
from cowslipfork.store import Event
from cowslipfork_direct.decoding import decode_json
from cowslipfork_direct.observed_statuses import Leader
from cowslipfork_direct.takeover import TakeoverCache
from cowslipfork_direct.takeover.held_replicas import (
    CHECK_INTERVAL,
    HeldReplicas,
)
from cowslipfork_direct.takeover.records import (
    ClaimId,
    Takeover,
    TakeoverKind,
    TakeoverPhase,
    encode,
    takeover_key,
)

#: Seconds within which a held replica is noticed and released.
RELEASED_WITHIN = CHECK_INTERVAL + 1

#: Seconds after which a lost primary has been fenced.
FENCED_AFTER = 1.4

#: Seconds after which a test gives up.
LONGEST_WAIT = 20

RECORD = takeover_key(GroupName('g'))


async def phase_in_store(cluster):
    entry = await cluster.store.get(RECORD)
    return decode_json(entry.content, Takeover).ok.phase


async def abandon_failover(cluster, history):
    """Has a failover hold e2 and then find that e1 answers again.

    Without e3, which may have commits that e2 lacks, e2 can't be promoted.
    """
    for name in ('e1', 'e3'):
        cluster.servers[name].blocked = True
    await write_until(cluster, history, 'n1', now() + FENCED_AFTER)
    assert cluster.servers['e2'].held_term > 1


async def wait_until_abandoned(cluster):
    for _ in range(LONGEST_WAIT * 100):
        if await phase_in_store(cluster) is TakeoverPhase.ABANDONED:
            return
        await asyncio.sleep(0.01)
    raise AssertionError('the takeover was not abandoned')


def test_replicas_receive_again_before_the_end_is_recorded(monkeypatch):
    """Guards against a release that undoes the hold of the next takeover."""
    phases = []

    async def main():
        async with world(nodes=3, synchronous_replicas=1) as cluster:
            resume = servers.FakeLink.resume

            async def record_phase(link):
                phases.append(await phase_in_store(cluster))
                return await resume(link)

            monkeypatch.setattr(servers.FakeLink, 'resume', record_phase)
            await abandon_failover(cluster, History(cluster.database))
            cluster.servers['e1'].blocked = False
            await wait_until_abandoned(cluster)
            return cluster.servers['e2'].held_term

    assert run(main()) == 0
    assert set(phases) == {TakeoverPhase.CLAIMED}


def test_a_replica_out_of_reach_at_the_end_is_released_later():
    """Guards against a replica that nobody has receive again."""

    async def main():
        async with world(nodes=3, synchronous_replicas=1) as cluster:
            replica = cluster.servers['e2']
            history = History(cluster.database)
            await abandon_failover(cluster, history)
            replica.blocked = True
            cluster.servers['e1'].blocked = False
            await wait_until_abandoned(cluster)
            held = replica.held_term
            replica.blocked = False
            await write_until(cluster, history, 'n1', now() + RELEASED_WITHIN)
            return held, replica.held_term, cluster

    held, later, cluster = run(main())
    assert held > 1
    assert later == 0
    assert cluster.orders == []


def test_a_hold_that_arrives_late_is_released():
    """Guards against a replica whose log stands still for good."""

    async def main():
        async with world(nodes=3) as cluster:
            history = History(cluster.database)
            await write_until(cluster, history, 'n1', now() + 1)
            cluster.servers['e2'].held_term = 9
            await write_until(cluster, history, 'n1', now() + RELEASED_WITHIN)
            done = history.done
            await write_until(cluster, history, 'n1', now() + 1)
            await asyncio.sleep(0.1)
            return cluster, done, history

    cluster, done, history = run(main())
    assert cluster.servers['e2'].held_term == 0
    assert cluster.servers['e2'].log == cluster.servers['e1'].log
    assert history.done > done > 100
    assert cluster.orders == []
    assert history.find_violations() == []


def failover_of_other_node(phase):
    return Takeover(
        GroupName('g'),
        Term(2),
        Term(1),
        EndpointId('e1'),
        TakeoverKind.FAILOVER,
        phase,
        VmId('other'),
        ClaimId('theirs'),
        EndpointId('e2'),
    )


def test_a_replica_that_another_takeover_holds_stays_held():
    """Guards against a node that has not heard of the takeover yet."""
    theirs = failover_of_other_node(TakeoverPhase.CLAIMED)

    async def main():
        async with world(nodes=1) as cluster:
            cluster.stores['n1'].hears_news.clear()
            cluster.store.put(RECORD, encode(theirs))
            cluster.servers['e2'].held_term = 2
            await asyncio.sleep(2 * RELEASED_WITHIN)
            return cluster.servers['e2'].held_term

    assert run(main()) == 2


@pytest.mark.parametrize(
    'phase', [TakeoverPhase.CLAIMED, TakeoverPhase.ORDERED]
)
def test_a_takeover_under_way_keeps_its_replicas_held(phase):
    """Guards against a release while the claimer is only slow."""
    theirs = failover_of_other_node(phase)

    async def main():
        async with world(nodes=3) as cluster:
            await asyncio.sleep(CHECK_INTERVAL - 1)
            cluster.store.put(RECORD, encode(theirs))
            cluster.servers['e2'].held_term = 2
            await asyncio.sleep(2)
            return cluster.servers['e2'].held_term

    assert run(main()) == 2


def last_takeover(phase, ceiling):
    return encode(
        Takeover(
            GroupName('g'),
            Term(1),
            Term(ceiling),
            EndpointId('e2'),
            TakeoverKind.HANDOVER,
            phase,
            VmId('other'),
            ClaimId('theirs'),
        )
    )


@pytest.mark.parametrize(
    ('content', 'found'),
    [
        (None, ['e2']),
        (last_takeover(TakeoverPhase.DONE, 0), ['e2']),
        (last_takeover(TakeoverPhase.ABANDONED, 1), ['e2']),
        (last_takeover(TakeoverPhase.CLAIMED, 0), []),
        (last_takeover(TakeoverPhase.ORDERED, 0), []),
        # Another primary may have been made that nobody has seen.
        (last_takeover(TakeoverPhase.ABANDONED, 2), []),
        (b'unreadable', []),
    ],
)
def test_replicas_are_released_only_if_no_takeover_may_go_on(content, found):
    takeover_cache = TakeoverCache(lambda _: None)
    if content is not None:
        takeover_cache.apply_events([Event(RECORD, content, 5)])
    context = SimpleNamespace(
        node=VmId('n1'),
        supervisors=lambda _: frozenset({VmId('n1')}),
        settlement=SimpleNamespace(settled=True),
        takeover_cache=takeover_cache,
    )
    group = SimpleNamespace(
        name=GroupName('g'),
        leader=Leader(EndpointId('e1'), Term(1)),
        highest_term=Term(1),
        held_replicas=lambda _: ['e2'],
    )
    assert HeldReplicas(context, group, None).find() == found
