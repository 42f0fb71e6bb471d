"""Carriers of many groups, kept while VMs come and go."""

from __future__ import annotations

from collections.abc import Iterable

from cowslipfork.ids import GroupName, RegionName, VmId
from cowslipfork.membership.rendezvous import VmLocation, carrier_of


class CarrierTable:
    """Remembers the carrier of each group that was asked for.

    A VM that comes or goes costs one comparison for each remembered group
    instead of one for each group and VM.
    """

    def __init__(self, region: RegionName) -> None:
        """Starts without VMs.

        Args:
            region: region of the groups' endpoints.
        """
        self._region = region
        self._locations: dict[VmId, VmLocation] = {}
        self._carriers: dict[GroupName, VmId] = {}

    def set_locations(self, locations: Iterable[VmLocation]) -> None:
        """Replaces the VMs that may carry.

        Args:
            locations: all of them.
        """
        before = self._locations
        self._locations = {location.vm: location for location in locations}
        joined = [
            location
            for vm, location in self._locations.items()
            if before.get(vm) != location
        ]
        kept = {
            group: vm
            for group, vm in self._carriers.items()
            if self._locations.get(vm) == before[vm]
        }
        self._carriers = (
            {
                group: self._better(group, vm, joined)
                for group, vm in kept.items()
            }
            if joined
            else kept
        )

    def carrier_of(self, group: GroupName) -> VmId | None:
        """Finds the VM that carries a group.

        Args:
            group: the group.

        Returns:
            The first VM in the group's order, or None without VMs.
        """
        known = self._carriers.get(group)
        if known is not None:
            return known
        found = carrier_of(group, self._locations.values(), self._region)
        if found is not None:
            self._carriers[group] = found
        return found

    def _better(
        self,
        group: GroupName,
        vm: VmId,
        joined: list[VmLocation],
    ) -> VmId:
        locations = (*joined, self._locations[vm])
        return carrier_of(group, locations, self._region) or vm
