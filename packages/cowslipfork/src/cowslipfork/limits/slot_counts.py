"""Counts of slots and connections of endpoints, free and in use.

A statement needs a slot and a connection. A transaction that is idle between
its statements holds a connection but no slot: the connections beyond the slots,
the spare ones, make up for it.

Answers the load pattern of few connections for many workspaces: connections are
counted by workspace, so that one of them can be kept from holding all.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cowslipfork.ids import EndpointId, WorkspaceName


@dataclass(frozen=True, slots=True)
class Holding:
    """Connections to an endpoint that a workspace has in use.

    Attributes:
        connections: their number.
        share: most connections that may be in use by all workspaces.
        others_wait: whether other workspaces wait for the endpoint.
    """

    connections: int
    share: int
    others_wait: bool


#: Returns whether a workspace may use another connection.
MayUseAnother = Callable[[Holding], bool]


class SlotCounts:
    """Slots and connections of a group's endpoints."""

    def __init__(
        self, slots: Mapping[EndpointId, int], spare_connections: int
    ) -> None:
        """Starts with all slots free.

        Args:
            slots: number of statements that may run at once, by endpoint.
            spare_connections: number of further connections of each endpoint.
        """
        self._slots = dict(slots)
        self._free = dict(slots)
        self._spare_connections = spare_connections
        self._suspended: Counter[EndpointId] = Counter()
        self._held: Counter[tuple[EndpointId, WorkspaceName]] = Counter()

    @property
    def free(self) -> Mapping[EndpointId, int]:
        """Number of free slots by endpoint."""
        return self._free

    @property
    def total(self) -> int:
        """Number of slots, free or in use, of all endpoints."""
        return sum(self._slots.values())

    @property
    def any_available(self) -> bool:
        """Whether an endpoint has both a slot and a connection available."""
        return any(map(self.is_available, self._free))

    def is_available(self, endpoint: EndpointId) -> bool:
        """Returns whether both a slot and a connection are available."""
        free = self._free.get(endpoint, 0)
        return (
            free > 0
            and self._suspended[endpoint] < self._spare_connections + free
        )

    def load(self, endpoint: EndpointId) -> float:
        """Returns the fraction of an endpoint's slots in use, from 0 to 1."""
        return 1 - self._free[endpoint] / self._slots[endpoint]

    def holding(
        self,
        endpoint: EndpointId,
        workspace: WorkspaceName,
        *,
        others_wait: bool,
    ) -> Holding:
        """Returns the connections that a workspace has in use.

        Args:
            endpoint: the endpoint.
            workspace: the workspace.
            others_wait: whether other workspaces wait for the endpoint.
        """
        share = self._slots.get(endpoint, 0) + self._spare_connections
        held = self._held[endpoint, workspace]
        return Holding(held, share, others_wait)

    def resize(
        self, slots: Mapping[EndpointId, int], spare_connections: int | None
    ) -> None:
        """Changes the number of slots; used ones stay so until returned.

        Args:
            slots: number of statements that may run at once, by endpoint.
            spare_connections: number of further connections of each endpoint;
                None if it stays as it is.
        """
        for endpoint in self._slots.keys() | slots.keys():
            change = slots.get(endpoint, 0) - self._slots.get(endpoint, 0)
            self._free[endpoint] = self._free.get(endpoint, 0) + change
        self._slots = dict(slots)
        if spare_connections is not None:
            self._spare_connections = spare_connections

    def take(
        self, endpoint: EndpointId, workspace: WorkspaceName | None
    ) -> None:
        """Takes a slot and a connection for a workspace."""
        self._free[endpoint] -= 1
        if workspace is not None:
            self._held[endpoint, workspace] += 1

    def put_back(
        self, endpoint: EndpointId, workspace: WorkspaceName | None
    ) -> None:
        """Returns the slot and the connection of a workspace."""
        self._free[endpoint] += 1
        if workspace is None:
            return
        key = (endpoint, workspace)
        self._held[key] -= 1
        if self._held[key] <= 0:
            self._held.pop(key)

    def suspend(self, endpoint: EndpointId) -> None:
        """Returns a slot but keeps its connection."""
        self._suspended[endpoint] += 1
        self._free[endpoint] += 1

    def resume(self, endpoint: EndpointId) -> None:
        """Takes a slot for a kept connection, even if none is free."""
        self._suspended[endpoint] -= 1
        self._free[endpoint] -= 1
