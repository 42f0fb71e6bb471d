"""Watches over a group: tracks, suspects, claims, makes stragglers follow."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from expression import Result

from cowslipfork.configuration import Group
from cowslipfork.groups._followers import mend_followers
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
    Trouble,
    Verdict,
    assess_primary,
    trouble_of,
)
from cowslipfork.groups.tracker import Tracker
from cowslipfork.ids import EndpointId, Term
from cowslipfork.store import StoreDown

log = logging.getLogger(__name__)

#: Seconds that a leaving primary waits for a replica to catch up.
HANDOVER_PATIENCE = 2.0
#: Seconds between two replacements of a primary that replicas do not hear,
#: so that slow replicas are not taken for a cut again and again.
STALL_PAUSE = 10.0

_STOPPED = frozenset((Condition.STORE_DOWN, Condition.NO_MAJORITY))

#: Writes any entry in the term on its primary, so that entries of earlier
#: terms become safe; raises ``EndpointSilent`` or ``TermRefused``.
BeginTerm = Callable[[EndpointId, Term], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class SupervisionContext:
    """What the supervision of a group works with.

    Attributes:
        tracker: not yet running.
        claim_context: its ``announce`` spreads records to other nodes.
        ask_peers: asks nodes in other failure domains about the primary.
        rank: rank of this node among the group's claimers; 0 claims first.
        begin_term: writes the first entry of a term.
        health: is told how the group fares.
        backoff: between claims that fail in a row.
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
    """Keeps a group with a primary and followers until cancelled.

    Args:
        context: what to work with.
    """
    context = _adopting(context)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(context.tracker.run())
        tasks.create_task(
            mend_followers(context.tracker, context.begin_term),
        )
        tasks.create_task(_oversee(context))


def _adopting(context: SupervisionContext) -> SupervisionContext:
    """Has the own tracker hear of a record before anybody else."""
    claim_context = context.claim_context

    def announce(record: GroupRecord) -> None:
        context.tracker.adopt(record)
        claim_context.announce(record)

    return replace(
        context, claim_context=replace(claim_context, announce=announce)
    )


async def _oversee(context: SupervisionContext) -> None:
    tracker = context.tracker
    may_replace_stalled = _paced(STALL_PAUSE)
    while True:
        await tracker.alarmed(tracker.failover.probe_interval)
        if not tracker.record.serving:
            await _finish_claim(context)
            continue
        trouble = trouble_of(tracker)
        if trouble is None:
            context.backoff.reset()
            _become(context, Condition.SERVING)
        elif await _needs_replacing(context, trouble, may_replace_stalled):
            await _replace_primary(context, trouble)


def _paced(pause: float) -> Callable[[], bool]:
    """Gives a function that is true at most once in a pause in seconds."""
    until = -math.inf

    def passes() -> bool:
        nonlocal until
        now = asyncio.get_running_loop().time()
        passed = now >= until
        if passed:
            until = now + pause
        return passed

    return passes


async def _needs_replacing(
    context: SupervisionContext,
    trouble: Trouble,
    may_replace_stalled: Callable[[], bool],
) -> bool:
    """Makes sure that a trouble needs another primary."""
    if trouble is Trouble.REMOVED:
        return True
    if trouble is Trouble.STALLED:
        return may_replace_stalled()
    if trouble is Trouble.LEAVING:
        return await _replica_caught_up(context.tracker)
    if context.health.condition is Condition.SERVING:
        _become(context, Condition.SUSPECTED)
    verdict = await assess_primary(context.tracker, context.ask_peers)
    if verdict is Verdict.HERE:
        _become(context, Condition.SERVING)
    elif verdict is Verdict.CUT_OFF:
        _become(context, Condition.CUT_OFF)
        await asyncio.sleep(context.tracker.failover.suspect_after)
    return verdict is Verdict.GONE


async def _replica_caught_up(tracker: Tracker) -> bool:
    """Waits until a replica can take a leaving primary's place at once.

    Returns:
        Whether there is one that stays, caught up or after the patience.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + HANDOVER_PATIENCE
    record = tracker.record
    while loop.time() < until and tracker.record == record:
        if any(
            tracker.lag_seconds(endpoint) == 0 for endpoint in _stayers(tracker)
        ):
            return True
        await asyncio.sleep(tracker.failover.probe_interval)
    return tracker.record == record and bool(_stayers(tracker))


def _stayers(tracker: Tracker) -> list[EndpointId]:
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
    trouble: Trouble,
) -> None:
    """Claims a term because of trouble, after the delay of the own rank."""
    tracker = context.tracker
    record = tracker.record
    step = tracker.failover.claim_step
    await asyncio.sleep(context.rank() * step)
    if tracker.record == record and trouble_of(tracker) is trouble:
        log.warning(
            'primary replaced',
            extra={
                'group': record.group,
                'term': record.term,
                'primary': record.primary,
                'trouble': trouble.value,
            },
        )
        await _claim(context, record)


async def _finish_claim(context: SupervisionContext) -> None:
    """Claims a further term if the claimer of this one does not finish."""
    tracker = context.tracker
    record = tracker.record
    step = tracker.failover.claim_step
    _note_claim(context)
    loop = asyncio.get_running_loop()
    patience = step * (context.rank() + 1)
    if not await tracker.wait_until_serving(loop.time() + patience):
        if tracker.record == record:
            await _claim(context, record)


async def _claim(context: SupervisionContext, record: GroupRecord) -> None:
    """Claims the term after a record's unless the store has a newer one."""
    claim_context = context.claim_context
    try:
        stored = await read_record(claim_context.store, context.group)
    except (StoreDown, RecordInvalid) as error:
        log.warning(
            'record not read',
            extra={'group': record.group, 'cause': str(error)},
        )
        await _failed(context, ClaimFailure.STORE_DOWN)
        return
    if stored.record.supersedes(record):
        claim_context.announce(stored.record)
        return
    _note_claim(context)
    match await _promoted(context, stored):
        case Result(tag='ok'):
            context.backoff.reset()
            _become(context, Condition.SERVING)
        case Result(tag='error', error=failure):
            await _failed(context, failure)


async def _promoted(
    context: SupervisionContext,
    stored: StoredRecord,
) -> Result[GroupRecord, ClaimFailure]:
    return await promote_another(
        context.claim_context,
        stored,
        {stored.record.primary},
    )


async def _failed(context: SupervisionContext, failure: ClaimFailure) -> None:
    """Tells why a claim failed and waits before the next one."""
    if failure is ClaimFailure.STORE_DOWN:
        _become(context, Condition.STORE_DOWN)
    elif failure is ClaimFailure.NO_MAJORITY:
        _become(context, Condition.NO_MAJORITY)
    await asyncio.sleep(context.backoff.next_delay())


def _note_claim(context: SupervisionContext) -> None:
    # What stopped the last claim holds until one succeeds, so that writes
    # are refused at once meanwhile.
    if context.health.condition not in _STOPPED:
        _become(context, Condition.CLAIMING)


def _become(context: SupervisionContext, condition: Condition) -> None:
    if context.health.update(condition):
        log.info(
            'group condition',
            extra={
                'group': context.group.name,
                'term': context.tracker.record.term,
                'condition': condition.value,
            },
        )
