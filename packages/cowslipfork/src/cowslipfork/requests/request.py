"""A caller's statement together with all that decides how it is served."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import TypeAlias

from cowslipfork.ids import (
    GroupName,
    KindName,
    Mark,
    RequestId,
    SessionId,
    TeamName,
    TransactionId,
)
from cowslipfork.outcomes import Outcome
from cowslipfork.requests.answer import Answer


@unique
class Operation(Enum):
    """What a statement does to a group's data or to its transaction."""

    READ = 'read'
    WRITE = 'write'
    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


@dataclass(frozen=True, slots=True)
class Request:
    """One statement of one caller.

    Attributes:
        group: database group that the statement is for.
        kind: names the reading rule and class; None takes the safest rule.
        operation: classified once, at the entry node.
        sql: the statement, parameters filled in.
        team: whose limits apply.
        deadline: loop time in seconds after which nobody waits for it.
        session: session id, if the caller has one.
        marks: marks of the caller's session token, by group; None if the
            caller sent no token.
        request_id: idempotency key of a job.
        transaction: set between BEGIN and its end.
    """

    group: GroupName
    kind: KindName | None
    operation: Operation
    sql: str
    team: TeamName
    deadline: float
    session: SessionId | None = None
    marks: dict[GroupName, Mark] | None = None
    request_id: RequestId | None = None
    transaction: TransactionId | None = None


#: Serves a request to its end. Never raises for an expected failure.
RequestHandler: TypeAlias = Callable[[Request], Awaitable[Outcome[Answer]]]
