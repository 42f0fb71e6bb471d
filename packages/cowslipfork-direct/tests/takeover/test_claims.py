"""Claims of takeovers: the terms that they reject and their fences."""

import asyncio
from types import SimpleNamespace

import pytest
from direct_fakes.restore import replace_primary
from direct_fakes.world import run, statement, world

from cowslipfork.ids import GroupName, Term, VmId
from cowslipfork.outcomes import Done
from cowslipfork.store import Event
from cowslipfork_direct.takeover import Claims, PrimarySupervisor, TakeoverCache
from cowslipfork_direct.takeover.records import (
    DUTY_KEY,
    ClaimId,
    Duty,
    Suspicion,
    Takeover,
    TakeoverKind,
    TakeoverPhase,
    encode,
    suspect_key,
    takeover_key,
)

GROUP = GroupName('g')


def test_a_claim_with_an_outdated_view_of_the_duty_is_refused():
    async def main():
        async with world(nodes=0) as cluster:
            takeover_cache = TakeoverCache(lambda _: None)
            duty = Duty(VmId('other'), ClaimId('theirs'))
            cluster.store.put(DUTY_KEY, encode(duty))
            claims = Claims(
                VmId('n1'), takeover_cache, cluster.store, lambda: 0
            )
            outdated = await claims.claim(
                GROUP, TakeoverKind.FAILOVER, None, Term(1)
            )
            entry = await cluster.store.get(DUTY_KEY)
            takeover_cache.apply_events(
                [Event(DUTY_KEY, entry.content, entry.revision)]
            )
            return (
                outdated,
                entry,
                await claims.claim(
                    GROUP,
                    TakeoverKind.FAILOVER,
                    None,
                    Term(2),
                ),
            )

    outdated, entry, claim = run(main())
    assert outdated is None
    assert claim.fence > entry.revision


def record(phase, *, term=2, ceiling=1, candidate='e2'):
    return Takeover(
        GROUP,
        Term(term),
        Term(ceiling),
        'e1',
        TakeoverKind.FAILOVER,
        phase,
        VmId('other'),
        ClaimId(f'{phase.value}-{term}-{candidate}'),
        candidate,
    )


@pytest.mark.parametrize(
    ('last', 'term', 'ceiling'),
    [
        (None, 3, 2),
        (record(TakeoverPhase.DONE, term=2), 3, 2),
        (record(TakeoverPhase.DONE, term=5), 6, 5),
        (record(TakeoverPhase.ABANDONED, term=9, ceiling=8), 3, 8),
        (record(TakeoverPhase.ABANDONED, term=2, ceiling=1), 3, 2),
        (record(TakeoverPhase.CLAIMED, ceiling=2), 3, 2),
        (record(TakeoverPhase.ORDERED, ceiling=2), 3, 3),
        (record(TakeoverPhase.ORDERED, ceiling=6), 3, 7),
        (record(TakeoverPhase.CLAIMED, term=5, ceiling=4), 5, 4),
        (record(TakeoverPhase.ORDERED, term=5, ceiling=4), 5, 5),
    ],
)
def test_a_claim_rejects_terms_that_earlier_orders_may_have_created(
    last,
    term,
    ceiling,
):
    async def main():
        async with world(nodes=0) as cluster:
            takeover_cache = TakeoverCache(lambda _: None)
            if last is not None:
                cluster.store.put(takeover_key(GROUP), encode(last))
                entry = await cluster.store.get(takeover_key(GROUP))
                takeover_cache.apply_events(
                    [Event(entry.key, entry.content, entry.revision)]
                )
            claims = Claims(
                VmId('n1'), takeover_cache, cluster.store, lambda: 0
            )
            return await claims.claim(
                GROUP, TakeoverKind.FAILOVER, None, Term(2)
            )

    takeover = run(main()).takeover
    assert (takeover.term, takeover.ceiling) == (term, ceiling)


@pytest.mark.parametrize(
    ('contents', 'ceiling'),
    [
        ({DUTY_KEY: [b'{']}, 2),
        ({takeover_key(GROUP): [b'{']}, 3),
        ({takeover_key(GROUP): [b'{', b'']}, 3),
        ({takeover_key(GROUP): [b'{', None]}, 2),
        (
            {
                takeover_key(GROUP): [
                    encode(record(TakeoverPhase.ORDERED, ceiling=6)),
                    b'{',
                ],
            },
            8,
        ),
    ],
)
def test_an_unreadable_record_is_replaced_by_a_claim(contents, ceiling):
    """Guards against a group whose primary is never replaced."""

    async def main():
        async with world(nodes=0) as cluster:
            takeover_cache = TakeoverCache(lambda _: None)
            for key, versions in contents.items():
                for content in versions:
                    cluster.store.put(key, content)
                    event = Event(key, content, cluster.store.revision)
                    takeover_cache.apply_events([event])
            claims = Claims(
                VmId('n1'), takeover_cache, cluster.store, lambda: 0
            )
            before = cluster.store.revision
            claim = await claims.claim(
                GROUP, TakeoverKind.FAILOVER, None, Term(2)
            )
            again = await claims.claim(
                GROUP, TakeoverKind.FAILOVER, None, Term(2)
            )
            return claim, again, before

    claim, again, before = run(main())
    assert claim.fence > before
    assert again.fence == claim.fence
    assert claim.takeover.ceiling == again.takeover.ceiling == ceiling


@pytest.mark.parametrize('key', [DUTY_KEY, takeover_key(GROUP)])
def test_a_primary_is_replaced_beside_an_unreadable_record(key):
    """Guards against a group whose primary is never replaced."""

    async def main():
        async with world(nodes=3) as cluster:
            cluster.store.put(key, b'\xff{')
            await replace_primary(cluster, 'e1')
            session = await cluster.session()
            return await session.run(statement('WRITE a'))

    assert isinstance(run(main()), Done)


def test_a_primary_of_an_earlier_order_is_rejected_after_a_later_takeover():
    async def main():
        async with world(nodes=1) as cluster:
            cluster.database.promotion_delay = 0
            cluster.database.promote('e2')
            await asyncio.sleep(0.1)
            later = record(
                TakeoverPhase.CLAIMED, term=2, ceiling=2, candidate=None
            )
            cluster.store.put(takeover_key(GROUP), encode(later))
            await asyncio.sleep(0.5)
            session = await cluster.session()
            return await session.run(statement('WRITE a'))

    assert not isinstance(run(main()), Done)


@pytest.mark.parametrize(
    ('last', 'kind'),
    [
        (None, TakeoverKind.FAILOVER),
        (record(TakeoverPhase.DONE, term=1, ceiling=0), TakeoverKind.FAILOVER),
        (record(TakeoverPhase.DONE, term=2), None),
        (record(TakeoverPhase.ABANDONED, term=2), TakeoverKind.FAILOVER),
    ],
)
def test_a_primary_that_was_replaced_is_not_replaced_again(last, kind):
    async def main():
        async with world(nodes=1) as cluster:
            takeover_cache = TakeoverCache(lambda _: None)
            if last is not None:
                content = encode(last)
                takeover_cache.apply_events(
                    [Event(takeover_key(GROUP), content, 1)]
                )
            suspicion = Suspicion('e1', Term(1))
            key = suspect_key(GROUP, 'n2')
            takeover_cache.apply_events([Event(key, encode(suspicion), 2)])
            context = SimpleNamespace(
                takeover_cache=takeover_cache,
                supervisors=lambda _: frozenset(('n1', 'n2')),
                electors=lambda _: frozenset(('n1', 'n2')),
                settlement=SimpleNamespace(settled=True),
                node='n1',
            )
            group = cluster.nodes['n1']._view.groups[GROUP]
            suspicion_reporter = SimpleNamespace(suspicion=suspicion)
            return PrimarySupervisor(
                context, group, None, suspicion_reporter, None
            ).needed_takeover()

    assert run(main()) is kind


def test_fences_of_concurrent_takeovers_never_decrease():
    async def main():
        async with world(nodes=0) as cluster:
            claimers = []
            for name in ('n1', 'n2'):
                takeover_cache = TakeoverCache(lambda _: None)
                claims = Claims(
                    VmId(name), takeover_cache, cluster.store, lambda: 0
                )
                claimers.append((takeover_cache, claims))
            (takeover_cache, first), (_, second) = claimers
            early = await first.claim(
                GROUP, TakeoverKind.HANDOVER, 'e1', Term(1)
            )
            entries, _ = await cluster.store.list_prefix('')
            claimers[1][0].apply_events(
                [
                    Event(entry.key, entry.content, entry.revision)
                    for entry in entries
                ],
            )
            other = GroupName('h')
            late = await second.claim(
                other, TakeoverKind.HANDOVER, 'e4', Term(1)
            )
            late = await second.advance(late, TakeoverPhase.ORDERED, 'e5')
            unaware = await first.advance(early, TakeoverPhase.ORDERED, 'e2')
            duty = await cluster.store.get(DUTY_KEY)
            takeover_cache.apply_events(
                [Event(DUTY_KEY, duty.content, duty.revision)]
            )
            aware = await first.advance(early, TakeoverPhase.ORDERED, 'e2')
            return late, unaware, aware

    late, unaware, aware = run(main())
    assert unaware is None
    assert aware.fence > late.fence


def test_records_of_a_group_with_a_slash_count_for_it_alone():
    """Guards against suspicions that count for another group's primary."""
    takeover_cache = TakeoverCache(lambda _: None)
    suspicion = Suspicion(None, Term(1))
    key = suspect_key(GroupName('g/h'), VmId('n1'))

    async def apply():
        takeover_cache.apply_events([Event(key, encode(suspicion), 1)])

    asyncio.run(apply())
    assert dict(takeover_cache.suspicions(GROUP)) == {}
    assert takeover_cache.suspicions(GroupName('g/h')) == {'n1': suspicion}
