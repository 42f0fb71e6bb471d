"""Interface to the group statements of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import EndpointId, Mark, Term


@unique
class EndpointRole(Enum):
    """What an endpoint does in its term."""

    PRIMARY = 'primary'
    REPLICA = 'replica'
    FENCED = 'fenced'


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Answer of an endpoint to ``SHOW GROUP STATUS``.

    Attributes:
        term: term that the endpoint is in.
        mark: last log entry that it has applied.
        leaving: whether the platform is about to take it away.
    """

    endpoint: EndpointId
    role: EndpointRole
    term: Term
    mark: Mark
    leaving: bool = False


class EndpointSilent(CowslipforkError):
    """An endpoint did not answer in time or broke the connection."""

    def __init__(self, endpoint: EndpointId, cause: str) -> None:
        """Remembers who was silent.

        Args:
            endpoint: the endpoint asked.
            cause: time-out or error of the client library.
        """
        super().__init__(f'endpoint {endpoint} is silent: {cause}')
        self.endpoint = endpoint
        self.cause = cause


class EndpointUnreachable(EndpointSilent):
    """A new connection was refused or reset: no server is listening.

    Stronger evidence than silence, which a lost packet gives too.
    """


class TermRefused(CowslipforkError):
    """An endpoint is in a later term than the caller of the statement."""

    def __init__(self, endpoint: EndpointId, asked: Term) -> None:
        """Remembers the refused term.

        Args:
            endpoint: the endpoint asked.
            asked: the term that it refused.
        """
        super().__init__(f'endpoint {endpoint} refused term {asked}')
        self.endpoint = endpoint
        self.asked = asked


class EndpointControl(Protocol):
    """Group statements of one endpoint, each bounded by a time-out.

    Every method raises ``EndpointSilent`` without an answer in time, and
    ``EndpointUnreachable`` if a new connection was refused or reset. After
    either, the kept connection is closed and the next call opens another.
    """

    async def status(self, timeout: float, *, fresh: bool) -> EndpointStatus:
        """Asks for the status.

        Args:
            timeout: seconds.
            fresh: open a new connection instead of using the kept one.
        """

    async def fence(self, term: Term, timeout: float) -> EndpointStatus:
        """Moves the endpoint to a term and stops its writes.

        Raises:
            TermRefused: the endpoint is in a later term.
        """

    async def promote(self, term: Term, timeout: float) -> EndpointStatus:
        """Makes a fenced endpoint the primary of the term.

        Raises:
            TermRefused: the endpoint is in another term.
        """

    async def follow(
        self,
        term: Term,
        primary: EndpointId,
        timeout: float,
    ) -> EndpointStatus:
        """Makes an endpoint a replica of the term's primary.

        Raises:
            TermRefused: the endpoint is in a later term.
        """
