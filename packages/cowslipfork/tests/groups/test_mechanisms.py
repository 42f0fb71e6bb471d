"""Runs the failure that each mechanism guards against with and without it."""

import asyncio
from dataclasses import dataclass
from typing import Any

import pytest
from cluster import Cluster
from expression import Result
from fake_group import FakeGroup
from tracker_fixture import (
    E1,
    E2,
    E3,
    GROUP,
    background_tasks,
    replace_primary,
    tracking,
    write,
)
from virtual_time import now, run_virtual

from cowslipfork.groups import (
    ClaimContext,
    ClaimerId,
    EndpointRole,
    _check_history,
    promote_another,
    promotion,
    read_record,
    supervision,
    suspicion,
    tracker,
)
from cowslipfork.groups._evidence import completed_check, leads
from cowslipfork.groups.suspicion import Verdict
from cowslipfork.ids import Term
from cowslipfork.reads import ReadRequirement, choose_endpoints, eligible
from cowslipfork.store.memory import MemoryStore

# Scenarios. Each returns the violations at its end, if any.


async def clustered(scenario):
    cluster = Cluster()
    cluster.start()
    await asyncio.sleep(0.5)
    try:
        broken = await scenario(cluster)
        return [*(broken or []), *cluster.promises_broken()]
    finally:
        await cluster.stop()


async def primary_dies_before_it_replicated(cluster):
    cluster.group.cut(E1, E2)
    cluster.group.cut(E1, E3)
    await cluster.nodes[0].write('only here', 0.3)
    cluster.group.servers[E1].dead = True
    await cluster.until_serving(term=2)


async def replica_lags_and_the_other_is_slow(cluster):
    cluster.group.cut(E1, E3)
    await cluster.nodes[0].write('on two')
    cluster.group.servers[E1].dead = True
    cluster.group.servers[E2].not_frozen.clear()
    await asyncio.sleep(1)
    cluster.group.servers[E2].not_frozen.set()
    await cluster.until_serving(term=2)


async def primary_is_cut_from_its_replicas(cluster):
    cluster.group.cut(E1, E2)
    cluster.group.cut(E1, E3)
    try:
        await cluster.until_serving(term=2, seconds=8)
    except AssertionError as error:
        return [error]


async def find_needless_promotion(cluster):
    """Waits and returns a violation if a healthy primary was replaced."""
    await asyncio.sleep(3)
    return ['needless promotion'] * cluster.store.revision


async def carrier_is_cut_from_the_primary(cluster):
    cluster.group.cut('n1', E1)
    return await find_needless_promotion(cluster)


async def connections_go_silent(cluster):
    for node in cluster.nodes:
        cluster.group.stalled_connections.add((node.name, E1))
    return await find_needless_promotion(cluster)


async def replaced_primary_answers_a_check(cluster):
    for name in (E2, E3, 'n1', 'n2'):
        cluster.group.cut(E1, name)
    for name in (E2, E3):
        cluster.group.cut('n3', name)
    cluster.isolated.add('n3')
    await cluster.until_serving(term=2)
    found = await cluster.nodes[2].tracker.check(Term(1), now() + 1)
    highest = max(known.mark for known in cluster.acknowledged.values())
    match found:
        case Result(tag='ok', ok=mark) if mark < highest:
            return ['check misses an acknowledged write']


async def replica_is_cut_from_its_primary(cluster):
    cluster.group.cut(E1, E3)
    await cluster.nodes[0].write('on two')
    await asyncio.sleep(2)


async def entry_of_an_earlier_term():
    """A majority holds an entry, but a log of a term in between wins."""
    group = FakeGroup()
    async with tracking(group) as tracker_fixture:
        for one, other in ((E1, E2), (E1, E3), (E2, E3)):
            group.cut(one, other)
        await asyncio.sleep(0.3)
        write(group)
        replace_primary(group, tracker_fixture, E2, (E3,))
        write(group, E2)
        replace_primary(group, tracker_fixture, E1, (E3,))
        group.cuts.discard(frozenset((E1, E3)))
        found = await tracker_fixture.wait_until_acknowledged(
            tracker_fixture.record.term, now() + 1
        )
        replace_primary(group, tracker_fixture, E2, (E3,))
        # The endpoint with the higher mark of E2 and E3 becomes primary, as in
        # a claim.
        lost = group.servers[E2].log[0][0] != Term(1)
        return ['acknowledged and lost'] if found.is_ok() and lost else []


async def two_claimers_reach_different_endpoints():
    group, store = FakeGroup(), MemoryStore()
    group.cut('n1', E3)
    group.cut('n2', E2)
    async with background_tasks(group.replicate()):
        before = await read_record(store, GROUP)
        await asyncio.gather(
            *(
                promote_another(
                    ClaimContext(
                        store,
                        ClaimerId(node),
                        group.controls(node),
                        0.25,
                        lambda record: None,
                    ),
                    before,
                    {E1},
                )
                for node in ('n1', 'n2')
            )
        )
    leaders = [
        server
        for server in group.servers.values()
        if server.role is EndpointRole.PRIMARY and server.term == 2
    ]
    return ['two primaries'] if len(leaders) > 1 else []


async def check_arrives_while_samples_are_under_way():
    group = FakeGroup()
    broken = []
    async with tracking(group) as tracker_fixture:
        await asyncio.sleep(0.3)
        for step in range(40):
            mark = write(group)
            found = await tracker_fixture.check(Term(1), now() + 1)
            if found.ok < mark:
                broken.append(mark)
            await asyncio.sleep(0.0007 * step)
    return broken


async def session_reads_while_a_replica_lags():
    group = FakeGroup()
    async with tracking(group) as tracker_fixture:
        await asyncio.sleep(0.3)
        group.cut(E1, E2)
        mark = write(group)
        await asyncio.sleep(0.3)
        chosen = await choose_endpoints(
            tracker_fixture,
            ReadRequirement(mark),
            lambda endpoint: 0,
            now() + 1,
            primary_reads=True,
        )
        return [
            candidate
            for candidate in chosen.ok
            if group.servers[candidate.endpoint].mark < mark
        ]


# Replacements of the mechanisms for when they are off.


def own_mark_suffices(term, primary, samples, endpoints):
    return primary.status.mark if leads(primary.status, term) else None


def primary_suffices(term, primary, others, endpoints):
    return completed_check(term, primary, others, 1)


def lowest_mark(fenced, avoid, majority):
    return min(fenced, key=lambda s: (s.mark, s.endpoint)).endpoint


async def first_miss_is_enough(*_):
    return Verdict.FAILED


async def avoids_nobody(context, before, avoid):
    return await promote_another(context, before)


def join_as_the_first(waiters, key, waiter):
    first = -1 if isinstance(key, int) else key
    join(waiters, first, waiter)


join = tracker.Waiters.join


def answers_the_last_check(unchanged):
    async def _join(self, waiters, term, deadline):
        if waiters is self._check_waiters and self.latest_check is not None:
            return Result.Ok(self.latest_check.mark)
        return await unchanged(self, waiters, term, deadline)

    return _join


def swaps_anyway(self, compares, puts, apply=MemoryStore._apply):
    return apply(self, (), puts)


@dataclass(frozen=True)
class Case:
    scenario: Any
    owner: Any
    name: str
    replacement: Any
    cluster: bool = True


CASES = {
    'write is held by a majority': Case(
        primary_dies_before_it_replicated,
        tracker,
        'majority_mark',
        own_mark_suffices,
    ),
    'write is held in its own term': Case(
        entry_of_an_earlier_term,
        tracker,
        'required_majority_mark',
        lambda term, mark: mark,
        cluster=False,
    ),
    'majority is fenced': Case(
        replica_lags_and_the_other_is_slow,
        promotion,
        'majority_of',
        lambda endpoints: 1,
    ),
    'highest mark is promoted': Case(
        replica_lags_and_the_other_is_slow,
        promotion,
        'choose_primary',
        lowest_mark,
    ),
    'claim is a compare-and-swap': Case(
        two_claimers_reach_different_endpoints,
        MemoryStore,
        '_apply',
        swaps_anyway,
        cluster=False,
    ),
    'suspected primary is avoided': Case(
        primary_is_cut_from_its_replicas,
        supervision,
        'promote_another',
        avoids_nobody,
    ),
    'peers give evidence': Case(
        carrier_is_cut_from_the_primary,
        suspicion,
        'majority_lost_primary',
        lambda peers: True,
    ),
    'new connection is tried': Case(
        connections_go_silent,
        supervision,
        'assess_primary',
        first_miss_is_enough,
    ),
    'check needs a majority': Case(
        replaced_primary_answers_a_check,
        tracker,
        'completed_check',
        primary_suffices,
    ),
    'check begins after the read arrived': Case(
        check_arrives_while_samples_are_under_way,
        tracker.Tracker,
        '_join',
        answers_the_last_check(tracker.Tracker._join),
        cluster=False,
    ),
    'sample begins after the read arrived': Case(
        check_arrives_while_samples_are_under_way,
        tracker.Waiters,
        'join',
        join_as_the_first,
        cluster=False,
    ),
    'replica proves the session mark': Case(
        session_reads_while_a_replica_lags,
        eligible,
        '_meets',
        lambda *_: True,
        cluster=False,
    ),
    'age is proved by a held mark': Case(
        replica_is_cut_from_its_primary,
        _check_history.CheckHistory,
        'latest_at_or_below',
        lambda points, mark: points.latest,
    ),
}


def violations_in(case):
    if case.cluster:
        return run_virtual(clustered(case.scenario))
    return run_virtual(case.scenario())


@pytest.mark.parametrize('name', CASES)
def test_the_guarantee_holds_only_with_the_mechanism(name, monkeypatch):
    case = CASES[name]
    assert not violations_in(case)
    monkeypatch.setattr(case.owner, case.name, case.replacement)
    assert violations_in(case)
