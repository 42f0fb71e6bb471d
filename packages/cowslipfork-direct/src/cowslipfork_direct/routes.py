"""The operators' configuration in the form that a node uses for routing."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NewType

from cowslipfork.configuration import ReadingRule
from cowslipfork.ids import GroupName, Revision, WorkspaceName

DatabaseName = NewType('DatabaseName', str)

#: Digest of a caller's key; the key itself is kept nowhere.
KeyDigest = NewType('KeyDigest', bytes)


@dataclass(frozen=True, slots=True)
class Route:
    """How statements for one database are served.

    Attributes:
        database: name that callers connect to.
        group: group that serves the database.
        reads: how fresh the results of reads must be.
        timeout: time limit of one statement in seconds.
        latency_goal: seconds within which an operation should be answered.
        priority: 0 is the most urgent.
        revision: revision of the configuration that the route comes from.
        auth_exempt: whether callers need no valid key.
    """

    database: DatabaseName
    group: GroupName
    reads: ReadingRule
    timeout: float
    latency_goal: float
    priority: int
    revision: Revision
    auth_exempt: bool = False


@dataclass(frozen=True, slots=True)
class GroupRules:
    """The configuration of one group.

    Attributes:
        connections: most connections of all nodes together to each endpoint.
        synchronous_replicas: number of replicas that must hold a commit
            before the primary acknowledges it.
    """

    connections: int
    synchronous_replicas: int


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Token bucket of a workspace's operations over all nodes.

    Attributes:
        rate: operations per second.
        burst: most operations that may have been saved up.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Workspace:
    """The configuration of one workspace.

    Attributes:
        name: name that endpoints are told.
        keys: digests of the keys that identify its callers; none if all were
            withdrawn.
        priority: 0 is the most urgent.
        rate_limit: limit of its operations; None for no limit.
    """

    name: WorkspaceName
    keys: frozenset[KeyDigest]
    priority: int = 0
    rate_limit: RateLimit | None = None


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One immutable revision of the configuration.

    Attributes:
        revision: a table is only replaced by one with a higher revision.
        routes: routes by database.
        groups: rules of groups by name.
        transaction_idle: seconds after which an idle transaction is aborted.
        workspaces: workspaces by name; None if callers need no keys.
    """

    revision: Revision
    routes: Mapping[DatabaseName, Route] = field(default_factory=dict)
    groups: Mapping[GroupName, GroupRules] = field(default_factory=dict)
    transaction_idle: float = 30
    workspaces: Mapping[WorkspaceName, Workspace] | None = None
