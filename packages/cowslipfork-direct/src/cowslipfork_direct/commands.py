"""Commands that a node sends to an endpoint over one connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from cowslipfork.ids import Mark, Term
from cowslipfork_direct.statements import Prepared, Statement, StatementName


@dataclass(frozen=True, slots=True)
class Run:
    """Runs a caller's statement, its text unchanged.

    Attributes:
        statement: statement to run.
        minimum_mark: mark up to which the endpoint must have applied its
            log; None for no requirement.
    """

    statement: Statement
    minimum_mark: Mark | None = None


@dataclass(frozen=True, slots=True)
class Execute:
    """Executes a statement that is prepared on this connection.

    Attributes:
        statement: the caller's EXECUTE.
        name: name under which it is prepared on this connection.
        minimum_mark: mark up to which the endpoint must have applied its
            log; None for no requirement.
    """

    statement: Statement
    name: StatementName
    minimum_mark: Mark | None = None


@dataclass(frozen=True, slots=True)
class Begin:
    """Begins a transaction.

    Attributes:
        read_only: whether the transaction must not write.
        minimum_mark: mark up to which the endpoint must have applied its
            log; None for no requirement.
    """

    read_only: bool
    minimum_mark: Mark | None = None


@dataclass(frozen=True, slots=True)
class Rollback:
    """Rolls back the open transaction."""


@dataclass(frozen=True, slots=True)
class Reset:
    """Clears session values and prepared statements."""


@dataclass(frozen=True, slots=True)
class SetValue:
    """Sets a session value."""

    name: str
    setting: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Prepares a statement under a name that is local to the connection."""

    name: StatementName
    prepared: Prepared


@dataclass(frozen=True, slots=True)
class Forget:
    """Removes a prepared statement."""

    name: StatementName


@dataclass(frozen=True, slots=True)
class RequestStatus:
    """Requests the endpoint's status."""


@dataclass(frozen=True, slots=True)
class Hold:
    """Stops replication to a replica until a promotion to the term."""

    term: Term


@dataclass(frozen=True, slots=True)
class Resume:
    """Resumes replication to a replica."""


@dataclass(frozen=True, slots=True)
class Demote:
    """Turns a primary of a lower term into a replica."""

    term: Term


#: Commands that are answered with the endpoint's status.
ControlCommand: TypeAlias = RequestStatus | Hold | Resume | Demote

Command: TypeAlias = (
    Run
    | Execute
    | Begin
    | Rollback
    | Reset
    | SetValue
    | Prepare
    | Forget
    | ControlCommand
)
