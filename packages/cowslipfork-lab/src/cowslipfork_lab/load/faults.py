"""Faults that an experiment brings about in a running cluster."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

from cowslipfork.errors import CowslipforkError
from cowslipfork.groups import EndpointRole, EndpointStatus
from cowslipfork.ids import EndpointId, GroupName
from cowslipfork_lab.cluster.cluster import STORE, Cluster

_LONG_LAG_MS = 3_600_000

Apply = Callable[[Cluster, GroupName], Awaitable[None]]


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
        What brings it about.

    Raises:
        UnknownFault: there is none.
    """
    if name not in FAULTS:
        raise UnknownFault(name)
    return FAULTS[name]


def _on_primary(variable: str, setting: object) -> Apply:
    async def apply(cluster: Cluster, group: GroupName) -> None:
        primary = await primary_of(cluster, group)
        await cluster.set_fault(primary, variable, setting)

    return apply


def _on_replicas(variable: str, setting: object) -> Apply:
    async def apply(cluster: Cluster, group: GroupName) -> None:
        primary = await primary_of(cluster, group)
        for endpoint in cluster.plan.endpoints(group):
            if endpoint.name != primary:
                await cluster.set_fault(endpoint.name, variable, setting)

    return apply


def _on_store(key: str, setting: object) -> Apply:
    async def apply(cluster: Cluster, _group: GroupName) -> None:
        await cluster.set_fault(STORE, key, setting)

    return apply


async def _kill_primary(cluster: Cluster, group: GroupName) -> None:
    await cluster.kill(await primary_of(cluster, group))


async def _kill_node(cluster: Cluster, _group: GroupName) -> None:
    await cluster.kill(cluster.nodes[0].vm)


async def _freeze_node(cluster: Cluster, _group: GroupName) -> None:
    cluster.freeze(cluster.nodes[0].vm)


def _rank(status: EndpointStatus) -> tuple[bool, int]:
    return status.role == EndpointRole.PRIMARY, status.term


FAULTS: Mapping[str, Apply] = MappingProxyType(
    {
        'kill-primary': _kill_primary,
        'freeze-primary': _on_primary('lab_frozen', 1),
        'cut-primary': _on_primary('lab_partition', 'peers'),
        'silence-primary': _on_primary('lab_silent', 1),
        'lag-replicas': _on_replicas('lab_lag_ms', _LONG_LAG_MS),
        'kill-node': _kill_node,
        'freeze-node': _freeze_node,
        'store-down': _on_store('outage', 'refuse'),
        'store-silent': _on_store('outage', 'silent'),
        'store-loses-answers': _on_store('lost_answers', 3),
    },
)
