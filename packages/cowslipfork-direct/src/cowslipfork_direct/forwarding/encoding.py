"""Statements and results as messages between nodes, and back."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Final

from cowslipfork.configuration import (
    AgeRule,
    FreshRule,
    ReadingRule,
    SessionRule,
)
from cowslipfork.outcomes import Done, NotRun, Unknown
from cowslipfork_direct.answers import Answer, DirectOutcome, Failed
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.execution import Executed
from cowslipfork_direct.forwarding.messages import (
    AgeLimit,
    DoneReply,
    FailedReply,
    ForwardedRequest,
    ForwardedRoute,
    FreshReads,
    LogValue,
    NotRunReply,
    OutcomeReply,
    Ran,
    SessionReads,
    UnknownReply,
)
from cowslipfork_direct.routes import Route
from cowslipfork_direct.work import StatementRequest

#: Seconds before a statement's deadline at which a carrier must answer, so that
#: its answer arrives in time: both ways between two failure domains take 9 ms.
TRAVEL_TIME: Final = 0.02


def forwarded(request: StatementRequest) -> ForwardedRequest:
    """Encodes a statement.

    Args:
        request: the statement.
    """
    now = asyncio.get_running_loop().time()
    return ForwardedRequest(
        request.statement,
        _forwarded_route(request.route),
        request.deadline - now - TRAVEL_TIME,
        dict(request.values),
        request.prepared,
        request.session_mark,
        request.workspace,
        request.workspace_priority,
    )


def received(request: ForwardedRequest) -> StatementRequest:
    """Decodes a statement that has just arrived.

    Args:
        request: the encoded statement.

    Returns:
        The statement with times of this node's clocks.
    """
    return StatementRequest(
        request.statement,
        _received_route(request.route),
        request.values,
        request.prepared,
        boot_time(),
        asyncio.get_running_loop().time() + request.remaining,
        request.session_mark,
        request.workspace,
        request.workspace_priority,
    )


def reply_of(executed: Executed) -> Ran:
    """Encodes the result of a statement.

    Args:
        executed: the result.
    """
    return Ran(
        _outcome_reply(executed.outcome),
        executed.mark,
        _encodable(executed.log_fields),
        executed.may_have_run,
    )


def executed_of(reply: Ran) -> Executed:
    """Decodes the result of a statement.

    Args:
        reply: the encoded result.
    """
    return Executed(
        _outcome_of(reply.outcome),
        reply.mark,
        reply.log_fields,
        reply.may_have_run,
    )


def _forwarded_route(route: Route) -> ForwardedRoute:
    return ForwardedRoute(
        route.database,
        route.group,
        _forwarded_rule(route.reads),
        route.timeout,
        route.latency_goal,
        route.priority,
        route.revision,
        route.auth_exempt,
    )


def _received_route(route: ForwardedRoute) -> Route:
    return Route(
        route.database,
        route.group,
        _received_rule(route.reads),
        route.timeout,
        route.latency_goal,
        route.priority,
        route.revision,
        route.auth_exempt,
    )


def _forwarded_rule(rule: ReadingRule) -> AgeLimit | SessionReads | FreshReads:
    match rule:
        case AgeRule(max_age):
            return AgeLimit(max_age)
        case SessionRule():
            return SessionReads()
        case FreshRule():
            return FreshReads()


def _received_rule(rule: AgeLimit | SessionReads | FreshReads) -> ReadingRule:
    match rule:
        case AgeLimit(max_age):
            return AgeRule(max_age)
        case SessionReads():
            return SessionRule()
        case FreshReads():
            return FreshRule()


def _outcome_reply(outcome: DirectOutcome) -> OutcomeReply:
    match outcome:
        case Done(answer):
            return DoneReply(answer.rows, answer.signature)
        case Failed(detail):
            return FailedReply(detail)
        case NotRun(reason, retry_after_ms, detail):
            return NotRunReply(reason, retry_after_ms, detail)
        case Unknown():
            return UnknownReply(
                outcome.reason,
                outcome.retry_after_ms,
                outcome.detail,
                outcome.request_id,
            )


def _outcome_of(reply: OutcomeReply) -> DirectOutcome:
    match reply:
        case DoneReply(rows, signature):
            return Done(Answer(rows, signature))
        case FailedReply(detail):
            return Failed(detail)
        case NotRunReply(reason, retry_after_ms, detail):
            return NotRun(reason, retry_after_ms, detail)
        case UnknownReply():
            return Unknown(
                reply.request_id,
                reply.retry_after_ms,
                reply.detail,
                reply.reason,
            )


def _encodable(fields: Mapping[str, object]) -> dict[str, LogValue]:
    return {
        name: content
        if isinstance(content, str | int | float | None)
        else str(content)
        for name, content in fields.items()
    }
