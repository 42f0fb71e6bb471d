"""Confirms that a primary has failed before a node claims the next term."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from enum import Enum, unique

from cowslipfork.groups._evidence import leads
from cowslipfork.groups.port import (
    EndpointControl,
    EndpointRole,
    EndpointSilent,
    EndpointStatus,
    EndpointUnreachable,
)
from cowslipfork.groups.tracker import Tracker
from cowslipfork.ids import EndpointId, Term

#: Seconds for which replicas must have lagged without progress until the
#: primary counts as cut off from them.
STALL_AFTER = 1

#: Minimum sleep in seconds while waiting whether the primary answers again.
_MIN_SLEEP = 0.001


@unique
class ProbeResult(Enum):
    """Result of probing a primary on a new connection."""

    #: It answers as primary of the term.
    REACHED = 'reached'
    #: It answers but is not primary of the term.
    DEPOSED = 'deposed'
    SILENT = 'silent'
    #: The connection was refused or reset.
    REFUSED = 'refused'
    #: The peer that was asked to probe the primary did not answer.
    UNKNOWN = 'unheard'


#: Asks nodes in other failure domains to probe the primary of a term, all at
#: the same time; returns one result for each node asked.
AskPeers = Callable[[EndpointId, Term], Awaitable[Sequence[ProbeResult]]]

_LOST_RESULTS = frozenset(
    (ProbeResult.DEPOSED, ProbeResult.SILENT, ProbeResult.REFUSED),
)


@unique
class Verdict(Enum):
    """Conclusion from the probes of all nodes."""

    REACHABLE = 'here'
    FAILED = 'gone'
    CUT_OFF = 'cut_off'


@unique
class PrimaryProblem(Enum):
    """Problem in the samples that may require another primary."""

    SILENT = 'silent'
    DEPOSED = 'deposed'
    #: It accepts writes, but its replicas receive none.
    STALLED = 'stalled'
    LEAVING = 'leaving'
    #: It is no longer in the configuration.
    REMOVED = 'removed'


def find_problem(tracker: Tracker) -> PrimaryProblem | None:
    """Returns the problem that the latest samples show.

    Returns:
        The problem; None if the primary of the record is healthy, or has not
        been sampled yet.
    """
    record = tracker.record
    if record.primary not in tracker.controls:
        return PrimaryProblem.REMOVED
    if tracker.silent_seconds(record.primary):
        return PrimaryProblem.SILENT
    status = tracker.status_since_record(record.primary)
    if status is None:
        return None
    if not leads(status, record.term):
        return PrimaryProblem.DEPOSED
    if status.leaving:
        return PrimaryProblem.LEAVING
    return PrimaryProblem.STALLED if _replicas_stalled(tracker) else None


def _replicas_stalled(tracker: Tracker) -> bool:
    responding = [
        status
        for status in map(tracker.status, tracker.controls)
        if status is not None and _is_active_replica(tracker, status)
    ]
    progressing = [
        status for status in responding if not _is_stalled(tracker, status)
    ]
    # The replicas that respond must be a majority without the primary, so that
    # one can take over. Those that make progress must be no majority together
    # with the primary, so that no write can be acknowledged.
    can_take_over = len(responding) >= tracker.majority
    return can_take_over and len(progressing) + 1 < tracker.majority


def _is_active_replica(tracker: Tracker, status: EndpointStatus) -> bool:
    return (
        status.role is EndpointRole.REPLICA
        and status.term == tracker.record.term
        and not tracker.silent_seconds(status.endpoint)
    )


def _is_stalled(tracker: Tracker, status: EndpointStatus) -> bool:
    lag = tracker.lag_seconds(status.endpoint) or 0
    return min(lag, tracker.unchanged_seconds(status.endpoint)) >= STALL_AFTER


async def probe_primary(
    control: EndpointControl,
    term: Term,
    timeout: float,
) -> ProbeResult:
    """Requests the status of a primary on a new connection.

    Args:
        control: control interface of the primary.
        term: term of which the endpoint should be primary.
        timeout: maximum wait in seconds.

    Returns:
        Whether the endpoint answered, and as primary of the term; it raises
        no error for an endpoint that does not answer.
    """
    try:
        status = await control.status(timeout, fresh=True)
    except EndpointUnreachable:
        return ProbeResult.REFUSED
    except EndpointSilent:
        return ProbeResult.SILENT
    return ProbeResult.REACHED if leads(status, term) else ProbeResult.DEPOSED


def majority_lost_primary(peer_results: Sequence[ProbeResult]) -> bool:
    """Returns whether most nodes have lost a primary that this node has lost.

    This node counts as one of them. Peers that did not answer do not count as
    having lost it, so that an isolated node replaces no primary.
    """
    lost = 1 + sum(
        probe_result in _LOST_RESULTS for probe_result in peer_results
    )
    return lost * 2 > len(peer_results) + 1


async def assess_primary(tracker: Tracker, ask_peers: AskPeers) -> Verdict:
    """Probes a primary that missed a sample, from this node and from peers.

    A missing answer counts only after ``suspect_after``, on the kept
    connection and on a new one: a lost packet or a stalled connection does
    not mean that the server is down. No wait is needed after a refused
    connection, or if the endpoint reports that it is not the primary.

    Args:
        tracker: samples of the group.
        ask_peers: makes nodes in other failure domains probe the primary.

    Returns:
        Whether the primary is reachable, has failed, or is only cut off from
        this node.
    """
    record = tracker.record
    own_result, peer_results = await asyncio.gather(
        probe_primary(
            tracker.controls[record.primary],
            record.term,
            tracker.failover.probe_timeout,
        ),
        ask_peers(record.primary, record.term),
    )
    if own_result is ProbeResult.REACHED:
        return Verdict.REACHABLE
    if own_result is ProbeResult.DEPOSED:
        return Verdict.FAILED
    if own_result is ProbeResult.SILENT and not await _stays_silent(tracker):
        return Verdict.REACHABLE
    return (
        Verdict.FAILED
        if majority_lost_primary(peer_results)
        else Verdict.CUT_OFF
    )


async def _stays_silent(tracker: Tracker) -> bool:
    primary = tracker.record.primary
    silence = tracker.silent_seconds(primary)
    while 0 < silence < tracker.failover.suspect_after:
        # A sleep that is too short to change the loop time, a floating-point
        # number, would repeat forever.
        remaining = tracker.failover.suspect_after - silence
        await asyncio.sleep(max(remaining, _MIN_SLEEP))
        silence = tracker.silent_seconds(primary)
    return silence > 0
