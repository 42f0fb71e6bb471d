"""What the endpoints of a group told about themselves."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cowslipfork.ids import EndpointId, Term
from cowslipfork_direct.link import EndpointRole, EndpointStatus


@dataclass(frozen=True, slots=True)
class Leader:
    """The primary of a term."""

    endpoint: EndpointId
    term: Term


@dataclass(frozen=True, slots=True)
class Finding:
    """A status and when it was asked for.

    Attributes:
        status: what the endpoint said.
        begun: boot time before it was asked.
    """

    status: EndpointStatus
    begun: float


class Findings:
    """The newest finding of each endpoint."""

    def __init__(self) -> None:
        """Starts without any."""
        self._findings: dict[EndpointId, Finding] = {}

    @property
    def highest_term(self) -> Term:
        """Highest term that an endpoint said to be in; 0 without any."""
        terms = (finding.status.term for finding in self._findings.values())
        return max(terms, default=Term(0))

    @property
    def endpoints(self) -> tuple[EndpointId, ...]:
        """Endpoints of which there is a finding."""
        return tuple(self._findings)

    def of(self, endpoint: EndpointId) -> Finding | None:
        """Gives what an endpoint last told, if anything."""
        return self._findings.get(endpoint)

    def take(self, endpoint: EndpointId, finding: Finding) -> bool:
        """Takes a finding in.

        Args:
            endpoint: who told.
            finding: what.

        Returns:
            Whether it is the newest one.
        """
        known = self._findings.get(endpoint)
        if known is not None and known.begun > finding.begun:
            return False
        self._findings[endpoint] = finding
        return True

    def drop(self, endpoint: EndpointId) -> None:
        """Forgets what an endpoint told."""
        self._findings.pop(endpoint, None)

    def leader(self, may_lead: Callable[[Leader], bool]) -> Leader | None:
        """Finds the primary: the one of the highest term heard of.

        Args:
            may_lead: whether the takeovers known let it lead.
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
        """Tells whether an endpoint is a replica in the primary's term."""
        finding = self._findings.get(endpoint)
        return (
            finding is not None
            and finding.status.role is EndpointRole.REPLICA
            and finding.status.term == leader.term
        )

    def confirmations(self, leader: Leader) -> list[float]:
        """Gives when replicas were asked that know of no promotion.

        Args:
            leader: the primary.

        Returns:
            Boot times before they were asked, latest first.
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
    """Tells whether a replica knows of no promotion beyond the leader's."""
    return (
        status.role is EndpointRole.REPLICA
        and status.term == leader.term
        and status.held_term <= leader.term
    )
