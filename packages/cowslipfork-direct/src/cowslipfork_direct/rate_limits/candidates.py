"""Which nodes may hold token buckets, and which one holds a workspace's.

Answers these load patterns: a fleet in which most nodes have little capacity,
and one hot workspace among many, whose messages should not all meet those of
the others at one node.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final

from cowslipfork.ids import VmId, WorkspaceName
from cowslipfork.weights import rendezvous_weight

#: Number of nodes that may hold token buckets.
CANDIDATE_COUNT: Final = 3

#: Nodes with at least this fraction of the greatest capacity come first.
ENOUGH_CAPACITY: Final = 0.5

#: Key of the rendezvous order of candidates.
_FLEET_KEY: Final = 'rate_limits'


def candidates_of(capacities: Mapping[VmId, float]) -> tuple[VmId, ...]:
    """Returns the nodes that may hold token buckets, sorted by name.

    Args:
        capacities: capacity of each live node; 0 if unknown.
    """
    enough = ENOUGH_CAPACITY * max(capacities.values(), default=0)

    def preference(node: VmId) -> tuple[bool, int, VmId]:
        weight = rendezvous_weight(_FLEET_KEY, node)
        return capacities[node] >= enough, weight, node

    ordered = sorted(capacities, key=preference, reverse=True)
    return tuple(sorted(ordered[:CANDIDATE_COUNT]))


def limiter_order(
    workspace: WorkspaceName, usable: Collection[VmId]
) -> tuple[VmId, ...]:
    """Returns the nodes that may hold a workspace's bucket, best first.

    Args:
        workspace: the workspace.
        usable: candidates that can be reached.
    """
    ordered = sorted(
        usable,
        key=lambda node: (rendezvous_weight(workspace, node), node),
        reverse=True,
    )
    return tuple(ordered)


def limiter_of(
    workspace: WorkspaceName, usable: Collection[VmId]
) -> VmId | None:
    """Returns the node that holds a workspace's bucket.

    Args:
        workspace: the workspace.
        usable: candidates that can be reached.

    Returns:
        The first of them in rendezvous order, or None without any.
    """
    return next(iter(limiter_order(workspace, usable)), None)
