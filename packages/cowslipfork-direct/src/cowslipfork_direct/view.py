"""What a node knows from the store: configuration and listed endpoints."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Mapping, Sequence
from operator import attrgetter

from cowslipfork.ids import EndpointId, GroupName, Revision
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.group import Group
from cowslipfork_direct.link import Network
from cowslipfork_direct.listing import ListedEndpoint
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.relay import Address
from cowslipfork_direct.routes import DatabaseName, Route, RoutingTable

_by_group: Callable[[ListedEndpoint], str] = attrgetter('group')


class View:
    """Routing table in force and all groups."""

    def __init__(
        self,
        network: Network,
        relays: Callable[[], Sequence[Address]],
        metrics: Metrics,
        found: Callable[[Group | Endpoint], None],
    ) -> None:
        """Knows nothing yet.

        Args:
            network: ways to endpoints.
            relays: gives the relays of other nodes.
            metrics: counts what happens.
            found: told of each new group and endpoint, which need a task.
        """
        self._table = RoutingTable(Revision(0))
        self._groups: dict[GroupName, Group] = {}
        self._network = network
        self._relays = relays
        self._metrics = metrics
        self._found = found
        self._configured = asyncio.Event()

    @property
    def configured(self) -> asyncio.Event:
        """Set once a routing table is in force."""
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
        """Gives the route of a database in the table in force."""
        return self._table.routes.get(database)

    def adopt(self, table: RoutingTable) -> bool:
        """Puts a routing table in force unless it is no newer.

        Returns:
            Whether it is in force now.
        """
        if table.revision <= self._table.revision:
            return False
        self._table = table
        self._configured.set()
        self._metrics.set_configuration_revision(table.revision)
        for name in table.groups:
            self.group(name)
        return True

    def group(self, name: GroupName) -> Group:
        """Gives a group, known or not yet."""
        known = self._groups.get(name)
        if known is None:
            known = Group(
                name,
                self._network,
                self._relays,
                self._metrics.gap,
            )
            self._groups[name] = known
            self._found(known)
        return known

    def list_endpoints(
        self,
        listed: Mapping[EndpointId, ListedEndpoint],
    ) -> None:
        """Takes over all entries of endpoints."""
        entries = sorted(listed.values(), key=_by_group)
        by_group = {
            GroupName(name): list(members)
            for name, members in itertools.groupby(entries, _by_group)
        }
        for name in self._groups.keys() | by_group.keys():
            added = self.group(name).list_endpoints(by_group.get(name, ()))
            for endpoint in added:
                self._found(endpoint)
