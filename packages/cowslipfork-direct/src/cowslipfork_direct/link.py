"""Interface to one connection to an endpoint."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import EndpointId, GroupName, Mark, Term
from cowslipfork_direct.commands import Command
from cowslipfork_direct.relay import Address


@unique
class ReplyCode(Enum):
    """How an endpoint answered a command."""

    DONE = 'done'
    BUSY = 'busy'
    BEHIND = 'behind'
    READ_ONLY = 'read_only'
    NO_STATEMENT = 'no_statement'
    TOO_MANY_CONNECTIONS = 'too_many_connections'
    OTHER_ENDPOINT = 'other_endpoint'
    ABORTED = 'aborted'
    FAILED = 'failed'
    TIMED_OUT = 'timed_out'
    OTHER = 'other'


#: Codes that prove that the statement did not run.
NOT_RUN = frozenset(
    (
        ReplyCode.BUSY,
        ReplyCode.BEHIND,
        ReplyCode.READ_ONLY,
        ReplyCode.NO_STATEMENT,
        ReplyCode.TOO_MANY_CONNECTIONS,
        ReplyCode.OTHER_ENDPOINT,
    ),
)


@dataclass(frozen=True, slots=True)
class EndpointReply:
    """An endpoint's whole answer to one command.

    Attributes:
        code: how it ended.
        rows: rows as they came.
        signature: proof of the run; None without one.
        detail: message of a failure.
        mark: last log entry that the endpoint has applied.
        transaction_open: whether the connection is inside a transaction.
        transaction_failed: whether that transaction can only be ended.
    """

    code: ReplyCode
    rows: tuple[str, ...] = ()
    signature: str | None = None
    detail: str = ''
    mark: Mark | None = None
    transaction_open: bool = False
    transaction_failed: bool = False


@unique
class EndpointRole(Enum):
    """What an endpoint says that it is."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """What an endpoint tells about itself.

    Attributes:
        role: whether it takes writes.
        term: term that it is in.
        received: last log entry received, applied or not.
        held_term: term for which it refuses to receive; 0 for none.
        lag: seconds by which it applies late, as it tells.
        busy: statements that run or wait.
        connections: connections open to it, of all nodes.
    """

    role: EndpointRole
    term: Term
    received: Mark
    held_term: Term
    lag: float
    busy: int
    connections: int


class LinkLost(CowslipforkError):
    """A connection broke or stayed silent; what was sent may have run."""

    def __init__(self, endpoint: EndpointId, cause: str) -> None:
        """Remembers who was lost.

        Args:
            endpoint: the endpoint of the connection.
            cause: error of the socket, or the time waited.
        """
        super().__init__(f'connection to endpoint {endpoint} lost: {cause}')
        self.endpoint = endpoint
        self.cause = cause


class LinkRefused(CowslipforkError):
    """A connection was not opened; nothing ran."""

    def __init__(
        self,
        endpoint: EndpointId,
        cause: str,
        code: ReplyCode | None = None,
    ) -> None:
        """Remembers who refused.

        Args:
            endpoint: the endpoint asked.
            cause: error of the socket, or the endpoint's message.
            code: answer of the endpoint; None if it did not answer.
        """
        super().__init__(f'endpoint {endpoint} not connected: {cause}')
        self.endpoint = endpoint
        self.cause = cause
        self.code = code


class Link(Protocol):
    """One connection, used by one task at a time.

    Every method but ``close`` raises ``LinkLost`` when the connection breaks;
    the connection is then closed. Time-outs are the caller's: a cancelled
    call leaves an answer outstanding, so the connection has to be closed.
    """

    async def send(self, *commands: Command) -> list[EndpointReply]:
        """Sends commands at once, which the endpoint runs in their order.

        Args:
            commands: at least one; a later one runs also if an earlier one
                failed.

        Returns:
            The replies in the same order.
        """

    async def status(self) -> EndpointStatus | None:
        """Asks for the endpoint's status; None if it is too busy to tell."""

    async def hold(self, term: Term) -> EndpointStatus | None:
        """Stops a replica from receiving until a promotion to the term."""

    async def resume(self) -> EndpointStatus | None:
        """Lets a replica receive again."""

    async def demote(self, term: Term) -> EndpointStatus | None:
        """Makes a primary of a lower term a replica."""

    def close(self) -> None:
        """Closes at once; an open transaction is rolled back."""


@dataclass(frozen=True, slots=True)
class Target:
    """Where a connection leads.

    Attributes:
        endpoint: who is expected there; another one refuses.
        group: group of the endpoint.
        host: IP number.
        port: TCP port.
    """

    endpoint: EndpointId
    group: GroupName
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Network:
    """Ways to an endpoint.

    Attributes:
        open_link: opens a connection, perhaps through a relay; raises
            ``LinkRefused``.
        reach: tells whether a machine answers at the address, perhaps through
            a relay, which costs the endpoint nothing.
    """

    open_link: Callable[[Target, Address | None], Awaitable[Link]]
    reach: Callable[[Target, Address | None], Awaitable[bool]]
