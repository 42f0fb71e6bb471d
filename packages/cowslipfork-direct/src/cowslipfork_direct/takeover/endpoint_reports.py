"""What a takeover knows of the endpoints of its group."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from cowslipfork.ids import EndpointId
from cowslipfork_direct.link import EndpointRole, EndpointStatus
from cowslipfork_direct.observed_statuses import Leader


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
class Evidence:
    """What is known of a group's endpoints.

    Attributes:
        reports: what the reachable endpoints reported.
        synchronous: number of replicas that must hold a commit before the
            primary acknowledges it.
        holders: replicas that may hold an acknowledged commit, whether they
            answer, are listed, or have left.
        accepts_outdated: whether a replica may be promoted that has not
            followed the last primary.
        last_leader: last primary that this node has known; None if it has
            known none since its start.
    """

    reports: Collection[EndpointReport]
    synchronous: int = 0
    holders: frozenset[EndpointId] = frozenset()
    accepts_outdated: bool = False
    last_leader: Leader | None = None
