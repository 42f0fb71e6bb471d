"""Faults that an experiment brings about in a running cluster, and undoes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from cowslipfork.errors import CowslipforkError
from cowslipfork.groups import EndpointRole, EndpointStatus
from cowslipfork.ids import EndpointId, GroupName, RegionName
from cowslipfork.membership import VmLocation, carrier_of
from cowslipfork_lab.cluster.cluster import STORE, Cluster

_LONG_LAG_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class Target:
    """Whom a fault hits.

    Attributes:
        group: group whose endpoints it hits.
        node: index of the node that it hits.
    """

    group: GroupName
    node: int = 0


Undo = Callable[[], Awaitable[None]]
Apply = Callable[[Cluster, Target], Awaitable[Undo]]


class UnknownFault(CowslipforkError):
    """There is no fault of that name."""

    def __init__(self, name: str) -> None:
        """Remembers the name.

        Args:
            name: as given.
        """
        known = ', '.join(FAULTS)
        super().__init__(f'no fault {name}; there are {known}')
        self.name = name


async def primary_of(cluster: Cluster, group: GroupName) -> EndpointId:
    """Finds the primary of the highest term by the control ports."""
    names = [endpoint.name for endpoint in cluster.plan.endpoints(group)]
    found = [await cluster.status(name) for name in names]
    return max(filter(None, found), key=_rank).endpoint


def fault_named(name: str) -> Apply:
    """Finds a fault.

    Args:
        name: name of the fault.

    Returns:
        What brings it about and gives what undoes it.

    Raises:
        UnknownFault: there is none.
    """
    if name not in FAULTS:
        raise UnknownFault(name)
    return FAULTS[name]


def _on_primary(variable: str, setting: object, healed: object) -> Apply:
    async def apply(cluster: Cluster, target: Target) -> Undo:
        primary = await primary_of(cluster, target.group)
        await cluster.set_fault(primary, variable, setting)
        return lambda: cluster.set_fault(primary, variable, healed)

    return apply


def _on_replicas(variable: str, setting: object, healed: object) -> Apply:
    async def apply(cluster: Cluster, target: Target) -> Undo:
        primary = await primary_of(cluster, target.group)
        replicas = [
            endpoint.name
            for endpoint in cluster.plan.endpoints(target.group)
            if endpoint.name != primary and cluster.running(endpoint.name)
        ]

        async def switch(value: object) -> None:
            for replica in replicas:
                await cluster.set_fault(replica, variable, value)

        await switch(setting)
        return lambda: switch(healed)

    return apply


def _on_store(key: str, setting: object, healed: object) -> Apply:
    async def apply(cluster: Cluster, _target: Target) -> Undo:
        await cluster.set_fault(STORE, key, setting)
        return lambda: cluster.set_fault(STORE, key, healed)

    return apply


async def _silence_primary(cluster: Cluster, target: Target) -> Undo:
    primary = await primary_of(cluster, target.group)
    await cluster.set_fault(primary, 'lab_silent', 1)
    return _nothing


async def _kill_primary(cluster: Cluster, target: Target) -> Undo:
    primary = await primary_of(cluster, target.group)
    await cluster.kill(primary)
    return lambda: cluster.restart(primary)


async def _kill_node(cluster: Cluster, target: Target) -> Undo:
    vm = cluster.nodes[target.node].vm
    await cluster.kill(vm)
    return lambda: cluster.restart(vm)


async def _kill_carrier(cluster: Cluster, target: Target) -> Undo:
    region = RegionName(cluster.plan.site)
    locations = [
        VmLocation(node.vm, node.failure_domain, region)
        for node in cluster.nodes
    ]
    vm = carrier_of(target.group, locations, region) or cluster.nodes[0].vm
    await cluster.kill(vm)
    return lambda: cluster.restart(vm)


async def _stop_node(cluster: Cluster, target: Target) -> Undo:
    vm = cluster.nodes[target.node].vm
    await cluster.terminate(vm)
    return lambda: cluster.restart(vm)


async def _freeze_node(cluster: Cluster, target: Target) -> Undo:
    vm = cluster.nodes[target.node].vm
    cluster.freeze(vm)

    async def resume() -> None:
        cluster.resume(vm)

    return resume


async def _nothing() -> None:
    """Silent connections stay silent."""


def _rank(status: EndpointStatus) -> tuple[bool, int]:
    return status.role == EndpointRole.PRIMARY, status.term


FAULTS: Mapping[str, Apply] = MappingProxyType(
    {
        'kill-primary': _kill_primary,
        'freeze-primary': _on_primary('lab_frozen', 1, 0),
        'cut-primary': _on_primary('lab_partition', 'peers', 'none'),
        'hide-primary': _on_primary('lab_partition', 'callers', 'none'),
        'silence-primary': _silence_primary,
        'lag-replicas': _on_replicas('lab_lag_ms', _LONG_LAG_MS, 0),
        'kill-node': _kill_node,
        'kill-carrier': _kill_carrier,
        'stop-node': _stop_node,
        'freeze-node': _freeze_node,
        'store-down': _on_store('outage', 'refuse', ''),
        'store-silent': _on_store('outage', 'silent', ''),
        'store-slow': _on_store('slow_ms', 500, 0),
        'store-loses-answers': _on_store('lost_answers', 3, 0),
    },
)
