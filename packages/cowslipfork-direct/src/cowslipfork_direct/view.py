"""A node's copy of the store: its configuration and listed endpoints."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable, Mapping, Sequence
from operator import attrgetter

from cowslipfork.ids import EndpointId, GroupName, Revision
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.group import Group
from cowslipfork_direct.link import Network
from cowslipfork_direct.listing import ListedEndpoint
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.relay import Address
from cowslipfork_direct.routes import DatabaseName, Route, RoutingTable

_by_group: Callable[[ListedEndpoint], str] = attrgetter('group')


class View:
    """The routing table in force and all groups."""

    def __init__(
        self,
        network: Network,
        relays: Callable[[], Sequence[Address]],
        metrics: Metrics,
        on_added: Callable[[Group | Endpoint], None],
        listing_known_at: Callable[[], float] = boot_time,
        drain_time: float = math.inf,
    ) -> None:
        """Starts without groups, with an empty table of revision 0.

        Args:
            network: opens connections to endpoints.
            relays: returns the addresses of the other nodes' relays.
            metrics: metrics of this node.
            on_added: called with each new group and endpoint, so that its
                background tasks can be started.
            listing_known_at: returns the boot time up to which the endpoints'
                entries are known.
            drain_time: seconds for which an endpoint that announced that it
                leaves accepts new work.
        """
        self._table = RoutingTable(Revision(0))
        self._groups: dict[GroupName, Group] = {}
        self._network = network
        self._relays = relays
        self._metrics = metrics
        self._on_added = on_added
        self._listing_known_at = listing_known_at
        self._drain_time = drain_time
        self._configured = asyncio.Event()
        self._listeners: list[Callable[[RoutingTable], None]] = []

    @property
    def configured(self) -> asyncio.Event:
        """Event that is set once a routing table is in force."""
        return self._configured

    @property
    def table(self) -> RoutingTable:
        """Routing table in force."""
        return self._table

    @property
    def groups(self) -> Mapping[GroupName, Group]:
        """Groups by name."""
        return self._groups

    def route(self, database: DatabaseName) -> Route | None:
        """Returns the route of a database; None if it has none."""
        return self._table.routes.get(database)

    def synchronous_replicas(self, group: GroupName) -> int:
        """Returns how many replicas must hold an acknowledged commit."""
        rules = self._table.groups.get(group)
        return 0 if rules is None else rules.synchronous_replicas

    def listen(self, listener: Callable[[RoutingTable], None]) -> None:
        """Adds a listener.

        Args:
            listener: called with each routing table as soon as it is in force.
        """
        self._listeners.append(listener)

    def adopt(self, table: RoutingTable) -> bool:
        """Replaces the routing table if the given one is newer.

        Returns:
            Whether the given table is in force now.
        """
        if table.revision <= self._table.revision:
            return False
        self._table = table
        self._configured.set()
        self._metrics.set_configuration_revision(table.revision)
        for name in table.groups:
            self.get_or_create_group(name)
        for listener in self._listeners:
            listener(table)
        return True

    def get_or_create_group(self, name: GroupName) -> Group:
        """Returns the group of this name, creating it if needed."""
        known = self._groups.get(name)
        if known is None:
            known = Group(
                name,
                self._network,
                self._relays,
                self._metrics.observe_leaderless,
                listing_known_at=self._listing_known_at,
                drain_time=self._drain_time,
            )
            self._groups[name] = known
            self._on_added(known)
        return known

    def update_endpoints(
        self,
        listed: Mapping[EndpointId, ListedEndpoint],
    ) -> None:
        """Replaces the endpoints of all groups by those listed."""
        entries = sorted(listed.values(), key=_by_group)
        by_group = {
            GroupName(name): list(members)
            for name, members in itertools.groupby(entries, _by_group)
        }
        for name in self._groups.keys() | by_group.keys():
            added = self.get_or_create_group(name).update_endpoints(
                by_group.get(name, ()),
            )
            for endpoint in added:
                self._on_added(endpoint)
