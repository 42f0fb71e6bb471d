"""Decides the next step of a takeover once the old primary is not used.

A takeover may follow one whose order was sent and whose effect nobody has
seen. Another endpoint may then have become primary, so what is decided rests on
the takeover's record, which tells the terms that may have had a primary, and
not on what the endpoints that answer at this moment say of themselves.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from cowslipfork.ids import EndpointId
from cowslipfork_direct.takeover.commit_evidence import (
    has_every_commit,
    has_unseen_order,
    leads_last_term,
    newest_primary,
)
from cowslipfork_direct.takeover.endpoint_reports import (
    EndpointReport,
    Evidence,
)
from cowslipfork_direct.takeover.records import (
    Takeover,
    TakeoverKind,
    TakeoverPhase,
)


@dataclass(frozen=True, slots=True)
class Promote:
    """Order the promotion of a candidate.

    Attributes:
        candidate: the candidate.
    """

    candidate: EndpointId


@dataclass(frozen=True, slots=True)
class Demote:
    """Make a primary a replica, which can then be promoted.

    Attributes:
        endpoint: the primary; another one may have a later term.
    """

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class Abandon:
    """Let the primary that answers go on.

    Attributes:
        primary: the primary.
    """

    primary: EndpointId


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait until an endpoint that can be promoted answers."""


Step = Promote | Demote | Abandon | Wait


def next_step(
    takeover: Takeover,
    evidence: Evidence,
    refused: Collection[EndpointId] = (),
) -> Step:
    """Returns the next step of a takeover.

    Without a replica to promote, a primary that answers may go on if no other
    one can have a later term. If an order whose effect was never observed may
    have made another primary, its writes would be lost when that one returns.
    It may be promoted to a term above all others, though, once it is a replica.
    The primary that such an order has made goes on as soon as it answers.

    Args:
        takeover: the claimed takeover.
        evidence: what is known of the endpoints.
        refused: endpoints that the platform can't promote now.
    """
    newest = newest_primary(evidence.reports)
    if newest is not None and _was_made_unseen(takeover, newest):
        return Abandon(newest.endpoint)
    candidate = choose_candidate(takeover, evidence, refused)
    if candidate is not None and has_every_commit(
        takeover, evidence, candidate
    ):
        return Promote(candidate.endpoint)
    if newest is None:
        return Wait()
    if leads_last_term(takeover, newest):
        return Abandon(newest.endpoint)
    if is_outdated(takeover, newest) and not evidence.accepts_outdated:
        return Wait()
    return Demote(newest.endpoint)


def choose_candidate(
    takeover: Takeover,
    evidence: Evidence,
    refused: Collection[EndpointId] = (),
) -> EndpointReport | None:
    """Returns the replica that has received most of the log, if any.

    Of several, one that is not about to leave is preferred. A primary that
    was demoted in a handover leads again if there is no other one.

    A replica of a term before the last one that had a primary lacks what that
    one has acknowledged, and may have commits that were rolled back.

    Args:
        takeover: the claimed takeover.
        evidence: what is known of the endpoints.
        refused: endpoints that the platform can't promote now.
    """
    replicas = [
        report
        for report in evidence.reports
        if not report.is_primary
        and report.endpoint not in refused
        and (evidence.accepts_outdated or not is_outdated(takeover, report))
    ]
    handover = takeover.kind is TakeoverKind.HANDOVER
    return max(
        replicas,
        key=lambda report: (
            not (handover and report.endpoint == takeover.old),
            report.status.received,
            not report.leaving,
        ),
        default=None,
    )


def is_outdated(takeover: Takeover, report: EndpointReport) -> bool:
    """Returns whether an endpoint has not followed the last primary.

    Args:
        takeover: the claimed takeover.
        report: what the endpoint reported.
    """
    return report.status.term < takeover.last_led_term


def may_abandon_unseen(takeover: Takeover) -> bool:
    """Returns whether a takeover may be abandoned without a primary's answer.

    Only if it has ordered nothing itself, and no earlier order may have taken
    effect unseen.

    Args:
        takeover: the claimed takeover.
    """
    claimed = takeover.phase is TakeoverPhase.CLAIMED
    return claimed and not has_unseen_order(takeover)


def _was_made_unseen(takeover: Takeover, report: EndpointReport) -> bool:
    """Returns whether a primary follows from an order that nobody saw work."""
    return has_unseen_order(takeover) and leads_last_term(takeover, report)
