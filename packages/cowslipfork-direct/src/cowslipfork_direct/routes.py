"""The operators' configuration as a node uses it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NewType

from cowslipfork.configuration import ReadingRule
from cowslipfork.ids import GroupName, Revision

DatabaseName = NewType('DatabaseName', str)


@dataclass(frozen=True, slots=True)
class Route:
    """How statements for one database are served.

    Attributes:
        database: name that callers connect to.
        group: group that serves it.
        reads: rule for reads.
        timeout: seconds for one statement.
        latency_goal: seconds in which an operation should be answered.
        priority: 0 is the most urgent.
        revision: version of the configuration that it comes from.
    """

    database: DatabaseName
    group: GroupName
    reads: ReadingRule
    timeout: float
    latency_goal: float
    priority: int
    revision: Revision


@dataclass(frozen=True, slots=True)
class GroupRules:
    """What is configured for one group.

    Attributes:
        connections: connections that each endpoint takes from all nodes.
        synchronous_replicas: replicas that hold a commit before it is
            acknowledged by the primary.
    """

    connections: int
    synchronous_replicas: int


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration, never changed.

    Attributes:
        revision: version; a higher one replaces it.
        routes: by database.
        groups: by name.
        transaction_idle: seconds after which an idle transaction ends.
    """

    revision: Revision
    routes: Mapping[DatabaseName, Route] = field(default_factory=dict)
    groups: Mapping[GroupName, GroupRules] = field(default_factory=dict)
    transaction_idle: float = 30
