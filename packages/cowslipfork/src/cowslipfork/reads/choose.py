"""Chooses the endpoints for a read, after a check or a wait if needed."""

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

#: Seconds that a read waits for a replica before it goes to the primary.
MAX_REPLICA_WAIT = 0.05

#: Reads that may wait for a check while the primary does not respond.
MAX_WAITING_READS = 200

#: Bounds of the retry delay that follows from replica lag, in milliseconds,
#: and the delay that is used where no lag is known.
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
    max_waiting_reads: int = MAX_WAITING_READS,
) -> Chosen:
    """Chooses endpoints that provably meet the requirement of a read.

    Args:
        tracker: samples of the group.
        requirement: what the read requires of the endpoint.
        load: load of an endpoint; the least loaded replica comes first.
        deadline: loop time in seconds.
        primary_reads: whether the primary may serve the read.
        max_waiting_reads: maximum number of reads that wait for a check while
            the primary does not respond; any further read fails at once as
            not run.

    Returns:
        At least one candidate, best first, or the reason why there is none.
        Without a published primary a fresh read fails at once as not run;
        the calling code may wait for ``Tracker.wait_until_serving`` and
        choose again.
    """
    if requirement.max_age is not None:
        proved = candidates(
            tracker,
            requirement,
            load,
            primary_reads=primary_reads,
        )
        if proved:
            return Ok(proved)
        requirement = ReadRequirement(requirement.minimum_mark, fresh=True)
    term = tracker.record.term
    if requirement.fresh:
        mark = await _checked_mark(tracker, deadline, max_waiting_reads)
        if mark is None:
            return Error(_check_refusal(tracker))
        requirement = replace(
            requirement,
            minimum_mark=max(requirement.minimum_mark, mark),
        )
    prefer_replica_until = asyncio.get_running_loop().time() + MAX_REPLICA_WAIT
    # The mark of a check may belong to an unacknowledged entry, which the
    # logs of a later term need not contain.
    while not requirement.fresh or term == tracker.record.term:
        eligible = candidates(
            tracker,
            requirement,
            load,
            primary_reads=primary_reads,
        )
        until = _replica_wait_until(
            tracker, eligible, prefer_replica_until, deadline
        )
        if until is None:
            return Ok(eligible) if eligible else Error(_lag_refusal(tracker))
        await tracker.wait_for_replica(requirement.minimum_mark, until)
    return Error(_check_refusal(tracker))


async def _checked_mark(
    tracker: Tracker,
    deadline: float,
    max_waiting_reads: int,
) -> Mark | None:
    """Returns the mark of a check, or None if the check fails.

    Starts no check if too many reads wait for an unresponsive primary already.
    """
    record = tracker.record
    if (
        tracker.silent_seconds(record.primary)
        and tracker.waiting >= max_waiting_reads
    ):
        return None
    found = await tracker.check(record.term, deadline)
    return found.ok if found.is_ok() else None


def _replica_wait_until(
    tracker: Tracker,
    eligible: tuple[Candidate, ...],
    prefer_replica_until: float,
    deadline: float,
) -> float | None:
    """Decides whether to wait for a replica to catch up.

    Args:
        tracker: samples of the group.
        eligible: endpoints that could serve the read now.
        prefer_replica_until: loop time until which a replica is preferred to
            them.
        deadline: loop time at which the read fails.

    Returns:
        The loop time until which to wait, or None to use the endpoints that
        are available: an answer now is better than one near the deadline.
    """
    now = asyncio.get_running_loop().time()
    lag = _smallest_lag(tracker)
    if lag is None or now >= deadline:
        return None
    if not eligible:
        return deadline if lag < deadline - now else None
    if eligible[0].preference is ReadPreference.REPLICA:
        return None
    may_wait = lag <= MAX_REPLICA_WAIT and now < prefer_replica_until
    return min(prefer_replica_until, deadline) if may_wait else None


def _smallest_lag(tracker: Tracker) -> float | None:
    """Returns the smallest lag of the replicas that respond.

    Returns:
        The lag in seconds, or None if no replica responds.
    """
    lags = [
        tracker.lag_seconds(status.endpoint)
        for status in map(tracker.status, tracker.controls)
        if status is not None
        and not status.leaving
        and preference_of(tracker, status) is ReadPreference.REPLICA
    ]
    return min((lag for lag in lags if lag is not None), default=None)


def _lag_refusal(tracker: Tracker) -> NotRun:
    lag = _smallest_lag(tracker)
    if lag is None:
        return NotRun(
            Reason.NO_FRESH_ENDPOINT,
            PROMOTION_RETRY_MS,
            'no replica in the current term responds',
        )
    retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, round(lag * 1000)))
    detail = f'the most up-to-date replica has lagged for {lag:.3f} s'
    return NotRun(Reason.NO_FRESH_ENDPOINT, retry_ms, detail)


def _check_refusal(tracker: Tracker) -> NotRun:
    reason = Reason.NO_FRESH_ENDPOINT
    if not tracker.record.serving or tracker.silent_seconds(
        tracker.record.primary,
    ):
        reason = Reason.NO_PRIMARY
    return NotRun(reason, PROMOTION_RETRY_MS, 'no check was completed')
