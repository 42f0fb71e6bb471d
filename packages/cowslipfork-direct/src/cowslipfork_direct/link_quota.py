"""How many connections a node may open to each endpoint of a group.

Answers the load pattern of a fleet that loses power at once: for seconds its
endpoints still count the connections of the dead nodes, and refuse new ones
beyond their limit. Idle connections should leave room for that.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from cowslipfork.ids import GroupName, VmId
from cowslipfork.weights import rendezvous_weight


@dataclass(frozen=True, slots=True)
class LinkQuota:
    """Connections of a node to each endpoint of a group.

    Attributes:
        links: most connections, at least 1.
        statements_at_once: most statements that it sends to an endpoint at
            once, at least 1; the other connections are for idle transactions
            and other workspaces. None for as many as connections, with spare
            connections beyond them.
        kept: connections that stay open without use; None for all.
    """

    links: int
    statements_at_once: int | None = None
    kept: int | None = None


def even_quota(
    group: GroupName, node: VmId, nodes: Collection[VmId], connections: int
) -> LinkQuota:
    """Divides an endpoint's connections evenly among all nodes.

    What is left over goes to some of the nodes, which keep it open only while
    they use it.

    Args:
        group: the group of the endpoint.
        node: the node whose quota is returned.
        nodes: all nodes; may lack this one.
        connections: most connections that the endpoint accepts.
    """
    ordered = sorted(
        {*nodes, node}, key=lambda other: rendezvous_weight(group, other)
    )
    kept, remainder = divmod(connections, len(ordered))
    extra = int(ordered.index(node) < remainder)
    return LinkQuota(max(1, kept + extra), kept=max(1, kept))
