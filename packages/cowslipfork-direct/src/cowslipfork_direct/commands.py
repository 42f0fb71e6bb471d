"""What a node sends to an endpoint on one connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from cowslipfork.ids import Mark
from cowslipfork_direct.statements import Prepared, Statement, StatementName


@dataclass(frozen=True, slots=True)
class Run:
    """Runs a caller's statement, its text unchanged.

    Attributes:
        statement: what to run.
        minimum_mark: log entry that the endpoint must have applied.
    """

    statement: Statement
    minimum_mark: Mark | None = None


@dataclass(frozen=True, slots=True)
class Execute:
    """Executes a prepared statement under its name on this connection.

    Attributes:
        statement: the caller's EXECUTE.
        name: name under which it was prepared here.
        minimum_mark: log entry that the endpoint must have applied.
    """

    statement: Statement
    name: StatementName
    minimum_mark: Mark | None = None


@dataclass(frozen=True, slots=True)
class Begin:
    """Begins a transaction.

    Attributes:
        read_only: whether it takes no writes.
        minimum_mark: log entry that the endpoint must have applied.
    """

    read_only: bool
    minimum_mark: Mark | None = None


@dataclass(frozen=True, slots=True)
class Rollback:
    """Ends a transaction without a trace."""


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
    """Prepares a statement under a name of this connection."""

    name: StatementName
    prepared: Prepared


Command: TypeAlias = (
    Run | Execute | Begin | Rollback | Reset | SetValue | Prepare
)
