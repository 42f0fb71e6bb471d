"""Messages with which statements are forwarded to another node.

Times are durations, since the clocks of nodes differ. Unknown fields are
ignored and new fields have defaults, so that nodes of different versions
understand each other.
"""

from __future__ import annotations

import msgspec

from cowslipfork.ids import (
    GroupName,
    Mark,
    RequestId,
    Revision,
    TransactionId,
    WorkspaceName,
)
from cowslipfork.outcomes import Reason
from cowslipfork_direct.peers import PeerReply, PeerRequest
from cowslipfork_direct.routes import DatabaseName
from cowslipfork_direct.statements import Prepared, Statement

#: Value of a detail for the log.
LogValue = str | int | float | bool | None


class AgeLimit(msgspec.Struct, frozen=True, tag='age'):
    """``AgeRule`` of a route.

    Attributes:
        max_age: seconds.
    """

    max_age: float


class SessionReads(msgspec.Struct, frozen=True, tag='session'):
    """``SessionRule`` of a route."""


class FreshReads(msgspec.Struct, frozen=True, tag='fresh'):
    """``FreshRule`` of a route."""


class ForwardedRoute(msgspec.Struct, frozen=True, omit_defaults=True):
    """A route as the entry node's configuration has it; see ``Route``."""

    database: DatabaseName
    group: GroupName
    reads: AgeLimit | SessionReads | FreshReads
    timeout: float
    latency_goal: float
    priority: int
    revision: Revision
    auth_exempt: bool = False


class ForwardedRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A statement to execute; see ``StatementRequest``.

    Attributes:
        statement: the caller's statement.
        route: route of its database.
        remaining: seconds until it must be answered.
        values: the caller's session values.
        prepared: definition of the statement that EXECUTE runs.
        session_mark: highest mark of the session's writes.
        workspace: workspace of the caller.
        workspace_priority: priority of that workspace.
    """

    statement: Statement
    route: ForwardedRoute
    remaining: float
    values: dict[str, str] = {}
    prepared: Prepared | None = None
    session_mark: Mark | None = None
    workspace: WorkspaceName | None = None
    workspace_priority: int = 0


class RunSingle(PeerRequest, frozen=True):
    """Asks to run a statement outside of a transaction.

    Attributes:
        request: the statement.
    """

    request: ForwardedRequest


class RunInTransaction(PeerRequest, frozen=True):
    """Asks to run a statement or COMMIT of a transaction.

    Attributes:
        transaction: identifier, unique on its link.
        begins: whether this is the first statement of the transaction. The
            receiver refuses later ones of a transaction that it has ended.
        read_only: whether the transaction must not write.
        request: the statement.
    """

    transaction: TransactionId
    begins: bool
    read_only: bool
    request: ForwardedRequest


class EndTransaction(PeerRequest, frozen=True):
    """Asks to roll a transaction back; nobody waits for the reply.

    Attributes:
        transaction: identifier on this link.
    """

    transaction: TransactionId


class DoneReply(msgspec.Struct, frozen=True, tag='done', omit_defaults=True):
    """The outcome ``Done``; see ``Answer``."""

    rows: tuple[str, ...] = ()
    signature: str | None = None


class FailedReply(msgspec.Struct, frozen=True, tag='failed'):
    """The outcome ``Failed``."""

    detail: str


class NotRunReply(msgspec.Struct, frozen=True, tag='not_run'):
    """The outcome ``NotRun``."""

    reason: Reason
    retry_after_ms: int = 0
    detail: str = ''


class UnknownReply(msgspec.Struct, frozen=True, tag='unknown'):
    """The outcome ``Unknown``."""

    reason: Reason
    retry_after_ms: int = 0
    detail: str = ''
    request_id: RequestId | None = None


OutcomeReply = DoneReply | FailedReply | NotRunReply | UnknownReply


class Ran(PeerReply, frozen=True, omit_defaults=True):
    """Reply to ``RunSingle`` and ``RunInTransaction``; see ``Executed``.

    Attributes:
        outcome: outcome for the caller.
        mark: mark of a completed write or COMMIT.
        log_fields: details for the statement's line in the log.
        may_have_run: whether an endpoint may have run the statement of a
            transaction that was lost.
    """

    outcome: OutcomeReply
    mark: Mark | None = None
    log_fields: dict[str, LogValue] = {}
    may_have_run: bool = False
