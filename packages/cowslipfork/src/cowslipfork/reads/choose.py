"""Finds an endpoint for a read, waiting for proof where that helps."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from expression import Error, Ok, Result

from cowslipfork.groups import Tracker
from cowslipfork.ids import Mark
from cowslipfork.outcomes import NotRun, Reason
from cowslipfork.reads.eligible import (
    Candidate,
    Load,
    ReadPreference,
    candidates,
    preference_of,
)
from cowslipfork.reads.requirement import ReadRequirement

#: Seconds that a read waits for a replica before it takes the primary.
PATIENCE = 0.05

#: Reads held for a check while the primary is silent.
MOST_HELD = 200

#: Bounds and default of the time to come back, in milliseconds.
MIN_RETRY_MS = 10
MAX_RETRY_MS = 5000
PROMOTION_RETRY_MS = 500

Chosen = Result[tuple[Candidate, ...], NotRun]


async def choose_endpoints(
    tracker: Tracker,
    requirement: ReadRequirement,
    load: Load,
    deadline: float,
    *,
    primary_reads: bool,
    max_waiting_reads: int = MOST_HELD,
) -> Chosen:
    """Chooses endpoints that provably meet the need of a read.

    Args:
        tracker: samples of the group.
        requirement: what the read demands.
        load: load of an endpoint; the least loaded replica comes first.
        deadline: loop time in seconds.
        primary_reads: whether the primary may serve the read.
        max_waiting_reads: most reads that wait for a check while the
            primary is silent; further ones are not run at once.

    Returns:
        At least one candidate, best first, or why there is none. Without a
        published primary a fresh read is not run at once; the caller may
        hold it until ``Tracker.served`` and choose again.
    """
    if requirement.max_age is not None:
        proved = candidates(
            tracker, requirement, load, primary_reads=primary_reads
        )
        if proved:
            return Ok(proved)
        requirement = ReadRequirement(requirement.minimum_mark, fresh=True)
    term = tracker.record.term
    if requirement.fresh:
        mark = await _checked_mark(tracker, deadline, max_waiting_reads)
        if mark is None:
            return Error(_unproved(tracker))
        requirement = replace(
            requirement, minimum_mark=max(requirement.minimum_mark, mark)
        )
    patient_until = asyncio.get_running_loop().time() + PATIENCE
    # The mark of a check may be an unacknowledged one, which a later term
    # need not reach.
    while not requirement.fresh or term == tracker.record.term:
        able = candidates(
            tracker, requirement, load, primary_reads=primary_reads
        )
        until = _worth_waiting(tracker, able, patient_until, deadline)
        if until is None:
            return Ok(able) if able else Error(_too_far_behind(tracker))
        await tracker.wait_for_replica(requirement.minimum_mark, until)
    return Error(_unproved(tracker))


async def _checked_mark(
    tracker: Tracker,
    deadline: float,
    max_waiting_reads: int,
) -> Mark | None:
    """Runs a check unless too many wait for a silent primary already."""
    record = tracker.record
    if (
        tracker.silent_seconds(record.primary)
        and tracker.waiting >= max_waiting_reads
    ):
        return None
    found = await tracker.check(record.term, deadline)
    return found.ok if found.is_ok() else None


def _worth_waiting(
    tracker: Tracker,
    able: tuple[Candidate, ...],
    patient_until: float,
    deadline: float,
) -> float | None:
    """Decides whether to wait for a replica to catch up.

    Args:
        tracker: samples of the group.
        able: endpoints that could serve the read now.
        patient_until: until when a replica is preferred to them.
        deadline: when the read is given up.

    Returns:
        Until when to wait, or None to take what there is: an answer now
        beats one near the deadline.
    """
    now = asyncio.get_running_loop().time()
    behind = _least_behind(tracker)
    if behind is None or now >= deadline:
        return None
    if not able:
        return deadline if behind < deadline - now else None
    if able[0].preference is ReadPreference.REPLICA:
        return None
    patient = behind <= PATIENCE and now < patient_until
    return min(patient_until, deadline) if patient else None


def _least_behind(tracker: Tracker) -> float | None:
    """Gives the lag of the least lagging replica that is heard.

    Returns:
        Seconds, or None without such a replica.
    """
    lags = [
        tracker.lag_seconds(status.endpoint)
        for status in map(tracker.status, tracker.controls)
        if status is not None
        and not status.leaving
        and preference_of(tracker, status) is ReadPreference.REPLICA
    ]
    return min((lag for lag in lags if lag is not None), default=None)


def _too_far_behind(tracker: Tracker) -> NotRun:
    behind = _least_behind(tracker)
    if behind is None:
        return NotRun(
            Reason.NO_FRESH_ENDPOINT,
            PROMOTION_RETRY_MS,
            'no replica of the term answers',
        )
    retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, round(behind * 1000)))
    detail = f'the best replica has lagged for {behind:.3f} s'
    return NotRun(Reason.NO_FRESH_ENDPOINT, retry_ms, detail)


def _unproved(tracker: Tracker) -> NotRun:
    reason = Reason.NO_FRESH_ENDPOINT
    if not tracker.record.serving or tracker.silent_seconds(
        tracker.record.primary
    ):
        reason = Reason.NO_PRIMARY
    return NotRun(reason, PROMOTION_RETRY_MS, 'no check was completed')
