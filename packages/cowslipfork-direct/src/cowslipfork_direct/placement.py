"""Which nodes use the endpoints of a group, and how much of them."""

from __future__ import annotations

from typing import Final

from cowslipfork.ids import GroupName, VmId
from cowslipfork_direct.carriers import (
    NO_CARRIER_SHARE,
    EndpointShare,
    carrier_share,
    uses_carriers,
)
from cowslipfork_direct.fleet import Fleet
from cowslipfork_direct.forwarding import CarrierTable
from cowslipfork_direct.group import Group
from cowslipfork_direct.link_quota import LinkQuota, even_quota
from cowslipfork_direct.routes import GroupRules
from cowslipfork_direct.view import View

#: Slots that an endpoint has at least, if its entry tells none.
MIN_SLOTS: Final = 1


class Placement:
    """Applies the choice of carriers to the groups of this node.

    Where an endpoint's connections suffice for all nodes, all of them use it
    with equal shares. Otherwise the group's carriers do, and further nodes
    only while they serve a statement of it.
    """

    def __init__(
        self,
        node: VmId,
        fleet: Fleet,
        view: View,
        carrier_count: int,
        direct_connections: float,
    ) -> None:
        """Starts without carriers; ``update`` chooses them.

        Args:
            node: this node.
            fleet: all registered nodes.
            view: configuration and groups.
            carrier_count: wanted number of carriers of a group.
            direct_connections: least connections to an endpoint for each node
                with which all nodes use the endpoints themselves.
        """
        self._node = node
        self._fleet = fleet
        self._view = view
        self._direct_connections = direct_connections
        self._table = CarrierTable(
            node, lambda: fleet.carrier_candidates, carrier_count
        )

    @property
    def table(self) -> CarrierTable:
        """Carriers of each group."""
        return self._table

    @property
    def any_carriers(self) -> bool:
        """Whether some group has carriers."""
        return any(map(self.has_carriers, self._view.groups))

    def has_carriers(self, group: GroupName) -> bool:
        """Returns whether a group's statements are forwarded to carriers."""
        rules = self._view.table.groups.get(group)
        return rules is not None and uses_carriers(
            workspaces=self._view.table.workspaces is not None,
            connections=rules.connections,
            nodes=len(self._fleet.registered),
            direct_connections=self._direct_connections,
        )

    def supervisors(self, group: GroupName) -> frozenset[VmId]:
        """Returns the live nodes that watch over the primary of a group."""
        if self.has_carriers(group):
            return frozenset(self._table.carriers(group))
        return self._fleet.alive | {self._node}

    def electors(self, group: GroupName) -> frozenset[VmId]:
        """Returns the nodes of which a majority has to suspect a primary.

        Leases lapse in an outage of the store, so nodes that may be about to
        register again count as well.
        """
        if self.has_carriers(group):
            return self.supervisors(group)
        return self.supervisors(group) | self._fleet.possibly_alive

    def update(self) -> None:
        """Applies a change of the configuration, the endpoints or the nodes."""
        self._table.refresh()
        for group in self._view.groups.values():
            rules = self._view.table.groups.get(group.name)
            if rules is not None and self.has_carriers(group.name):
                self._apply_carriers(group, rules)
            else:
                group.activity.require(required=True)
                self._apply_even_quota(group, rules)

    def _apply_even_quota(self, group: Group, rules: GroupRules | None) -> None:
        if rules is not None:
            quota = even_quota(
                group.name,
                self._node,
                self._fleet.registered,
                rules.connections,
            )
            group.set_link_quota(quota)

    def _apply_carriers(self, group: Group, rules: GroupRules) -> None:
        carriers = self._table.carriers(group.name)
        is_carrier = self._node in carriers
        share = (
            _share(group, rules, len(carriers))
            if is_carrier
            else NO_CARRIER_SHARE
        )
        group.activity.require(required=is_carrier)
        group.set_link_quota(LinkQuota(share.connections, share.statements))


def _share(group: Group, rules: GroupRules, carriers: int) -> EndpointShare:
    slots = max(
        (endpoint.listed.slots for endpoint in group.endpoints.values()),
        default=MIN_SLOTS,
    )
    return carrier_share(rules.connections, max(MIN_SLOTS, slots), carriers)
