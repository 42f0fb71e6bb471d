import asyncio

import pytest
from expression import Error
from tracker_fixture import E1, E2, E3, replace_primary, with_tracker, write
from virtual_time import now

from cowslipfork.configuration import AgeRule, FreshRule, SessionRule
from cowslipfork.ids import INITIAL_MARK
from cowslipfork.outcomes import NotRun, Reason
from cowslipfork.reads import (
    ReadPreference,
    ReadRequirement,
    choose_endpoints,
    read_requirement,
)


def test_an_unknown_kind_or_session_mark_requires_a_fresh_read():
    mark = object()
    assert read_requirement(None, INITIAL_MARK).fresh
    assert read_requirement(FreshRule(), INITIAL_MARK).fresh
    assert read_requirement(SessionRule(), None).fresh
    assert read_requirement(SessionRule(), mark) == ReadRequirement(mark)
    assert read_requirement(AgeRule(3), mark) == ReadRequirement(
        mark, max_age=3
    )


async def pick(tracker, requirement, seconds=1, primary_reads=True, load=None):
    return await choose_endpoints(
        tracker,
        requirement,
        load or (lambda endpoint: 0),
        now() + seconds,
        primary_reads=primary_reads,
    )


def endpoints_of(chosen):
    return [candidate.endpoint for candidate in chosen.ok]


def stop_replication(group, *endpoints):
    for endpoint in endpoints:
        group.cut(E1, endpoint)


@with_tracker
async def test_the_least_loaded_replica_comes_first(group, tracker):
    loads = {E1: 0, E2: 2, E3: 1}
    for requirement in (
        ReadRequirement(),
        ReadRequirement(max_age=1),
        ReadRequirement(fresh=True),
    ):
        chosen = await pick(tracker, requirement, load=loads.__getitem__)
        assert endpoints_of(chosen) == [E3, E2, E1]
        chosen = await pick(
            tracker, requirement, load=loads.__getitem__, primary_reads=False
        )
        assert endpoints_of(chosen) == [E3, E2]


@with_tracker
async def test_a_fresh_read_waits_for_a_replica_rather_than_the_primary(
    group, tracker
):
    for _ in range(20):
        mark = write(group)
        first = (await pick(tracker, ReadRequirement(fresh=True))).ok[0]
        assert first.preference is ReadPreference.REPLICA
        assert group.servers[first.endpoint].mark >= mark


@pytest.mark.parametrize(
    ('requirement', 'primary_reads', 'expected'),
    [
        (ReadRequirement(fresh=True), True, [E1]),
        (ReadRequirement(fresh=True), False, Reason.NO_FRESH_ENDPOINT),
        (ReadRequirement(max_age=0.5), True, [E1]),
        (ReadRequirement(max_age=0.5), False, Reason.NO_FRESH_ENDPOINT),
        (ReadRequirement(max_age=9), False, [E2, E3]),
        (ReadRequirement(), False, [E2, E3]),
    ],
)
@with_tracker
async def test_lagging_replicas_serve_only_reads_that_allow_it(
    group, tracker, requirement, primary_reads, expected
):
    stop_replication(group, E2, E3)
    write(group)
    lagging_since = now()
    await asyncio.sleep(2)
    before = now()
    chosen = await pick(tracker, requirement, primary_reads=primary_reads)
    # There is no wait: no replica will catch up before the deadline.
    assert now() - before < 0.02
    if isinstance(expected, Reason):
        assert chosen.error.reason is expected
        lagged_ms = (now() - lagging_since) * 1000
        assert abs(chosen.error.retry_after_ms - lagged_ms) < 120
    else:
        assert endpoints_of(chosen)[: len(expected)] == expected


@with_tracker
async def test_a_session_read_uses_another_endpoint_if_its_replica_lags(
    group, tracker
):
    group.servers[E2].lag = 0.02
    group.servers[E3].lag = 0.02
    mark = write(group)
    waiting = asyncio.create_task(pick(tracker, ReadRequirement(mark)))
    stop_replication(group, E2)
    assert endpoints_of(await waiting) == [E3, E1]
    stop_replication(group, E3)
    mark = write(group)
    chosen = await pick(tracker, ReadRequirement(mark))
    assert endpoints_of(chosen) == [E1]
    chosen = await pick(tracker, ReadRequirement(mark), primary_reads=False)
    assert chosen.error.reason is Reason.NO_FRESH_ENDPOINT
    group.heal()
    await asyncio.sleep(0.2)
    chosen = await pick(tracker, ReadRequirement(mark), primary_reads=False)
    assert set(endpoints_of(chosen)) == {E2, E3}


@with_tracker
async def test_leaving_silent_and_out_of_term_endpoints_come_last(
    group, tracker
):
    group.servers[E2].leaving = True
    group.cut('node', E3)
    await asyncio.sleep(1)
    assert endpoints_of(await pick(tracker, ReadRequirement())) == [E1, E3]
    group.servers[E2].leaving = False
    group.heal()
    await asyncio.sleep(1)
    replace_primary(group, tracker)
    await asyncio.sleep(1)
    # The old primary is in an earlier term: it may serve a read with a maximum
    # age, but never a fresh one.
    assert endpoints_of(await pick(tracker, ReadRequirement(max_age=1))) == [
        E3,
        E2,
        E1,
    ]
    assert endpoints_of(await pick(tracker, ReadRequirement(fresh=True))) == [
        E3,
        E2,
    ]


@with_tracker
async def test_reads_that_meet_their_rule_need_no_primary(group, tracker):
    mark = write(group)
    await asyncio.sleep(0.3)
    for server in group.servers.values():
        server.fence(server.term + 1)
    await asyncio.sleep(0.3)
    assert (
        len(endpoints_of(await pick(tracker, ReadRequirement(max_age=5)))) == 3
    )
    assert len(endpoints_of(await pick(tracker, ReadRequirement(mark)))) == 3
    chosen = await pick(tracker, ReadRequirement(fresh=True), seconds=0.2)
    assert isinstance(chosen.error, NotRun)
    await asyncio.sleep(5)
    chosen = await pick(tracker, ReadRequirement(max_age=5), seconds=0.2)
    assert chosen == Error(
        NotRun(Reason.NO_FRESH_ENDPOINT, 500, 'no check was completed')
    )


@with_tracker
async def test_a_fresh_read_fails_when_its_term_ends(group, tracker):
    stop_replication(group, E2, E3)
    write(group)
    waiting = asyncio.create_task(
        pick(
            tracker, ReadRequirement(fresh=True), seconds=9, primary_reads=False
        )
    )
    await asyncio.sleep(0.02)
    tracker.adopt(tracker.record.claim('vm1/1'))
    before = now()
    assert (await waiting).error.reason is Reason.NO_PRIMARY
    assert now() == before


@with_tracker
async def test_a_limited_number_of_reads_waits_for_a_silent_primary(
    group, tracker
):
    group.servers[E1].not_frozen.clear()
    await asyncio.sleep(0.4)
    before = now()
    reads = [
        asyncio.create_task(
            choose_endpoints(
                tracker,
                ReadRequirement(fresh=True),
                lambda endpoint: 0,
                now() + 3,
                primary_reads=True,
                max_waiting_reads=5,
            )
        )
        for _ in range(20)
    ]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    refused = [read.result().error for read in reads if read.done()]
    assert [refusal.reason for refusal in refused] == [Reason.NO_PRIMARY] * 15
    assert all(refusal.retry_after_ms for refusal in refused)
    group.servers[E1].not_frozen.set()
    await asyncio.gather(*reads)
    assert sum(read.result().is_ok() for read in reads) == 5
    assert now() - before < 1
