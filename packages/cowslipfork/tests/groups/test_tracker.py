import asyncio

import pytest
from expression import Error, Ok
from tracker_fixture import (
    CLAIMER,
    E1,
    E2,
    E3,
    GROUP,
    replace_primary,
    with_tracker,
    write,
)
from virtual_time import now

from cowslipfork.groups import CheckFailure, EndpointRole, first_record
from cowslipfork.ids import Mark, Term

STALE_TERM = Error(CheckFailure.STALE_TERM)
NO_MAJORITY = Error(CheckFailure.NO_MAJORITY)


@with_tracker
async def test_a_check_covers_what_was_written_before_it(group, tracker):
    for count in range(1, 30):
        mark = write(group)
        found = await tracker.check(Term(1), now() + 1)
        assert found == Ok(Mark(Term(1), count)) and found.ok == mark
        # Makes the next check start at another moment of the sampling.
        await asyncio.sleep(0.0007 * count)


@with_tracker
async def test_checks_share_samples_and_speed_up_the_sampling(group, tracker):
    before = group.servers[E1].asked
    await asyncio.sleep(10)
    slow = group.servers[E1].asked - before
    assert slow <= 101
    async with asyncio.TaskGroup() as waiters:
        for _ in range(500):
            waiters.create_task(tracker.check(Term(1), now() + 1))
    assert group.servers[E1].asked - before - slow <= 3
    until = now() + 2
    while now() < until:
        await tracker.check(Term(1), now() + 1)
    busy = group.servers[E1].asked - before - slow
    assert busy <= 2 / 0.005 + 5


@pytest.mark.parametrize(
    ('fault', 'found'),
    [
        ('none', Ok(Mark(Term(0), 0))),
        ('one replica silent', Ok(Mark(Term(0), 0))),
        ('one replica fenced later', Ok(Mark(Term(0), 0))),
        ('both replicas silent', NO_MAJORITY),
        ('primary silent', NO_MAJORITY),
        ('primary frozen', NO_MAJORITY),
        ('replicas in a later term', STALE_TERM),
        ('primary fenced', NO_MAJORITY),
    ],
)
@with_tracker
async def test_only_a_majority_in_the_term_completes_a_check(
    group, tracker, fault, found
):
    match fault:
        case 'one replica silent':
            group.cut('node', E2)
        case 'one replica fenced later':
            group.servers[E2].fence(Term(2))
        case 'both replicas silent':
            group.cut('node', E2)
            group.cut('node', E3)
        case 'primary silent':
            group.cut('node', E1)
        case 'primary frozen':
            group.servers[E1].not_frozen.clear()
        case 'replicas in a later term':
            group.servers[E2].fence(Term(2))
            group.servers[E3].fence(Term(2))
        case 'primary fenced':
            group.servers[E1].fence(Term(2))
    assert await tracker.check(Term(1), now() + 1) == found
    assert await tracker.wait_until_acknowledged(Term(1), now() + 1) == found


@with_tracker
async def test_an_entry_of_an_earlier_term_is_not_acknowledged(group, tracker):
    lost = write(group)
    await asyncio.sleep(0.3)
    replace_primary(group, tracker)
    await asyncio.sleep(0.3)
    assert [server.mark for server in group.servers.values()] == [lost] * 3
    assert await tracker.check(Term(2), now() + 1) == Ok(lost)
    # A majority holds the entry, but a log that ends in a term in between could
    # still win a promotion.
    assert (
        await tracker.wait_until_acknowledged(Term(2), now() + 1) == NO_MAJORITY
    )
    mark = write(group, E2)
    assert await tracker.wait_until_acknowledged(Term(2), now() + 1) == Ok(mark)


@with_tracker
async def test_a_write_is_acknowledged_when_a_majority_holds_it(group, tracker):
    group.cut(E1, E2)
    group.cut(E1, E3)
    mark = write(group)
    waiting = asyncio.create_task(
        tracker.wait_until_acknowledged(Term(1), now() + 9)
    )
    assert (
        await tracker.wait_until_acknowledged(Term(1), now() + 1) == NO_MAJORITY
    )
    assert not waiting.done()
    group.cuts.remove(frozenset((E1, E3)))
    assert await waiting == Ok(mark)


@with_tracker
async def test_a_newer_record_fails_the_waiters_of_the_term(group, tracker):
    group.cut(E1, E2)
    group.cut(E1, E3)
    write(group)
    waiting = asyncio.create_task(
        tracker.wait_until_acknowledged(Term(1), now() + 9)
    )
    await asyncio.sleep(0.1)
    claimed = tracker.record.claim(CLAIMER)
    assert tracker.adopt(claimed) and not tracker.adopt(first_record(GROUP))
    assert await waiting == STALE_TERM
    assert await tracker.check(Term(2), now() + 1) == STALE_TERM
    assert tracker.adopt(claimed.publish(CLAIMER, E2))
    assert await tracker.check(Term(1), now() + 1) == STALE_TERM


@with_tracker
async def test_data_of_a_replica_cut_off_from_its_primary_ages(group, tracker):
    group.cut(E1, E3)
    cut_at = now()
    await asyncio.sleep(1)
    # Nothing was written, so the replica is still proved to hold every write.
    assert tracker.age(E3) < 0.2
    write(group)
    await asyncio.sleep(5)
    assert tracker.age(E2) < 0.2
    assert 4.9 < tracker.age(E3) < now() - cut_at
    group.cut('node', E1)
    await asyncio.sleep(5)
    assert tracker.age(E2) > 4.9


@with_tracker
async def test_checks_of_a_lost_tail_do_not_block_the_next_term(group, tracker):
    write(group)
    await asyncio.sleep(0.3)
    group.cut(E1, E2)
    group.cut(E1, E3)
    write(group, count=5)
    await asyncio.sleep(0.3)
    replace_primary(group, tracker)
    found = await tracker.check(Term(2), now() + 1)
    assert found == Ok(Mark(Term(1), 1))
    assert tracker.age(E3) < 0.2


@with_tracker
async def test_reads_wait_until_a_replica_catches_up(group, tracker):
    group.cut(E1, E2)
    group.cut(E1, E3)
    mark = write(group)
    assert await tracker.wait_for_replica(mark, now() + 1) == NO_MAJORITY
    waiting = asyncio.create_task(tracker.wait_for_replica(mark, now() + 1))
    group.heal()
    assert await waiting == Ok(mark)
    assert group.servers[E2].role is EndpointRole.REPLICA


@with_tracker
async def test_a_stalled_connection_is_replaced(group, tracker):
    group.stalled_connections.add(('node', E1))
    seen = []
    for _ in range(500):
        await asyncio.sleep(0.001)
        seen.append(tracker.silent_seconds(E1))
    assert 0.25 <= max(seen) < 0.26
    assert seen[-1] == 0
