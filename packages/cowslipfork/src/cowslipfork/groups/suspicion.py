"""Evidence that a primary is gone, before anybody claims its term."""

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

#: Seconds for which all replicas lag without a move until the primary is
#: taken for cut off from them.
STALL_AFTER = 1

#: Seconds of the shortest sleep while silence is waited for.
_LEAST_REST = 0.001


@unique
class ProbeResult(Enum):
    """What a node found about a primary on a new connection."""

    #: It leads the term.
    REACHED = 'reached'
    #: It answers and does not lead the term.
    DEPOSED = 'deposed'
    SILENT = 'silent'
    #: The connection was refused or reset.
    REFUSED = 'refused'
    #: The node asked for evidence did not answer.
    UNKNOWN = 'unheard'


#: Asks nodes in other failure domains to examine a primary of a term, all at
#: the same time; gives one piece of evidence for each node asked.
AskPeers = Callable[[EndpointId, Term], Awaitable[Sequence[ProbeResult]]]

_AGAINST = frozenset(
    (ProbeResult.DEPOSED, ProbeResult.SILENT, ProbeResult.REFUSED)
)


@unique
class Verdict(Enum):
    """What all the evidence says."""

    HERE = 'here'
    GONE = 'gone'
    CUT_OFF = 'cut_off'


@unique
class Trouble(Enum):
    """What the samples show that may need another primary."""

    SILENT = 'silent'
    DEPOSED = 'deposed'
    #: It takes writes that no replica receives.
    STALLED = 'stalled'
    LEAVING = 'leaving'
    #: The configuration no longer has it.
    REMOVED = 'removed'


def trouble_of(tracker: Tracker) -> Trouble | None:
    """Looks for trouble in the latest samples.

    Returns:
        The trouble; None if the primary of the record fares well, or was
        not heard of yet.
    """
    record = tracker.record
    if record.primary not in tracker.controls:
        return Trouble.REMOVED
    if tracker.silent_seconds(record.primary):
        return Trouble.SILENT
    status = tracker.current(record.primary)
    if status is None:
        return None
    if not leads(status, record.term):
        return Trouble.DEPOSED
    if status.leaving:
        return Trouble.LEAVING
    return Trouble.STALLED if _stalled(tracker) else None


def _stalled(tracker: Tracker) -> bool:
    heard = [
        status
        for status in map(tracker.status, tracker.controls)
        if status is not None and _follows(tracker, status)
    ]
    moving = [status for status in heard if not _stands_still(tracker, status)]
    # Without the primary a majority must be there to take over, and with it
    # none may be left that can acknowledge.
    able = len(heard) >= tracker.majority
    return able and len(moving) + 1 < tracker.majority


def _follows(tracker: Tracker, status: EndpointStatus) -> bool:
    return (
        status.role is EndpointRole.REPLICA
        and status.term == tracker.record.term
        and not tracker.silent_seconds(status.endpoint)
    )


def _stands_still(tracker: Tracker, status: EndpointStatus) -> bool:
    behind = tracker.lag_seconds(status.endpoint) or 0
    return min(behind, tracker.unmoved(status.endpoint)) >= STALL_AFTER


async def probe_primary(
    control: EndpointControl,
    term: Term,
    timeout: float,
) -> ProbeResult:
    """Asks a primary for its status on a new connection.

    Args:
        control: of the primary.
        term: the term that it should lead.
        timeout: seconds.

    Returns:
        What was found.
    """
    try:
        status = await control.status(timeout, fresh=True)
    except EndpointUnreachable:
        return ProbeResult.REFUSED
    except EndpointSilent:
        return ProbeResult.SILENT
    return ProbeResult.REACHED if leads(status, term) else ProbeResult.DEPOSED


def majority_lost_primary(peers: Sequence[ProbeResult]) -> bool:
    """Tells whether most nodes miss a primary that the asking node misses.

    The asking node counts as one of them. Peers that did not answer are no
    evidence, so that an isolated node accuses nobody.
    """
    against = 1 + sum(probe_result in _AGAINST for probe_result in peers)
    return against * 2 > len(peers) + 1


async def assess_primary(tracker: Tracker, ask_peers: AskPeers) -> Verdict:
    """Gathers evidence about a primary that missed a sample.

    Silence counts only after ``suspect_after``, on the kept connection and
    on a new one: a lost packet or a connection that went silent is no dead
    server. A refused connection or an endpoint that says that it does not
    lead needs no waiting.

    Args:
        tracker: samples of the group.
        ask_peers: asks nodes in other failure domains.

    Returns:
        Whether the primary is here, gone, or only cut off from this node.
    """
    record = tracker.record
    own, peers = await asyncio.gather(
        probe_primary(
            tracker.controls[record.primary],
            record.term,
            tracker.failover.probe_timeout,
        ),
        ask_peers(record.primary, record.term),
    )
    if own is ProbeResult.REACHED:
        return Verdict.HERE
    if own is ProbeResult.DEPOSED:
        return Verdict.GONE
    if own is ProbeResult.SILENT and not await _stays_silent(tracker):
        return Verdict.HERE
    return Verdict.GONE if majority_lost_primary(peers) else Verdict.CUT_OFF


async def _stays_silent(tracker: Tracker) -> bool:
    primary = tracker.record.primary
    silence = tracker.silent_seconds(primary)
    while 0 < silence < tracker.failover.suspect_after:
        # A rest that rounds to nothing would not move the clock.
        rest = tracker.failover.suspect_after - silence
        await asyncio.sleep(max(rest, _LEAST_REST))
        silence = tracker.silent_seconds(primary)
    return silence > 0
