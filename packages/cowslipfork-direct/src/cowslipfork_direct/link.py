"""Interface to one connection to an endpoint."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import EndpointId, GroupName, Mark, Term, WorkspaceName
from cowslipfork_direct.commands import Command
from cowslipfork_direct.relay import Address


@unique
class ReplyCode(Enum):
    """Result code of a command."""

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
        code: result of the command.
        rows: rows as the endpoint sent them.
        signature: the endpoint's proof that the statement ran; None without
            one.
        detail: error message.
        mark: last log entry that the endpoint has applied; None if not sent.
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
    """Role that an endpoint reports."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Status that an endpoint reports.

    Attributes:
        role: primary, which accepts writes, or replica.
        term: its current term.
        received: last log entry received, applied or not.
        held_term: term of the promotion for which it is fenced and receives
            no log entries; 0 if not fenced.
        lag: replication lag in seconds.
        busy: number of statements that run or wait.
        connections: number of open connections from all nodes.
    """

    role: EndpointRole
    term: Term
    received: Mark
    held_term: Term
    lag: float
    busy: int
    connections: int


class LinkLost(CowslipforkError):
    """A connection broke or timed out; what was sent may have run.

    Attributes:
        endpoint: the endpoint of the connection.
        cause: error of the socket, or the kind of time-out.
    """

    def __init__(self, endpoint: EndpointId, cause: str) -> None:
        """Builds the message.

        Args:
            endpoint: the endpoint of the connection.
            cause: error of the socket, or the kind of time-out.
        """
        super().__init__(f'connection to endpoint {endpoint} lost: {cause}')
        self.endpoint = endpoint
        self.cause = cause


class LinkRefused(CowslipforkError):
    """A connection was not opened; nothing ran.

    Attributes:
        endpoint: the endpoint of the attempt.
        cause: error of the socket, or the endpoint's message.
        code: the endpoint's answer; None if it did not answer.
    """

    def __init__(
        self,
        endpoint: EndpointId,
        cause: str,
        code: ReplyCode | None = None,
    ) -> None:
        """Builds the message.

        Args:
            endpoint: the endpoint of the attempt.
            cause: error of the socket, or the endpoint's message.
            code: the endpoint's answer; None if it did not answer.
        """
        super().__init__(f'endpoint {endpoint} not connected: {cause}')
        self.endpoint = endpoint
        self.cause = cause
        self.code = code


class Link(Protocol):
    """One connection, used by one task at a time.

    Every method but ``close`` raises ``LinkLost`` when the connection breaks;
    the connection is then closed. Time-outs are up to the caller: a cancelled
    call leaves an answer outstanding, so the connection must be closed.
    """

    @property
    def reusable(self) -> bool:
        """Whether it may serve another caller while it is idle.

        Not if it has ended, or if replies arrive that answer no command.
        """

    async def send(self, *commands: Command) -> list[EndpointReply]:
        """Sends commands as a pipeline; the endpoint runs them in order.

        Args:
            commands: at least one; a later one runs even if an earlier one
                failed.

        Returns:
            One reply for each command, in the same order.
        """

    async def status(self) -> EndpointStatus | None:
        """Returns the endpoint's status; None if it is too busy to answer."""

    async def hold(self, term: Term) -> EndpointStatus | None:
        """Fences a replica: it receives no log until promoted to the term.

        Args:
            term: term of the promotion.

        Returns:
            Its status; None if it refused or is too busy to answer.
        """

    async def resume(self) -> EndpointStatus | None:
        """Unfences a replica, which receives the log again.

        Returns:
            Its status; None if it refused or is too busy to answer.
        """

    async def demote(self, term: Term) -> EndpointStatus | None:
        """Makes a primary of a lower term a replica.

        Args:
            term: the higher term.

        Returns:
            Its status; None if it refused or is too busy to answer.
        """

    def close(self) -> None:
        """Closes at once; an open transaction is rolled back."""


@dataclass(frozen=True, slots=True)
class Target:
    """Address of a connection.

    Attributes:
        endpoint: endpoint expected there; another one refuses.
        group: group of the endpoint.
        host: IP address.
        port: TCP port.
        workspace: workspace that the connection serves, which the endpoint is
            told; None for connections that no workspace owns.
    """

    endpoint: EndpointId
    group: GroupName
    host: str
    port: int
    workspace: WorkspaceName | None = None


@dataclass(frozen=True, slots=True)
class Network:
    """Functions that reach endpoints, directly or through a relay.

    Attributes:
        open_link: opens a connection; raises ``LinkRefused``. The relay is
            None for the direct path.
        reach: returns whether a machine answers at the address, which costs
            the endpoint nothing. The relay is None for the direct path.
    """

    open_link: Callable[[Target, Address | None], Awaitable[Link]]
    reach: Callable[[Target, Address | None], Awaitable[bool]]
