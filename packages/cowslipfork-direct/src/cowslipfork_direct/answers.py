"""Answers and other outcomes of a caller's statements."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TypeAlias

from cowslipfork.outcomes import Done, NotRun, Unknown


@unique
class SessionState(Enum):
    """Transaction state of a session between two statements."""

    IDLE = 'idle'
    IN_TRANSACTION = 'in_transaction'
    FAILED_TRANSACTION = 'failed_transaction'


@dataclass(frozen=True, slots=True)
class Answer:
    """The complete answer to a statement.

    Attributes:
        rows: rows as the endpoint sent them.
        signature: the endpoint's signature, which proves that it ran the
            statement; None for statements that the node answers itself.
    """

    rows: tuple[str, ...] = ()
    signature: str | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """The endpoint ran the statement and it failed.

    Attributes:
        detail: the endpoint's error message, unchanged.
    """

    detail: str


DirectOutcome: TypeAlias = Done[Answer] | Failed | NotRun | Unknown


def outcome_name(outcome: DirectOutcome) -> str:
    """Returns the name of an outcome for logs and metrics.

    Args:
        outcome: outcome of a statement.

    Returns:
        ``done``, ``failed``, or ``not_run_`` or ``unknown_`` followed by the
        reason in lower case.
    """
    if isinstance(outcome, Done):
        return 'done'
    if isinstance(outcome, Failed):
        return 'failed'
    label = 'not_run' if isinstance(outcome, NotRun) else 'unknown'
    return f'{label}_{outcome.reason.name.lower()}'


def outcome_detail(outcome: DirectOutcome) -> str:
    """Returns the outcome's detail for logs; empty if it is done."""
    return '' if isinstance(outcome, Done) else outcome.detail


#: Outcome of statements that the node carries out without an endpoint.
ACCEPTED = Done(Answer())
