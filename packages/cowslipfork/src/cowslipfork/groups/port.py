"""Interface to the group statements of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import EndpointId, Mark, Term


@unique
class EndpointRole(Enum):
    """Role of an endpoint in its term."""

    PRIMARY = 'primary'
    REPLICA = 'replica'
    FENCED = 'fenced'


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Result of ``SHOW GROUP STATUS`` at an endpoint.

    Attributes:
        term: term that the endpoint is in.
        mark: mark of the last log entry that it has applied.
        leaving: whether the platform is about to remove the endpoint.
    """

    endpoint: EndpointId
    role: EndpointRole
    term: Term
    mark: Mark
    leaving: bool = False


class EndpointSilent(CowslipforkError):
    """An endpoint did not answer in time or broke the connection."""

    def __init__(self, endpoint: EndpointId, cause: str) -> None:
        """Describes the failed call.

        Args:
            endpoint: the endpoint that was called.
            cause: time-out or error of the client library.
        """
        super().__init__(f'no answer from endpoint {endpoint}: {cause}')
        self.endpoint = endpoint
        self.cause = cause


class EndpointUnreachable(EndpointSilent):
    """A new connection was refused or reset: no server is listening.

    It is stronger evidence than a missing answer, which a lost packet can
    cause as well.
    """


class TermRefused(CowslipforkError):
    """An endpoint is in a later term than the caller of the statement."""

    def __init__(self, endpoint: EndpointId, asked: Term) -> None:
        """Describes the refused statement.

        Args:
            endpoint: the endpoint that was called.
            asked: the term of the statement, which the endpoint refused.
        """
        super().__init__(f'endpoint {endpoint} refused term {asked}')
        self.endpoint = endpoint
        self.asked = asked


class EndpointControl(Protocol):
    """Group statements of one endpoint, each bounded by a time-out.

    Every method raises ``EndpointSilent`` if there is no answer in time, and
    ``EndpointUnreachable`` if a new connection was refused or reset. After
    either, the kept connection is closed and the next call opens another.
    """

    async def status(self, timeout: float, *, fresh: bool) -> EndpointStatus:
        """Returns the endpoint's status.

        Args:
            timeout: maximum wait in seconds.
            fresh: whether to open a new connection instead of using the kept
                one.
        """

    async def fence(self, term: Term, timeout: float) -> EndpointStatus:
        """Moves the endpoint to a term and makes it refuse writes.

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
