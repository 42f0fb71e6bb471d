"""Which VMs a node keeps links to, and which VMs are relays."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import chain

from cowslipfork.ids import VmId
from cowslipfork.membership.rendezvous import VmLocation
from cowslipfork.weights import rendezvous_weight

#: Most VMs that all keep links to each other.
MESH_VMS = 8

#: Rings of the VMs of a region; each gives every VM two neighbours.
REGION_RINGS = ('region-1', 'region-2')

#: Rings of all VMs.
FLEET_RINGS = ('fleet-1', 'fleet-2')

#: VMs of a failure domain that watch the store.
RELAYS_PER_DOMAIN = 2


def neighbours_of(
    own: VmLocation, locations: Iterable[VmLocation]
) -> frozenset[VmId]:
    """Chooses the VMs that a node keeps links to.

    Up to ``MESH_VMS`` VMs form a full mesh. More form a few rings in orders
    that look random: news reaches all in a number of steps that grows with
    the logarithm of the fleet, over at most eight links a node.

    Args:
        own: the node.
        locations: all VMs that are not gone, with the node or without.

    Returns:
        Names of its neighbours; two nodes that know the same VMs agree.
    """
    everyone = {location.vm: location for location in chain(locations, (own,))}
    if len(everyone) <= MESH_VMS:
        return frozenset(everyone) - {own.vm}
    home = [
        location.vm
        for location in everyone.values()
        if location.region == own.region
    ]
    rings = chain(
        ((salt, home) for salt in REGION_RINGS),
        ((salt, list(everyone)) for salt in FLEET_RINGS),
    )
    beside = (_beside(own.vm, salt, vms) for salt, vms in rings)
    return frozenset(chain.from_iterable(beside)) - {own.vm}


def relays_of(locations: Iterable[VmLocation]) -> frozenset[VmId]:
    """Chooses the VMs that watch the store for others.

    Args:
        locations: VMs that are live.

    Returns:
        At most two of each failure domain.
    """
    domains: dict[str, list[VmId]] = {}
    for location in locations:
        domains.setdefault(location.failure_domain, []).append(location.vm)
    return frozenset(
        vm
        for domain, vms in domains.items()
        for vm in _heaviest(f'relay/{domain}', vms)
    )


def _heaviest(key: str, vms: Iterable[VmId]) -> Sequence[VmId]:
    ordered = sorted(
        vms, key=lambda vm: rendezvous_weight(key, vm), reverse=True
    )
    return ordered[:RELAYS_PER_DOMAIN]


def _beside(own: VmId, salt: str, vms: Iterable[VmId]) -> tuple[VmId, VmId]:
    # The next VM above and below in the ring's order, round the end.
    here = rendezvous_weight(salt, own)
    size = 2**64
    others = [(rendezvous_weight(salt, vm), vm) for vm in vms if vm != own]
    if not others:
        return own, own
    above = min(others, key=lambda other: (other[0] - here) % size)
    below = min(others, key=lambda other: (here - other[0]) % size)
    return above[1], below[1]
