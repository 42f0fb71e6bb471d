"""Which groups this node carries, as VMs, configuration and records change."""

from __future__ import annotations

import asyncio
from collections.abc import Hashable
from dataclasses import replace

from cowslipfork.configuration import Group
from cowslipfork.ids import GroupName, RegionName, VmId
from cowslipfork.membership import Member, VmLocation, rank
from cowslipfork.membership.carrier_table import CarrierTable
from cowslipfork.membership.handover import holders_of
from cowslipfork_proxy.applied_state import AppliedState
from cowslipfork_proxy.carrier import Carriers
from cowslipfork_proxy.peers import FleetComponents


class Placement:
    """Keeps this node's carriers in step with the fleet."""

    def __init__(
        self,
        vm: VmId,
        region: RegionName,
        applied_state: AppliedState,
        fleet: FleetComponents,
    ) -> None:
        """Places nothing yet.

        Args:
            vm: this VM.
            region: its region.
            applied_state: what is in force here.
            fleet: the node's part in the fleet.
        """
        self._vm = vm
        self._region = region
        self._applied_state = applied_state
        self._fleet = fleet
        self._table = CarrierTable(region)

    @property
    def has_majority(self) -> bool:
        """Whether this node hears a majority of its region."""
        now = asyncio.get_running_loop().time()
        return self._fleet.members.has_majority(now)

    def carrier_of(self, group: GroupName) -> VmId | None:
        """Finds the VM that carries a group.

        Args:
            group: the group.

        Returns:
            The VM; None if none may carry.
        """
        return self._table.carrier_of(group)

    def ranks(self, group: GroupName) -> list[VmId]:
        """Orders the VMs that may carry a group.

        Args:
            group: the group.

        Returns:
            The VMs, the carrier first.
        """
        return rank(group, self._locations(), self._region)

    def govern(self, carriers: Carriers) -> None:
        """Settles carriers now and after each change.

        Args:
            carriers: this node's carriers.
        """

        def reconcile() -> None:
            self._table.set_locations(self._locations())
            self.reconcile(carriers)

        def majority_changed() -> None:
            # Others take the groups of a cut-off node over; two carriers at
            # work would use more slots than the endpoints have.
            if not self.has_majority:
                carriers.close()
            self.reconcile(carriers)

        def member_changed(before: Member | None, after: Member) -> None:
            # Another node has given a group up, or has begun to carry it.
            carried = before.report.carries if before else frozenset()
            if carried != after.report.carries:
                self.reconcile(carriers)

        self._applied_state.add_listener(reconcile)
        self._fleet.fleet.watch_majority(majority_changed)
        self._fleet.members.watch(member_changed)

    def reconcile(self, carriers: Carriers) -> None:
        """Has the groups carried that rendezvous gives to this VM.

        Args:
            carriers: this node's carriers.
        """
        groups = self._applied_state.configuration.groups.values()
        carriers.reconcile(
            {
                group.name: self._description(group)
                for group in groups
                if self._may_carry(group.name)
            },
        )
        for name, carrier in carriers.by_group.items():
            record = self._applied_state.records.get(name)
            if record is not None:
                carrier.adopt(record)
        self._tell_carried(carriers)

    def _may_carry(self, group: GroupName) -> bool:
        """Tells whether this node carries a group now.

        A node out of touch carries nothing, and a new carrier waits until
        the one before has given the group up, so that the limits of its
        endpoints hold.
        """
        return (
            self.carrier_of(group) == self._vm
            and self.has_majority
            and not holders_of(group, self._fleet.members.others)
        )

    def _description(self, group: Group) -> Hashable:
        """Gives all of the configuration that a carrier is built from."""
        configuration = self._applied_state.configuration
        endpoints = tuple(
            configuration.endpoints[name] for name in group.endpoints
        )
        return group, endpoints, configuration.failover

    def _locations(self) -> list[VmLocation]:
        return [
            known_vm.location
            for known_vm in self._applied_state.known_vms.values()
            if not known_vm.leaving
        ]

    def _tell_carried(self, carriers: Carriers) -> None:
        carries = frozenset(carriers.held_groups)
        own = self._fleet.members.own
        if own.carries != carries:
            self._fleet.fleet.publish_report(replace(own, carries=carries))
