"""The three ways in which a request ends: done, not run, unknown."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Generic, TypeAlias, TypeVar

from cowslipfork.ids import RequestId

_Answer = TypeVar('_Answer')


@unique
class Reason(Enum):
    """Why a request was not run, or why its outcome is unknown.

    The value is the MySQL error number that callers see. Numbers from 4700
    are cowslipfork's own and stable.
    """

    BAD_REQUEST = 4700
    STALE_TERM = 4701
    NO_FREE_SLOT = 4702
    QUEUE_FULL = 4703
    DEADLINE = 4704
    NO_PRIMARY = 4705
    STORE_DOWN = 4706
    NO_FRESH_ENDPOINT = 4707
    REQUEST_ID_REUSED = 4708
    REQUEST_ID_MISSING = 4709
    DRAINING = 4710
    NO_CARRIER = 4711
    OVER_TEAM_LIMIT = 4712
    CONNECTION_LOST = 4713
    TRANSACTION_LOST = 4714
    NOT_CURRENT = 4715
    FORBIDDEN = 4716
    ALREADY_RECORDED = 4717
    UNKNOWN_GROUP = 4718
    UNKNOWN_KEY = 4719
    OUTCOME_UNKNOWN = 4720
    RATE_LIMITED = 4721


@dataclass(frozen=True, slots=True)
class Done(Generic[_Answer]):
    """The request ran and its whole answer is here."""

    answer: _Answer


@dataclass(frozen=True, slots=True)
class Refused:
    """The endpoint ran the statement and rejected it; nothing was changed.

    Attributes:
        errno: MySQL error number of the endpoint, kept as it came.
        sqlstate: five characters.
        text: message of the endpoint.
    """

    errno: int
    sqlstate: str
    text: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request is proved not to have run.

    Attributes:
        reason: why.
        retry_after_ms: when to come back, in milliseconds; 0 means that a
            retry of the same request cannot succeed.
        detail: what was missing, for the caller's log.
    """

    reason: Reason
    retry_after_ms: int = 0
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; its ``request_id`` resolves it.

    Attributes:
        request_id: idempotency key to repeat, if the caller sent one.
        retry_after_ms: when to come back, in milliseconds.
        detail: what was lost.
    """

    request_id: RequestId | None
    retry_after_ms: int = 0
    detail: str = ''
    reason: Reason = field(default=Reason.OUTCOME_UNKNOWN)


Outcome: TypeAlias = Done[_Answer] | Refused | NotRun | Unknown


def describe(outcome: NotRun | Unknown) -> str:
    """Words an outcome for a MySQL error message.

    Args:
        outcome: a request that is not done.

    Returns:
        Text such as ``not run: queue_full; retry after 40 ms; ...``.
    """
    label = 'not run' if isinstance(outcome, NotRun) else 'unknown'
    parts = [f'{label}: {outcome.reason.name.lower()}']
    if outcome.retry_after_ms:
        parts.append(f'retry after {outcome.retry_after_ms} ms')
    if isinstance(outcome, Unknown) and outcome.request_id:
        parts.append(f'resolve by request_id {outcome.request_id}')
    if outcome.detail:
        parts.append(outcome.detail)
    return '; '.join(parts)
