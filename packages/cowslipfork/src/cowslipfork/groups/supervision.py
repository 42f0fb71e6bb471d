"""Supervises a group: samples it, replaces its primary, mends replication."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from expression import Result

from cowslipfork.configuration import Group
from cowslipfork.groups._followers import maintain_replication
from cowslipfork.groups.claim_backoff import ClaimPauses
from cowslipfork.groups.condition import Condition, Health
from cowslipfork.groups.promotion import (
    Claimant,
    ClaimFailure,
    promote_another,
)
from cowslipfork.groups.record import GroupRecord, RecordInvalid
from cowslipfork.groups.record_store import StoredRecord, read_record
from cowslipfork.groups.suspicion import (
    AskPeers,
    PrimaryProblem,
    Verdict,
    find_problem,
    judge_primary,
)
from cowslipfork.groups.tracker import Tracker
from cowslipfork.ids import EndpointId, Term
from cowslipfork.store import StoreDown

log = logging.getLogger(__name__)

#: Seconds to wait until a replica has caught up with a leaving primary.
HANDOVER_TIMEOUT = 2.0
#: Minimum seconds between two replacements of a primary from which replicas
#: receive nothing, so that slow replicas, which look like a network partition,
#: do not cause one replacement after another.
STALL_REPLACEMENT_INTERVAL = 10.0

_BLOCKED_CONDITIONS = frozenset((Condition.STORE_DOWN, Condition.NO_MAJORITY))

#: Writes an entry of the term on the term's primary, so that entries of earlier
#: terms become safe; raises ``EndpointSilent`` or ``TermRefused``.
BeginTerm = Callable[[EndpointId, Term], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Supervision:
    """Dependencies of the supervision of a group.

    Attributes:
        tracker: tracker of the group, not yet running.
        claimant: context of claims; its ``announce`` sends records to other
            nodes.
        ask_peers: makes nodes in other failure domains probe the primary.
        rank: returns the rank of this node among the group's claimers; the
            node with rank 0 claims first.
        begin_term: writes the first entry of a term.
        health: updated with the condition of the group.
        pauses: delays between consecutive failed claims.
    """

    group: Group
    tracker: Tracker
    claimant: Claimant
    ask_peers: AskPeers
    rank: Callable[[], int]
    begin_term: BeginTerm
    health: Health
    pauses: ClaimPauses = field(default_factory=ClaimPauses)


async def supervise(supervision: Supervision) -> None:
    """Keeps a primary and its replicas running in a group until cancelled.

    Args:
        supervision: dependencies of the supervision.
    """
    supervision = _announcing_locally_first(supervision)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(supervision.tracker.run())
        tasks.create_task(
            maintain_replication(supervision.tracker, supervision.begin_term),
        )
        tasks.create_task(_monitor_primary(supervision))


def _announcing_locally_first(supervision: Supervision) -> Supervision:
    """Passes each announced record to this node's tracker first."""
    claimant = supervision.claimant

    def announce(record: GroupRecord) -> None:
        supervision.tracker.adopt(record)
        claimant.announce(record)

    return replace(supervision, claimant=replace(claimant, announce=announce))


async def _monitor_primary(supervision: Supervision) -> None:
    tracker = supervision.tracker
    may_replace_stalled = _rate_limit(STALL_REPLACEMENT_INTERVAL)
    while True:
        await tracker.wait_for_problem(tracker.failover.probe_interval)
        if not tracker.record.serving:
            await _supersede_unfinished_claim(supervision)
            continue
        problem = find_problem(tracker)
        if problem is None:
            supervision.pauses.reset()
            _update_condition(supervision, Condition.SERVING)
        elif await _needs_replacing(supervision, problem, may_replace_stalled):
            await _replace_primary(supervision, problem)


def _rate_limit(interval: float) -> Callable[[], bool]:
    """Returns a function that is True at most once per interval in seconds."""
    next_allowed_at = -math.inf

    def is_allowed() -> bool:
        nonlocal next_allowed_at
        now = asyncio.get_running_loop().time()
        allowed = now >= next_allowed_at
        if allowed:
            next_allowed_at = now + interval
        return allowed

    return is_allowed


async def _needs_replacing(
    supervision: Supervision,
    problem: PrimaryProblem,
    may_replace_stalled: Callable[[], bool],
) -> bool:
    """Returns whether a problem is confirmed and needs another primary."""
    if problem is PrimaryProblem.REMOVED:
        return True
    if problem is PrimaryProblem.STALLED:
        return may_replace_stalled()
    if problem is PrimaryProblem.LEAVING:
        return await _replica_caught_up(supervision.tracker)
    if supervision.health.condition is Condition.SERVING:
        _update_condition(supervision, Condition.SUSPECTED)
    verdict = await judge_primary(supervision.tracker, supervision.ask_peers)
    if verdict is Verdict.REACHABLE:
        _update_condition(supervision, Condition.SERVING)
    elif verdict is Verdict.CUT_OFF:
        _update_condition(supervision, Condition.CUT_OFF)
        await asyncio.sleep(supervision.tracker.failover.suspect_after)
    return verdict is Verdict.FAILED


async def _replica_caught_up(tracker: Tracker) -> bool:
    """Waits until a replica has caught up with a leaving primary.

    Returns:
        Whether a replica that is not leaving has caught up, or is at least
        there after ``HANDOVER_TIMEOUT``.
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + HANDOVER_TIMEOUT
    record = tracker.record
    while loop.time() < give_up_at and tracker.record == record:
        if any(
            tracker.behind(endpoint) == 0
            for endpoint in _available_replicas(tracker)
        ):
            return True
        await asyncio.sleep(tracker.failover.probe_interval)
    return tracker.record == record and bool(_available_replicas(tracker))


def _available_replicas(tracker: Tracker) -> list[EndpointId]:
    return [
        status.endpoint
        for status in map(tracker.status, tracker.controls)
        if status is not None
        and not status.leaving
        and status.endpoint != tracker.record.primary
        and not tracker.silence(status.endpoint)
    ]


async def _replace_primary(
    supervision: Supervision,
    problem: PrimaryProblem,
) -> None:
    """Claims a term for a problem, after the delay of this node's rank."""
    tracker = supervision.tracker
    record = tracker.record
    step = tracker.failover.claim_step
    await asyncio.sleep(supervision.rank() * step)
    if tracker.record == record and find_problem(tracker) is problem:
        log.warning(
            'primary replaced',
            extra={
                'group': record.group,
                'term': record.term,
                'primary': record.primary,
                'trouble': problem.value,
            },
        )
        await _claim(supervision, record)


async def _supersede_unfinished_claim(supervision: Supervision) -> None:
    """Claims a further term if the claimer of this one publishes no primary."""
    tracker = supervision.tracker
    record = tracker.record
    step = tracker.failover.claim_step
    _report_claiming(supervision)
    loop = asyncio.get_running_loop()
    max_wait = step * (supervision.rank() + 1)
    if not await tracker.served(loop.time() + max_wait):
        if tracker.record == record:
            await _claim(supervision, record)


async def _claim(supervision: Supervision, record: GroupRecord) -> None:
    """Claims the term after a record's unless the store has a newer record."""
    claimant = supervision.claimant
    try:
        stored = await read_record(claimant.store, supervision.group)
    except (StoreDown, RecordInvalid) as error:
        log.warning(
            'record not read',
            extra={'group': record.group, 'cause': str(error)},
        )
        await _handle_failure(supervision, ClaimFailure.STORE_DOWN)
        return
    if stored.record.supersedes(record):
        claimant.announce(stored.record)
        return
    _report_claiming(supervision)
    match await _promote_another(supervision, stored):
        case Result(tag='ok'):
            supervision.pauses.reset()
            _update_condition(supervision, Condition.SERVING)
        case Result(tag='error', error=failure):
            await _handle_failure(supervision, failure)


async def _promote_another(
    supervision: Supervision,
    stored: StoredRecord,
) -> Result[GroupRecord, ClaimFailure]:
    return await promote_another(
        supervision.claimant,
        stored,
        {stored.record.primary},
    )


async def _handle_failure(
    supervision: Supervision,
    failure: ClaimFailure,
) -> None:
    """Reports why a claim failed and waits before the next one."""
    if failure is ClaimFailure.STORE_DOWN:
        _update_condition(supervision, Condition.STORE_DOWN)
    elif failure is ClaimFailure.NO_MAJORITY:
        _update_condition(supervision, Condition.NO_MAJORITY)
    await asyncio.sleep(supervision.pauses.take())


def _report_claiming(supervision: Supervision) -> None:
    # The condition that a failed claim set stays until a claim succeeds, so
    # that writes are refused at once meanwhile.
    if supervision.health.condition not in _BLOCKED_CONDITIONS:
        _update_condition(supervision, Condition.CLAIMING)


def _update_condition(supervision: Supervision, condition: Condition) -> None:
    if supervision.health.become(condition):
        log.info(
            'group condition',
            extra={
                'group': supervision.group.name,
                'term': supervision.tracker.record.term,
                'condition': condition.value,
            },
        )
