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
from cowslipfork.groups.claim_backoff import ClaimBackoff
from cowslipfork.groups.condition import Condition, Health
from cowslipfork.groups.promotion import (
    ClaimContext,
    ClaimFailure,
    promote_another,
)
from cowslipfork.groups.record import GroupRecord, RecordInvalid
from cowslipfork.groups.record_store import StoredRecord, read_record
from cowslipfork.groups.suspicion import (
    AskPeers,
    PrimaryProblem,
    Verdict,
    assess_primary,
    find_problem,
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
class SupervisionContext:
    """Dependencies of the supervision of a group.

    Attributes:
        tracker: tracker of the group, not yet running.
        claim_context: dependencies of claims; its ``announce`` sends records
            to other nodes.
        ask_peers: makes nodes in other failure domains probe the primary.
        rank: returns the rank of this node among the group's claimers; the
            node with rank 0 claims first.
        begin_term: writes the first entry of a term.
        health: updated with the condition of the group.
        backoff: delays between consecutive failed claims.
    """

    group: Group
    tracker: Tracker
    claim_context: ClaimContext
    ask_peers: AskPeers
    rank: Callable[[], int]
    begin_term: BeginTerm
    health: Health
    backoff: ClaimBackoff = field(default_factory=ClaimBackoff)


async def supervise(context: SupervisionContext) -> None:
    """Keeps a primary and its replicas running in a group until cancelled.

    Args:
        context: dependencies of the supervision.
    """
    context = _announcing_locally_first(context)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(context.tracker.run())
        tasks.create_task(
            maintain_replication(context.tracker, context.begin_term),
        )
        tasks.create_task(_monitor_primary(context))


def _announcing_locally_first(
    context: SupervisionContext,
) -> SupervisionContext:
    """Passes each announced record to this node's tracker first."""
    claim_context = context.claim_context

    def announce(record: GroupRecord) -> None:
        context.tracker.adopt(record)
        claim_context.announce(record)

    return replace(
        context,
        claim_context=replace(claim_context, announce=announce),
    )


async def _monitor_primary(context: SupervisionContext) -> None:
    tracker = context.tracker
    may_replace_stalled = _rate_limit(STALL_REPLACEMENT_INTERVAL)
    while True:
        await tracker.wait_for_problem(tracker.failover.probe_interval)
        if not tracker.record.serving:
            await _supersede_unfinished_claim(context)
            continue
        problem = find_problem(tracker)
        if problem is None:
            context.backoff.reset()
            _update_condition(context, Condition.SERVING)
        elif await _needs_replacing(context, problem, may_replace_stalled):
            await _replace_primary(context, problem)


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
    context: SupervisionContext,
    problem: PrimaryProblem,
    may_replace_stalled: Callable[[], bool],
) -> bool:
    """Returns whether a problem is confirmed and needs another primary."""
    if problem is PrimaryProblem.REMOVED:
        return True
    if problem is PrimaryProblem.STALLED:
        return may_replace_stalled()
    if problem is PrimaryProblem.LEAVING:
        return await _replica_caught_up(context.tracker)
    if context.health.condition is Condition.SERVING:
        _update_condition(context, Condition.SUSPECTED)
    verdict = await assess_primary(context.tracker, context.ask_peers)
    if verdict is Verdict.REACHABLE:
        _update_condition(context, Condition.SERVING)
    elif verdict is Verdict.CUT_OFF:
        _update_condition(context, Condition.CUT_OFF)
        await asyncio.sleep(context.tracker.failover.suspect_after)
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
            tracker.lag_seconds(endpoint) == 0
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
        and not tracker.silent_seconds(status.endpoint)
    ]


async def _replace_primary(
    context: SupervisionContext,
    problem: PrimaryProblem,
) -> None:
    """Claims a term for a problem, after the delay of this node's rank."""
    tracker = context.tracker
    record = tracker.record
    step = tracker.failover.claim_step
    await asyncio.sleep(context.rank() * step)
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
        await _claim(context, record)


async def _supersede_unfinished_claim(context: SupervisionContext) -> None:
    """Claims a further term if the claimer of this one publishes no primary."""
    tracker = context.tracker
    record = tracker.record
    step = tracker.failover.claim_step
    _report_claiming(context)
    loop = asyncio.get_running_loop()
    max_wait = step * (context.rank() + 1)
    if not await tracker.wait_until_serving(loop.time() + max_wait):
        if tracker.record == record:
            await _claim(context, record)


async def _claim(context: SupervisionContext, record: GroupRecord) -> None:
    """Claims the term after a record's unless the store has a newer record."""
    claim_context = context.claim_context
    try:
        stored = await read_record(claim_context.store, context.group)
    except (StoreDown, RecordInvalid) as error:
        log.warning(
            'record not read',
            extra={'group': record.group, 'cause': str(error)},
        )
        await _handle_failure(context, ClaimFailure.STORE_DOWN)
        return
    if stored.record.supersedes(record):
        claim_context.announce(stored.record)
        return
    _report_claiming(context)
    match await _promote_another(context, stored):
        case Result(tag='ok'):
            context.backoff.reset()
            _update_condition(context, Condition.SERVING)
        case Result(tag='error', error=failure):
            await _handle_failure(context, failure)


async def _promote_another(
    context: SupervisionContext,
    stored: StoredRecord,
) -> Result[GroupRecord, ClaimFailure]:
    return await promote_another(
        context.claim_context,
        stored,
        {stored.record.primary},
    )


async def _handle_failure(
    context: SupervisionContext, failure: ClaimFailure
) -> None:
    """Reports why a claim failed and waits before the next one."""
    if failure is ClaimFailure.STORE_DOWN:
        _update_condition(context, Condition.STORE_DOWN)
    elif failure is ClaimFailure.NO_MAJORITY:
        _update_condition(context, Condition.NO_MAJORITY)
    await asyncio.sleep(context.backoff.next_delay())


def _report_claiming(context: SupervisionContext) -> None:
    # The condition that a failed claim set stays until a claim succeeds, so
    # that writes are refused at once meanwhile.
    if context.health.condition not in _BLOCKED_CONDITIONS:
        _update_condition(context, Condition.CLAIMING)


def _update_condition(
    context: SupervisionContext, condition: Condition
) -> None:
    if context.health.update(condition):
        log.info(
            'group condition',
            extra={
                'group': context.group.name,
                'term': context.tracker.record.term,
                'condition': condition.value,
            },
        )
