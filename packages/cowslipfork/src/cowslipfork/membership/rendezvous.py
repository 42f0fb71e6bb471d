"""Rendezvous order of VMs for a group: highest random weight first."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cowslipfork.ids import FailureDomain, GroupName, RegionName, VmId
from cowslipfork.weights import rendezvous_weight


@dataclass(frozen=True, slots=True)
class VmLocation:
    """Where a VM runs.

    Attributes:
        vm: name of the VM.
        failure_domain: VMs that fail together with it.
        region: region of the failure domain.
    """

    vm: VmId
    failure_domain: FailureDomain
    region: RegionName


def carrier_of(
    group: GroupName,
    locations: Iterable[VmLocation],
    region: RegionName,
) -> VmId | None:
    """Finds the VM that carries a group.

    Args:
        group: the group.
        locations: VMs that may carry.
        region: region of the group's endpoints.

    Returns:
        The first VM of ``rank``, or None without VMs.
    """
    first = max(
        locations,
        key=lambda location: _preference(group, location, region),
        default=None,
    )
    return first.vm if first else None


def rank(
    group: GroupName,
    locations: Iterable[VmLocation],
    region: RegionName,
) -> list[VmId]:
    """Orders VMs for a group.

    VMs of the group's region come first. Failure domains alternate, so that
    as many ranks as there are failure domains are in different ones.

    Args:
        group: the group.
        locations: VMs to order.
        region: region of the group's endpoints.

    Returns:
        All VMs, the carrier first.
    """
    ordered = sorted(
        locations,
        key=lambda location: _preference(group, location, region),
        reverse=True,
    )
    home = [location for location in ordered if location.region == region]
    away = [location for location in ordered if location.region != region]
    return [*_alternate(home), *_alternate(away)]


def _preference(
    group: GroupName,
    location: VmLocation,
    region: RegionName,
) -> tuple[bool, int, VmId]:
    return (
        location.region == region,
        rendezvous_weight(group, location.vm),
        location.vm,
    )


def _alternate(ordered: Sequence[VmLocation]) -> list[VmId]:
    # Every round takes the best VM left of each failure domain. Domains keep
    # the order of their best VMs, so the first VM stays first.
    queues: dict[FailureDomain, list[VmId]] = {}
    for location in ordered:
        queues.setdefault(location.failure_domain, []).append(location.vm)
    longest = max(map(len, queues.values()), default=0)
    return [
        queue[turn]
        for turn in range(longest)
        for queue in queues.values()
        if turn < len(queue)
    ]
