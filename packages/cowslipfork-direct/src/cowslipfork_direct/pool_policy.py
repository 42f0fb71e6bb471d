"""Which connection of an endpoint's pool serves a request: pure decisions.

Answers the load pattern of many workspaces before few connections. A connection
serves one workspace for its whole lifetime, and opening one occupies a slot of
the endpoint for about 12 ms. So an idle connection of the workspace is used
first, and another workspace's is closed only if there is no room for a new one.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from operator import attrgetter
from typing import Final, Generic, Protocol, TypeVar

from cowslipfork.ids import WorkspaceName
from cowslipfork.limits import Holding

#: A workspace may have its share of a node's connections divided by this many
#: in use while others wait.
CONTENDED_DIVISOR: Final = 2


class PooledConnection(Protocol):
    """What the decisions use of an idle connection.

    Attributes:
        used_at: boot time of its last answer to a statement.
    """

    used_at: float

    @property
    def workspace(self) -> WorkspaceName | None:
        """Workspace that the connection serves."""

    def has_values(self, values: Mapping[str, str]) -> bool:
        """Returns whether exactly these session values are set."""


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a request needs of its connection.

    Attributes:
        values: session values that the connection should preferably have.
        workspace: workspace that it must serve.
        any_workspace: whether the workspace doesn't matter, as for control
            requests, which leave the state of the connection as it is.
    """

    values: Mapping[str, str]
    workspace: WorkspaceName | None = None
    any_workspace: bool = False


Connection = TypeVar('Connection', bound=PooledConnection)


@dataclass(frozen=True, slots=True)
class UseIdle(Generic[Connection]):
    """Use an idle connection.

    Attributes:
        connection: the connection.
    """

    connection: Connection


@dataclass(frozen=True, slots=True)
class OpenNew(Generic[Connection]):
    """Open a new connection.

    Attributes:
        evicted: idle connection of another workspace to close before that;
            None if there is room.
    """

    evicted: Connection | None


def choose(
    idle: Sequence[Connection],
    wanted: Wanted,
    *,
    has_room: bool,
) -> UseIdle[Connection] | OpenNew[Connection]:
    """Chooses the connection of a request that holds a slot.

    Args:
        idle: idle connections in the order in which they were returned.
        wanted: what the request needs.
        has_room: whether the node may open a further connection.
    """
    suitable = [
        connection
        for connection in idle
        if wanted.any_workspace or connection.workspace == wanted.workspace
    ]
    with_values = (
        connection
        for connection in suitable
        if connection.has_values(wanted.values)
    )
    chosen = next(with_values, suitable[-1] if suitable else None)
    if chosen is not None:
        return UseIdle(chosen)
    if has_room or not idle:
        return OpenNew(None)
    # Control requests don't count as use, so the order doesn't tell this.
    return OpenNew(min(idle, key=attrgetter('used_at')))


def may_use_another(holding: Holding) -> bool:
    """Returns whether a workspace may use another connection of a share.

    While other workspaces wait for the endpoint, one of them gets no further
    connection beyond half of the share, and at least one.

    Args:
        holding: connections that it has in use.
    """
    if not holding.others_wait:
        return True
    return holding.connections < max(1, holding.share // CONTENDED_DIVISOR)
