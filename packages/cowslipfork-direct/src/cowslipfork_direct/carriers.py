"""Which nodes hold the connections to a group, and how they divide them.

Pure functions of the registered nodes. Two nodes that see the same list choose
the same carriers without a message; nodes that see different lists only use
more connections than intended.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import chain, zip_longest
from typing import Final

from cowslipfork.ids import FailureDomain, GroupName, VmId, WorkspaceName
from cowslipfork.weights import rendezvous_weight

#: Nodes with at least this fraction of the greatest capacity are preferred.
LARGE_FRACTION: Final = 0.5

#: Fraction of an endpoint's connections that is reserved for nodes which are
#: not carriers but believe to be, or cannot reach any carrier.
RESERVED_FRACTION: Final = 0.1

#: Least number of an endpoint's connections that is reserved in this way.
MIN_RESERVED: Final = 2

#: Statements that all carriers together send to an endpoint at once, as a
#: multiple of its slots. One statement may wait at the endpoint for each slot,
#: so that the slot does not stand idle for the length of a round trip.
STATEMENTS_PER_SLOT: Final = 2

#: Least number of statements that a carrier may send to an endpoint at once.
MIN_STATEMENTS: Final = 2


@dataclass(frozen=True, slots=True)
class NodeTraits:
    """What the choice of carriers considers of a node.

    Attributes:
        failure_domain: set of VMs that fail together with it; empty for nodes
            of versions that do not report it.
        capacity: the node's processing capacity in cores; 0 for nodes of
            versions that do not report it.
    """

    failure_domain: FailureDomain = FailureDomain('')
    capacity: float = 0


#: Traits of a node that reports none.
UNKNOWN_TRAITS: Final = NodeTraits()


@dataclass(frozen=True, slots=True)
class EndpointShare:
    """What a node may use of one endpoint.

    Attributes:
        connections: most connections.
        statements: most statements that run at once.
    """

    connections: int
    statements: int


#: Share of a node that is active for a group without being its carrier.
NO_CARRIER_SHARE: Final = EndpointShare(connections=1, statements=1)


def ranked(
    group: GroupName, nodes: Mapping[VmId, NodeTraits]
) -> tuple[VmId, ...]:
    """Orders all nodes for a group.

    Nodes of large capacity come first. Within nodes of large and of small
    capacity, the first of each failure domain comes before the second of any.

    Args:
        group: the group.
        nodes: traits of the nodes.

    Returns:
        All nodes, best first.
    """
    greatest = max((traits.capacity for traits in nodes.values()), default=0)
    least = LARGE_FRACTION * greatest
    large = [node for node in nodes if nodes[node].capacity >= least]
    small = [node for node in nodes if nodes[node].capacity < least]
    return (
        *_alternate(_by_weight(group, large), nodes),
        *_alternate(_by_weight(group, small), nodes),
    )


def carriers_of(
    group: GroupName, nodes: Mapping[VmId, NodeTraits], count: int
) -> tuple[VmId, ...]:
    """Returns the nodes that hold the connections to a group, best first.

    If one node joins or leaves, at most one carrier is replaced, unless the
    greatest capacity changes.

    Args:
        group: the group.
        nodes: traits of the nodes.
        count: wanted number of carriers; all nodes if there are fewer.
    """
    return ranked(group, nodes)[:count]


def preferred(
    group: GroupName,
    carriers: Iterable[VmId],
    nodes: Mapping[VmId, NodeTraits],
    entry: VmId,
    workspace: WorkspaceName | None,
) -> tuple[VmId, ...]:
    """Orders a group's carriers for the statements of an entry node.

    With workspaces, all entry nodes use the same order for a workspace, so
    that few nodes hold connections of it. Without, the entry node itself comes
    first, then carriers of its failure domain.

    Args:
        group: the group.
        carriers: its carriers.
        nodes: traits of the nodes, which include the carriers.
        entry: node that the caller is connected to.
        workspace: workspace of the caller; None without workspaces.
    """
    if workspace is not None:
        return _by_weight(f'{group}\0{workspace}', carriers)
    domain = nodes.get(entry, UNKNOWN_TRAITS).failure_domain
    ordered = _by_weight(f'{group}\0{entry}', carriers)

    def distance(carrier: VmId) -> tuple[bool, bool]:
        same = bool(domain) and nodes[carrier].failure_domain == domain
        return carrier != entry, not same

    return tuple(sorted(ordered, key=distance))


def uses_carriers(
    *,
    workspaces: bool,
    connections: int,
    nodes: int,
    direct_connections: float,
) -> bool:
    """Returns whether statements of a group are forwarded to carriers.

    Args:
        workspaces: whether the configuration has workspaces.
        connections: connections that each endpoint of the group accepts.
        nodes: number of registered nodes.
        direct_connections: least connections to an endpoint for each node
            with which all nodes use the endpoints themselves.
    """
    return workspaces or connections < direct_connections * nodes


def reserved_connections(connections: int) -> int:
    """Returns how many of an endpoint's connections carriers leave free.

    Args:
        connections: connections that the endpoint accepts.
    """
    return max(MIN_RESERVED, int(connections * RESERVED_FRACTION))


def carrier_share(connections: int, slots: int, carriers: int) -> EndpointShare:
    """Returns what one carrier may use of an endpoint.

    Args:
        connections: connections that the endpoint accepts.
        slots: statements that the endpoint runs at once.
        carriers: number of carriers, at least 1.
    """
    shared = connections - reserved_connections(connections)
    share = max(1, shared // carriers)
    wanted = math.ceil(STATEMENTS_PER_SLOT * slots / carriers)
    return EndpointShare(share, min(share, max(MIN_STATEMENTS, wanted)))


def _by_weight(key: str, nodes: Iterable[VmId]) -> tuple[VmId, ...]:
    ordered = sorted(
        nodes,
        key=lambda node: (rendezvous_weight(key, node), node),
        reverse=True,
    )
    return tuple(ordered)


def _alternate(
    ordered: Sequence[VmId], nodes: Mapping[VmId, NodeTraits]
) -> Iterable[VmId]:
    """Takes the first node of each failure domain, then the second, ...

    Domains keep the order of their first nodes. Nodes without a known domain
    count as one domain.
    """
    domains: dict[FailureDomain, list[VmId]] = {}
    for node in ordered:
        domains.setdefault(nodes[node].failure_domain, []).append(node)
    rounds = chain.from_iterable(zip_longest(*domains.values()))
    return filter(None, rounds)
