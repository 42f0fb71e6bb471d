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
class ObservedStatus:
    """A status and when it was asked for.

    Attributes:
        status: what the endpoint said.
        begun: boot time before it was asked.
    """

    status: EndpointStatus
    begun: float


class ObservedStatuses:
    """The newest finding of each endpoint."""

    def __init__(self) -> None:
        """Starts without any."""
        self._statuses: dict[EndpointId, ObservedStatus] = {}

    @property
    def highest_term(self) -> Term:
        """Highest term that an endpoint said to be in; 0 without any."""
        terms = (observed.status.term for observed in self._statuses.values())
        return max(terms, default=Term(0))

    @property
    def endpoints(self) -> tuple[EndpointId, ...]:
        """Endpoints of which there is a finding."""
        return tuple(self._statuses)

    def of(self, endpoint: EndpointId) -> ObservedStatus | None:
        """Gives what an endpoint last told, if anything."""
        return self._statuses.get(endpoint)

    def take(self, endpoint: EndpointId, observed: ObservedStatus) -> bool:
        """Takes a finding in.

        Args:
            endpoint: who told.
            observed: what.

        Returns:
            Whether it is the newest one.
        """
        known = self._statuses.get(endpoint)
        if known is not None and known.begun > observed.begun:
            return False
        self._statuses[endpoint] = observed
        return True

    def drop(self, endpoint: EndpointId) -> None:
        """Forgets what an endpoint told."""
        self._statuses.pop(endpoint, None)

    def leader(self, may_lead: Callable[[Leader], bool]) -> Leader | None:
        """Finds the primary: the one of the highest term heard of.

        Args:
            may_lead: whether the takeovers known let it lead.
        """
        highest = self.highest_term
        leaders = (
            Leader(name, observed.status.term)
            for name, observed in self._statuses.items()
            if observed.status.role is EndpointRole.PRIMARY
            and observed.status.term == highest
        )
        return next(filter(may_lead, leaders), None)

    def follows(self, endpoint: EndpointId, leader: Leader) -> bool:
        """Tells whether an endpoint is a replica in the primary's term."""
        observed = self._statuses.get(endpoint)
        return (
            observed is not None
            and observed.status.role is EndpointRole.REPLICA
            and observed.status.term == leader.term
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
                observed.begun
                for observed in self._statuses.values()
                if _confirms(observed.status, leader)
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
