"""A whole, checked configuration as typed values."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique
from typing import TypeAlias

from cowslipfork.ids import (
    ClassName,
    EndpointId,
    FailureDomain,
    GroupName,
    KindName,
    RegionName,
    SiteName,
    TeamName,
)


@dataclass(frozen=True, slots=True)
class AgeRule:
    """Reads accept data of at most this age.

    Attributes:
        max_age: seconds.
    """

    max_age: float


@dataclass(frozen=True, slots=True)
class SessionRule:
    """Reads see at least every write of their own session."""


@dataclass(frozen=True, slots=True)
class FreshRule:
    """Reads see every write acknowledged before they arrived."""


ReadingRule: TypeAlias = AgeRule | SessionRule | FreshRule


@unique
class Role(Enum):
    """What an operator may do."""

    VIEWER = 'viewer'
    OPERATOR = 'operator'


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests that shares a weight in the queues.

    Attributes:
        weight: share of an endpoint's slots under contention.
        queue: most requests of this class that wait at one group.
        deadline: seconds for a request without ``deadline_ms``.
    """

    name: ClassName
    weight: int
    queue: int
    deadline: float


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request with its reading rule and class.

    Attributes:
        reads: rule for reads of this kind.
        job: whether a write needs a ``request_id`` and is recorded once.
        primary_reads: whether reads may fall back on the primary.
    """

    name: KindName
    class_name: ClassName
    reads: ReadingRule
    job: bool = False
    primary_reads: bool = True


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A database server.

    Attributes:
        host: IP number.
        port: TCP port.
        slots: statements that run at once.
        connections: connections that the server accepts.
    """

    name: EndpointId
    host: str
    port: int
    failure_domain: FailureDomain
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Group:
    """A database group.

    Attributes:
        database: schema name that callers select.
        endpoints: its servers; the first is the primary of the first term.
    """

    name: GroupName
    database: str
    endpoints: tuple[EndpointId, ...]


@dataclass(frozen=True, slots=True)
class Team:
    """A team of callers.

    Attributes:
        password_hash: hex SHA1(SHA1(password)), as MySQL's native login keeps.
        groups: groups that the team may use; empty means all.
        requests: most requests of the team in flight at one node.
        read_only: whether writes are refused.
    """

    name: TeamName
    password_hash: str
    groups: tuple[GroupName, ...] = ()
    requests: int = 1000
    read_only: bool = False


@dataclass(frozen=True, slots=True)
class Operator:
    """A person or program that uses the administration API.

    Attributes:
        token_hash: hex SHA-256 of the credential.
    """

    name: str
    token_hash: str
    role: Role


@dataclass(frozen=True, slots=True)
class Site:
    """A site: a region and its failure domains.

    Attributes:
        one_way_delay: seconds between failure domains.
    """

    name: SiteName
    region: RegionName
    failure_domains: tuple[FailureDomain, ...]
    one_way_delay: float = 0.001


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits that hold on every node.

    Attributes:
        statement_bytes: longest statement.
        transaction_idle: seconds after which an idle transaction ends.
        callers: most caller connections of a node.
        retry_share: retries allowed per first try.
        hold: most requests of a group held through a change of primary.
        drain: seconds that a leaving node gives transactions in flight.
    """

    statement_bytes: int = 1_048_576
    transaction_idle: float = 30
    callers: int = 4000
    retry_share: float = 0.1
    hold: int = 200
    drain: float = 10


@dataclass(frozen=True, slots=True)
class Failover:
    """Times of the promotion.

    Attributes:
        probe_interval: seconds between status samples of an endpoint.
        probe_timeout: seconds after which a sample counts as silent.
        suspect_after: seconds of silence until peers are asked.
        claim_step: seconds of delay per rank of claimer.
    """

    probe_interval: float = 0.1
    probe_timeout: float = 0.25
    suspect_after: float = 0.4
    claim_step: float = 0.5


@dataclass(frozen=True, slots=True)
class Configuration:
    """All that operators decide, checked as a whole."""

    site: Site
    limits: Limits = field(default_factory=Limits)
    failover: Failover = field(default_factory=Failover)
    classes: dict[ClassName, RequestClass] = field(default_factory=dict)
    kinds: dict[KindName, Kind] = field(default_factory=dict)
    endpoints: dict[EndpointId, Endpoint] = field(default_factory=dict)
    groups: dict[GroupName, Group] = field(default_factory=dict)
    teams: dict[TeamName, Team] = field(default_factory=dict)
    operators: dict[str, Operator] = field(default_factory=dict)
