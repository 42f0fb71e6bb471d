"""The endpoints of one group, as their entries in the store tell."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from cowslipfork.ids import EndpointId
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.link import EndpointRole
from cowslipfork_direct.listing import LAPSE_GRACE, ListedEndpoint

#: Seconds for which a node without the store lets a majority of the endpoints
#: that it last read confirm a primary; after that it needs all of them.
LISTING_VALIDITY: Final = 15.0

#: Seconds before the end of its draining from which an endpoint gets no more
#: new work: longer than a statement takes to get there.
DRAIN_MARGIN: Final = 0.3

#: Seconds after an endpoint was dropped within which another node may count it:
#: ``LISTING_VALIDITY``, and the time that an answer of the store may take.
DEPARTED_HORIZON: Final = 17.0


@dataclass(frozen=True, slots=True)
class ListingChanges:
    """What a new list of entries changes.

    Attributes:
        added: endpoints that are new.
        dropped: endpoints that left.
        new_roles: roles of the endpoints whose entry names another one than
            before.
        leaving_changed: whether an endpoint announces that it leaves, or takes
            that back.
    """

    added: tuple[Endpoint, ...]
    dropped: tuple[EndpointId, ...]
    new_roles: Mapping[EndpointId, EndpointRole]
    leaving_changed: bool


class GroupEndpoints:
    """The endpoints of one group, and those that other nodes may still count.

    An endpoint whose entry disappeared without notice may still run, and a
    node that does not reach the store still counts it. An endpoint that
    announced its departure has ended.
    """

    def __init__(
        self,
        connect: Callable[[ListedEndpoint], Endpoint],
        now: Callable[[], float],
        known_at: Callable[[], float],
        drain_time: float = math.inf,
    ) -> None:
        """Starts without endpoints.

        Args:
            connect: returns the endpoint that an entry describes.
            now: clock in seconds that runs while the machine is suspended.
            known_at: returns the time on that clock up to which the entries
                are known.
            drain_time: seconds for which an endpoint that announced that it
                leaves accepts new work.
        """
        self._connect = connect
        self._now = now
        self._known_at = known_at
        self._first_listed_at = math.inf
        self._by_id: dict[EndpointId, Endpoint] = {}
        self._forget_at: dict[EndpointId, float] = {}
        self._drain_time = drain_time
        self._leaving_since: dict[EndpointId, float] = {}

    @property
    def by_id(self) -> Mapping[EndpointId, Endpoint]:
        """Endpoints that are listed, by id."""
        return self._by_id

    @property
    def reachable(self) -> list[Endpoint]:
        """Endpoints that are listed and reachable."""
        return [
            endpoint
            for endpoint in self._by_id.values()
            if endpoint.unreachable_since is None
        ]

    @property
    def listed_primary(self) -> EndpointId | None:
        """Endpoint whose entry says that it is the primary, if it is one."""
        primaries = [
            endpoint.id
            for endpoint in self._by_id.values()
            if endpoint.listed.role is EndpointRole.PRIMARY
        ]
        return primaries[0] if len(primaries) == 1 else None

    @property
    def countable(self) -> frozenset[EndpointId]:
        """Endpoints that some node may count to confirm a primary."""
        now = self._now()
        self._forget_at = {
            name: forget_at
            for name, forget_at in self._forget_at.items()
            if forget_at > now
        }
        return frozenset(self._forget_at).union(self._by_id)

    @property
    def confirmations_needed(self) -> int:
        """Replicas that have to confirm the primary, at least one.

        With the primary they are a majority of the endpoints. A list of them
        that was read long ago may be outdated: all of them are needed then.
        """
        others = len(self._by_id) - 1
        outdated = self._known_at() + LISTING_VALIDITY < self._now()
        return max(1, others if outdated else len(self._by_id) // 2)

    @property
    def settled(self) -> bool:
        """Whether an endpoint that is not listed has certainly no entry.

        The first list that a node reads may lack entries that lapsed in an
        outage of the store and that are about to be written again.
        """
        return self._now() >= self._first_listed_at + LAPSE_GRACE

    def drained_at(self, name: EndpointId) -> float:
        """Returns the time from which an endpoint gets no more new work.

        Args:
            name: the endpoint; one that does not leave accepts work for good.
        """
        leaving_since = self._leaving_since.get(name, math.inf)
        return leaving_since + self._drain_time - DRAIN_MARGIN

    def update(self, listed: Iterable[ListedEndpoint]) -> ListingChanges:
        """Applies the endpoints' entries in the store.

        Args:
            listed: all entries of the group.
        """
        self._first_listed_at = min(self._first_listed_at, self._now())
        entries = {entry.endpoint: entry for entry in listed}
        dropped = [
            name
            for name, endpoint in self._by_id.items()
            if _is_gone(endpoint, entries.get(name))
        ]
        for gone in dropped:
            self._drop(gone)
        before = {
            name: endpoint.listed for name, endpoint in self._by_id.items()
        }
        added = [
            self._add(entry)
            for name, entry in entries.items()
            if name not in before
        ]
        for known in before:
            self._by_id[known].listed = entries[known]
        self._leaving_since = {
            name: self._leaving_since.get(name, self._now())
            for name, endpoint in self._by_id.items()
            if endpoint.listed.leaving
        }
        return ListingChanges(
            tuple(added),
            tuple(dropped),
            new_roles={
                name: entries[name].role
                for name, entry in before.items()
                if entry.role is not entries[name].role
            },
            leaving_changed=any(
                entry.leaving is not entries[name].leaving
                for name, entry in before.items()
            ),
        )

    def _add(self, entry: ListedEndpoint) -> Endpoint:
        endpoint = self._connect(entry)
        self._by_id[entry.endpoint] = endpoint
        self._forget_at.pop(entry.endpoint, None)
        return endpoint

    def _drop(self, name: EndpointId) -> None:
        endpoint = self._by_id.pop(name)
        endpoint.close()
        if not endpoint.listed.leaving:
            self._forget_at[name] = self._now() + DEPARTED_HORIZON


def _is_gone(endpoint: Endpoint, entry: ListedEndpoint | None) -> bool:
    """Returns whether an endpoint has no entry, or that of a later process.

    A process restarted under the same id has lost all its state.
    """
    return entry is None or entry.born != endpoint.listed.born
