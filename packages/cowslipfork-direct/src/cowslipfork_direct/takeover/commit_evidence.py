"""Which endpoints have each commit that was acknowledged.

The last primary has all of them, unless another one may have followed it. With
synchronous replicas, so have enough of the replicas together.
"""

from __future__ import annotations

from collections.abc import Collection

from cowslipfork_direct.takeover.endpoint_reports import (
    EndpointReport,
    Evidence,
)
from cowslipfork_direct.takeover.records import (
    Takeover,
    TakeoverKind,
    TakeoverPhase,
)


def has_every_commit(
    takeover: Takeover, evidence: Evidence, candidate: EndpointReport
) -> bool:
    """Returns whether a candidate has each commit that was acknowledged.

    Without synchronous replicas the primary acknowledges commits that no
    replica has, and nothing can be required.
    """
    if not evidence.synchronous:
        return True
    if _has_log_of_last_primary(takeover, evidence, candidate):
        return True
    received = [
        report.status.received
        for report in evidence.reports
        if not report.is_primary
        and (has_unseen_order(takeover) or report.endpoint != takeover.old)
    ]
    greatest = max(received, default=candidate.status.received)
    return candidate.status.received >= greatest and _knows_every_commit(
        takeover, evidence
    )


def has_unseen_order(takeover: Takeover) -> bool:
    """Returns whether an earlier order may have taken effect unseen.

    Args:
        takeover: the takeover.
    """
    return takeover.ceiling > takeover.last_led_term


def newest_primary(
    reports: Collection[EndpointReport],
) -> EndpointReport | None:
    """Returns the primary of the highest term that has just answered."""
    primaries = [
        report for report in reports if report.recent and report.is_primary
    ]
    return max(primaries, key=lambda report: report.status.term, default=None)


def leads_last_term(takeover: Takeover, report: EndpointReport) -> bool:
    """Returns whether no primary can have a later term than this one."""
    return (
        takeover.phase is TakeoverPhase.CLAIMED
        and report.status.term >= takeover.ceiling
    )


def _knows_every_commit(takeover: Takeover, evidence: Evidence) -> bool:
    """Returns whether the replicas that answered have each acknowledged commit.

    Each was received by as many replicas as are synchronous. One that does not
    answer, or has left, may be one of them, so fewer than that number may be
    missing. It takes as many of the holders to answer, whatever is listed now.
    The old primary is none of them, unless it may have followed another one.

    Args:
        takeover: the claimed takeover.
        evidence: what is known of the endpoints.
    """
    holders = evidence.holders
    if not has_unseen_order(takeover):
        holders -= {takeover.old}
    answered = {
        report.endpoint
        for report in evidence.reports
        if report.recent and not report.is_primary
    }
    missing = holders - answered
    return len(missing) < evidence.synchronous


def _has_log_of_last_primary(
    takeover: Takeover, evidence: Evidence, candidate: EndpointReport
) -> bool:
    """Returns whether a candidate has all of the last primary's log.

    That log has each commit, but only if no other primary may have followed.
    """
    last = _last_primary(takeover, evidence)
    return (
        last is not None and candidate.status.received >= last.status.received
    )


def _last_primary(
    takeover: Takeover, evidence: Evidence
) -> EndpointReport | None:
    """Returns the report of the primary of the last term, if it answers.

    In a failover a primary that answers again goes on, unless it has been
    demoted: it is a replica then, whose log doesn't grow any more.
    """
    newest = newest_primary(evidence.reports)
    if newest is None:
        return _demoted_primary(takeover, evidence)
    leads = newest.endpoint == takeover.old and leads_last_term(
        takeover, newest
    )
    return newest if leads and takeover.kind is TakeoverKind.HANDOVER else None


def _demoted_primary(
    takeover: Takeover, evidence: Evidence
) -> EndpointReport | None:
    """Returns the report of the last primary if it is a replica now."""
    last = evidence.last_leader
    if last is None or last.term != takeover.last_led_term:
        return None
    ordered = takeover.phase is not TakeoverPhase.CLAIMED
    if ordered or has_unseen_order(takeover):
        return None
    reports = (
        report
        for report in evidence.reports
        if report.recent and report.endpoint == last.endpoint
    )
    return next(reports, None)
