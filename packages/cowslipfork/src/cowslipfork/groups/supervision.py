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
class Supervision:
    """What the supervision of a group works with.

    Attributes:
        tracker: not yet running.
        claimant: its ``announce`` spreads records to other nodes.
        ask_peers: asks nodes in other failure domains about the primary.
        rank: rank of this node among the group's claimers; 0 claims first.
        begin_term: writes the first entry of a term.
        health: is told how the group fares.
        pauses: between claims that fail in a row.
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
    """Keeps a group with a primary and followers until cancelled.

    Args:
        supervision: what to work with.
    """
    supervision = _adopting(supervision)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(supervision.tracker.run())
        tasks.create_task(
            mend_followers(supervision.tracker, supervision.begin_term),
        )
        tasks.create_task(_oversee(supervision))


def _adopting(supervision: Supervision) -> Supervision:
    """Has the own tracker hear of a record before anybody else."""
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
    supervision: Supervision,
    trouble: Trouble,
    may_replace_stalled: Callable[[], bool],
) -> bool:
    """Makes sure that a trouble needs another primary."""
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
    """Waits until a replica can take a leaving primary's place at once.

    Returns:
        Whether there is one that stays, caught up or after the patience.
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
    """Claims a term because of trouble, after the delay of the own rank."""
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
    """Claims a further term if the claimer of this one does not finish."""
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
    """Claims the term after a record's unless the store has a newer one."""
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
    """Tells why a claim failed and waits before the next one."""
    if failure is ClaimFailure.STORE_DOWN:
        _become(supervision, Condition.STORE_DOWN)
    elif failure is ClaimFailure.NO_MAJORITY:
        _become(supervision, Condition.NO_MAJORITY)
    await asyncio.sleep(supervision.pauses.take())


def _note_claim(supervision: Supervision) -> None:
    # What stopped the last claim holds until one succeeds, so that writes
    # are refused at once meanwhile.
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
