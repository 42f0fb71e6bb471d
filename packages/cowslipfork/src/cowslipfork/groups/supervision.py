"""Supervises a group: samples it, replaces its primary, mends replication."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from expression import Result

from cowslipfork.configuration import Group
from cowslipfork.groups._followers import mend_followers
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
    Trouble,
    Verdict,
    judge_primary,
    trouble_of,
)
from cowslipfork.groups.tracker import Tracker
from cowslipfork.ids import EndpointId, Term
from cowslipfork.store import StoreDown

log = logging.getLogger(__name__)

#: Seconds to wait until a replica has caught up with a leaving primary.
HANDOVER_PATIENCE = 2.0
#: Minimum seconds between two replacements of a primary from which replicas
#: receive nothing, so that slow replicas, which look like a network partition,
#: do not cause one replacement after another.
STALL_PAUSE = 10.0

_STOPPED = frozenset((Condition.STORE_DOWN, Condition.NO_MAJORITY))

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
    supervision = _adopting(supervision)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(supervision.tracker.run())
        tasks.create_task(
            mend_followers(supervision.tracker, supervision.begin_term),
        )
        tasks.create_task(_oversee(supervision))


def _adopting(supervision: Supervision) -> Supervision:
    """Passes each announced record to this node's tracker first."""
    claimant = supervision.claimant

    def announce(record: GroupRecord) -> None:
        supervision.tracker.adopt(record)
        claimant.announce(record)

    return replace(supervision, claimant=replace(claimant, announce=announce))


async def _oversee(supervision: Supervision) -> None:
    tracker = supervision.tracker
    may_replace_stalled = _paced(STALL_PAUSE)
    while True:
        await tracker.alarmed(tracker.failover.probe_interval)
        if not tracker.record.serving:
            await _finish_claim(supervision)
            continue
        trouble = trouble_of(tracker)
        if trouble is None:
            supervision.pauses.reset()
            _become(supervision, Condition.SERVING)
        elif await _needs_replacing(supervision, trouble, may_replace_stalled):
            await _replace_primary(supervision, trouble)


def _paced(pause: float) -> Callable[[], bool]:
    """Returns a function that is True at most once per interval in seconds."""
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
    supervision: Supervision,
    trouble: Trouble,
    may_replace_stalled: Callable[[], bool],
) -> bool:
    """Returns whether the trouble is confirmed and needs another primary."""
    if trouble is Trouble.REMOVED:
        return True
    if trouble is Trouble.STALLED:
        return may_replace_stalled()
    if trouble is Trouble.LEAVING:
        return await _replica_caught_up(supervision.tracker)
    if supervision.health.condition is Condition.SERVING:
        _become(supervision, Condition.SUSPECTED)
    verdict = await judge_primary(supervision.tracker, supervision.ask_peers)
    if verdict is Verdict.HERE:
        _become(supervision, Condition.SERVING)
    elif verdict is Verdict.CUT_OFF:
        _become(supervision, Condition.CUT_OFF)
        await asyncio.sleep(supervision.tracker.failover.suspect_after)
    return verdict is Verdict.GONE


async def _replica_caught_up(tracker: Tracker) -> bool:
    """Waits until a replica has caught up with a leaving primary.

    Returns:
        Whether a replica that is not leaving has caught up, or is at least
        there after ``HANDOVER_PATIENCE``.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + HANDOVER_PATIENCE
    record = tracker.record
    while loop.time() < until and tracker.record == record:
        if any(tracker.behind(endpoint) == 0 for endpoint in _stayers(tracker)):
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
        and not tracker.silence(status.endpoint)
    ]


async def _replace_primary(
    supervision: Supervision,
    trouble: Trouble,
) -> None:
    """Claims a term because of trouble, after the delay of this node's rank."""
    tracker = supervision.tracker
    record = tracker.record
    step = tracker.failover.claim_step
    await asyncio.sleep(supervision.rank() * step)
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
        await _claim(supervision, record)


async def _finish_claim(supervision: Supervision) -> None:
    """Claims a further term if the claimer of this one publishes no primary."""
    tracker = supervision.tracker
    record = tracker.record
    step = tracker.failover.claim_step
    _note_claim(supervision)
    loop = asyncio.get_running_loop()
    patience = step * (supervision.rank() + 1)
    if not await tracker.served(loop.time() + patience):
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
        await _failed(supervision, ClaimFailure.STORE_DOWN)
        return
    if stored.record.supersedes(record):
        claimant.announce(stored.record)
        return
    _note_claim(supervision)
    match await _promoted(supervision, stored):
        case Result(tag='ok'):
            supervision.pauses.reset()
            _become(supervision, Condition.SERVING)
        case Result(tag='error', error=failure):
            await _failed(supervision, failure)


async def _promoted(
    supervision: Supervision,
    stored: StoredRecord,
) -> Result[GroupRecord, ClaimFailure]:
    return await promote_another(
        supervision.claimant,
        stored,
        {stored.record.primary},
    )


async def _failed(supervision: Supervision, failure: ClaimFailure) -> None:
    """Reports why a claim failed and waits before the next one."""
    if failure is ClaimFailure.STORE_DOWN:
        _become(supervision, Condition.STORE_DOWN)
    elif failure is ClaimFailure.NO_MAJORITY:
        _become(supervision, Condition.NO_MAJORITY)
    await asyncio.sleep(supervision.pauses.take())


def _note_claim(supervision: Supervision) -> None:
    # The condition that a failed claim set stays until a claim succeeds, so
    # that writes are refused at once meanwhile.
    if supervision.health.condition not in _STOPPED:
        _become(supervision, Condition.CLAIMING)


def _become(supervision: Supervision, condition: Condition) -> None:
    if supervision.health.become(condition):
        log.info(
            'group condition',
            extra={
                'group': supervision.group.name,
                'term': supervision.tracker.record.term,
                'condition': condition.value,
            },
        )
