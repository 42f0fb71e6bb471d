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
from cowslipfork_direct.link import EndpointRole, EndpointStatus
from cowslipfork_direct.takeover.records import (
    Takeover,
    TakeoverKind,
    TakeoverPhase,
)


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """What an endpoint of the group last reported.

    Attributes:
        endpoint: its id.
        status: its status.
        recent: whether the status was requested since the old primary is not
            used.
        leaving: whether the endpoint is about to leave.
    """

    endpoint: EndpointId
    status: EndpointStatus
    recent: bool
    leaving: bool

    @property
    def is_primary(self) -> bool:
        """Whether the endpoint says that it is a primary."""
        return self.status.role is EndpointRole.PRIMARY


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
    reports: Collection[EndpointReport],
    refused: Collection[EndpointId] = (),
) -> Step:
    """Returns the next step of a takeover.

    Without a replica to promote, a primary that answers may go on if no other
    one can have a later term. If an order whose effect was never observed may
    have made another primary, its writes would be lost when that one returns.
    It may be promoted to a term above all others, though, once it is a replica.

    Args:
        takeover: the claimed takeover.
        reports: what the reachable endpoints reported.
        refused: endpoints that the platform can't promote now.
    """
    candidate = choose_candidate(takeover, reports, refused)
    if candidate is not None:
        return Promote(candidate)
    primaries = [
        report for report in reports if report.recent and report.is_primary
    ]
    newest = max(primaries, key=lambda report: report.status.term, default=None)
    if newest is None:
        return Wait()
    if _leads_last_term(takeover, newest):
        return Abandon(newest.endpoint)
    if newest.status.term >= takeover.last_led_term:
        return Demote(newest.endpoint)
    return Wait()


def choose_candidate(
    takeover: Takeover,
    reports: Collection[EndpointReport],
    refused: Collection[EndpointId] = (),
) -> EndpointId | None:
    """Returns the replica that has received most of the log, if any.

    Of several, one that is not about to leave is preferred. A primary that
    was demoted in a handover leads again if there is no other one.

    Args:
        takeover: the claimed takeover.
        reports: what the reachable endpoints reported.
        refused: endpoints that the platform can't promote now.
    """
    replicas = [
        report
        for report in reports
        if not report.is_primary and report.endpoint not in refused
    ]
    handover = takeover.kind is TakeoverKind.HANDOVER
    best = max(
        replicas,
        key=lambda report: (
            not (handover and report.endpoint == takeover.old),
            report.status.received,
            not report.leaving,
        ),
        default=None,
    )
    return None if best is None else best.endpoint


def may_abandon_unseen(takeover: Takeover) -> bool:
    """Returns whether a takeover may be abandoned without a primary's answer.

    Only if it has ordered nothing itself, and no earlier order may have taken
    effect unseen.

    Args:
        takeover: the claimed takeover.
    """
    unseen_order = takeover.ceiling > takeover.last_led_term
    return takeover.phase is TakeoverPhase.CLAIMED and not unseen_order


def _leads_last_term(takeover: Takeover, report: EndpointReport) -> bool:
    """Returns whether no primary can have a later term than this one."""
    return (
        takeover.phase is TakeoverPhase.CLAIMED
        and report.status.term >= takeover.ceiling
    )
