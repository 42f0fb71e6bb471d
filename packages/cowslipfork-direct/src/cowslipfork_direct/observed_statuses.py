"""Statuses that the endpoints of a group reported."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cowslipfork.ids import EndpointId, Term
from cowslipfork_direct.link import EndpointRole, EndpointStatus


@dataclass(frozen=True, slots=True)
class Leader:
    """The primary of a term.

    Attributes:
        endpoint: the primary's id.
        term: term in which it is the primary.
    """

    endpoint: EndpointId
    term: Term


@dataclass(frozen=True, slots=True)
class Finding:
    """A status and the time of its request.

    Attributes:
        status: what the endpoint reported.
        begun: boot time just before the request.
    """

    status: EndpointStatus
    begun: float


class Findings:
    """The newest status of each endpoint."""

    def __init__(self) -> None:
        """Starts without statuses."""
        self._findings: dict[EndpointId, Finding] = {}

    @property
    def highest_term(self) -> Term:
        """Highest term that an endpoint reported; 0 without statuses."""
        terms = (finding.status.term for finding in self._findings.values())
        return max(terms, default=Term(0))

    @property
    def endpoints(self) -> tuple[EndpointId, ...]:
        """Endpoints with a status."""
        return tuple(self._findings)

    def get(self, endpoint: EndpointId) -> Finding | None:
        """Returns the newest status of an endpoint; None without one."""
        return self._findings.get(endpoint)

    def update(self, endpoint: EndpointId, finding: Finding) -> bool:
        """Stores a status unless a newer one is known.

        Args:
            endpoint: the endpoint that reported it.
            finding: the status with the time of its request.

        Returns:
            Whether it was stored.
        """
        known = self._findings.get(endpoint)
        if known is not None and known.begun > finding.begun:
            return False
        self._findings[endpoint] = finding
        return True

    def remove(self, endpoint: EndpointId) -> None:
        """Removes the status of an endpoint, if there is one."""
        self._findings.pop(endpoint, None)

    def leader(self, may_lead: Callable[[Leader], bool]) -> Leader | None:
        """Returns the primary of the highest reported term.

        Args:
            may_lead: returns whether the known takeovers allow an endpoint to
                be the primary of a term.

        Returns:
            The primary; None if no endpoint reports to be an allowed one.
        """
        highest = self.highest_term
        leaders = (
            Leader(name, finding.status.term)
            for name, finding in self._findings.items()
            if finding.status.role is EndpointRole.PRIMARY
            and finding.status.term == highest
        )
        return next(filter(may_lead, leaders), None)

    def follows(self, endpoint: EndpointId, leader: Leader) -> bool:
        """Returns whether an endpoint is a replica in the primary's term."""
        finding = self._findings.get(endpoint)
        return (
            finding is not None
            and finding.status.role is EndpointRole.REPLICA
            and finding.status.term == leader.term
        )

    def confirmation_times(self, leader: Leader) -> list[float]:
        """Returns when replicas confirmed that no promotion is under way.

        Args:
            leader: the primary.

        Returns:
            Boot times just before their requests, latest first.
        """
        return sorted(
            (
                finding.begun
                for finding in self._findings.values()
                if _confirms(finding.status, leader)
            ),
            reverse=True,
        )


def _confirms(status: EndpointStatus, leader: Leader) -> bool:
    """Returns whether a replica has seen no promotion after the leader's."""
    return (
        status.role is EndpointRole.REPLICA
        and status.term == leader.term
        and status.held_term <= leader.term
    )
