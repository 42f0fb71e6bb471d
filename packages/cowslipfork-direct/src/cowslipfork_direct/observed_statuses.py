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
class ObservedStatus:
    """A status and the time of its request.

    Attributes:
        status: what the endpoint reported.
        begun: boot time just before the request.
    """

    status: EndpointStatus
    begun: float


class ObservedStatuses:
    """The newest status of each endpoint."""

    def __init__(self) -> None:
        """Starts without statuses."""
        self._statuses: dict[EndpointId, ObservedStatus] = {}

    @property
    def highest_term(self) -> Term:
        """Highest term that an endpoint reported; 0 without statuses."""
        terms = (observed.status.term for observed in self._statuses.values())
        return max(terms, default=Term(0))

    @property
    def endpoints(self) -> tuple[EndpointId, ...]:
        """Endpoints with a status."""
        return tuple(self._statuses)

    def get(self, endpoint: EndpointId) -> ObservedStatus | None:
        """Returns the newest status of an endpoint; None without one."""
        return self._statuses.get(endpoint)

    def update(self, endpoint: EndpointId, observed: ObservedStatus) -> bool:
        """Stores a status unless a newer one is known.

        Args:
            endpoint: the endpoint that reported it.
            observed: the status with the time of its request.

        Returns:
            Whether it was stored.
        """
        known = self._statuses.get(endpoint)
        if known is not None and known.begun > observed.begun:
            return False
        self._statuses[endpoint] = observed
        return True

    def remove(self, endpoint: EndpointId) -> None:
        """Removes the status of an endpoint, if there is one."""
        self._statuses.pop(endpoint, None)

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
            Leader(name, observed.status.term)
            for name, observed in self._statuses.items()
            if observed.status.role is EndpointRole.PRIMARY
            and observed.status.term == highest
        )
        return next(filter(may_lead, leaders), None)

    def follows(self, endpoint: EndpointId, leader: Leader) -> bool:
        """Returns whether an endpoint is a replica in the primary's term."""
        observed = self._statuses.get(endpoint)
        return (
            observed is not None
            and observed.status.role is EndpointRole.REPLICA
            and observed.status.term == leader.term
        )

    def is_held(
        self, endpoint: EndpointId, leader: Leader, since: float
    ) -> bool:
        """Returns whether a replica receives nothing from the primary.

        Args:
            endpoint: the endpoint.
            leader: the primary.
            since: boot time before which statuses prove nothing.
        """
        observed = self._statuses.get(endpoint)
        return (
            observed is not None
            and observed.begun > since
            and observed.status.role is EndpointRole.REPLICA
            and observed.status.held_term > leader.term
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
                observed.begun
                for observed in self._statuses.values()
                if _confirms(observed.status, leader)
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
