"""Group statements: status, fencing, promotion, following and the log."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.types import ColumnType

from cowslipfork.groups import EndpointRole
from cowslipfork.ids import Term
from cowslipfork_lab.endpoint.log import encode_changes

if TYPE_CHECKING:
    from cowslipfork_lab.endpoint.session import EndpointSession
    from cowslipfork_lab.endpoint.state import EndpointState

#: Longest wait of ``SHOW GROUP LOG`` for a new entry.
LOG_WAIT_SECONDS = 1.0
#: Most entries in one answer of ``SHOW GROUP LOG``.
LOG_BATCH_ENTRIES = 500
#: Longest wait of ``FOLLOW`` for the primary's log.
FOLLOW_WAIT_SECONDS = 0.5

_Handler = Callable[
    [re.Match[str], 'EndpointState', 'EndpointSession'],
    Awaitable[ResultSet],
]
_MAYBE_GROUP = re.compile(r'\bgroup(?:_term)?\b', re.IGNORECASE)


async def run_group_statement(
    sql: str,
    state: EndpointState,
    session: EndpointSession,
) -> ResultSet | None:
    """Runs a group statement.

    Args:
        sql: statement.
        state: the endpoint.
        session: the connection.

    Returns:
        Its answer; None if it is no group statement.

    Raises:
        StatementFailed: the endpoint refuses it.
    """
    if not _MAYBE_GROUP.search(sql):
        return None
    for pattern, handler in _STATEMENTS:
        match = pattern.match(sql)
        if match:
            return await handler(match, state, session)
    return None


async def _bind(
    match: re.Match[str],
    state: EndpointState,
    session: EndpointSession,
) -> ResultSet:
    session.term = int(match.group(1))
    return ResultSet([], [])


async def _status(
    _match: re.Match[str],
    state: EndpointState,
    session: EndpointSession,
) -> ResultSet:
    session.check_term()
    return status_row(state)


async def _fence(
    match: re.Match[str],
    state: EndpointState,
    session: EndpointSession,
) -> ResultSet:
    state.member.fence(Term(int(match.group(1))))
    return status_row(state)


async def _promote(
    match: re.Match[str],
    state: EndpointState,
    session: EndpointSession,
) -> ResultSet:
    state.member.promote(Term(int(match.group(1))))
    return status_row(state)


async def _follow(
    match: re.Match[str],
    state: EndpointState,
    session: EndpointSession,
) -> ResultSet:
    member = state.member
    member.follow(Term(int(match.group(1))), match.group(2))
    if member.role == EndpointRole.FENCED:
        await _wait(member.state_changed, FOLLOW_WAIT_SECONDS)
    return status_row(state)


async def _log_terms(
    _match: re.Match[str],
    state: EndpointState,
    session: EndpointSession,
) -> ResultSet:
    session.check_term()
    state.member.require(state.member.role == EndpointRole.PRIMARY)
    return _table(
        {'log_term': ColumnType.LONGLONG, 'position': ColumnType.LONGLONG},
        [[end.term, end.position] for end in state.member.log.term_ends()],
    )


async def _log_after(
    match: re.Match[str],
    state: EndpointState,
    session: EndpointSession,
) -> ResultSet:
    session.check_term()
    member = state.member
    member.require(member.role == EndpointRole.PRIMARY)
    position = int(match.group(1))
    if len(member.log.entries) <= position:
        await _wait(member.appended, LOG_WAIT_SECONDS)
        session.check_term()
    return _table(
        {
            'log_term': ColumnType.LONGLONG,
            'position': ColumnType.LONGLONG,
            'changes': ColumnType.VAR_STRING,
        },
        [
            [
                entry.mark.term,
                entry.mark.position,
                encode_changes(entry.changes),
            ]
            for entry in member.log.after(position, LOG_BATCH_ENTRIES)
        ],
    )


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return


def status_row(state: EndpointState) -> ResultSet:
    """Gives the answer to ``SHOW GROUP STATUS``."""
    status = state.member.status(leaving=state.faults.leaving)
    return _table(
        {
            'endpoint': ColumnType.VAR_STRING,
            'role': ColumnType.VAR_STRING,
            'term': ColumnType.LONGLONG,
            'log_term': ColumnType.LONGLONG,
            'position': ColumnType.LONGLONG,
            'leaving': ColumnType.LONGLONG,
        },
        [
            [
                status.endpoint,
                status.role.value,
                status.term,
                status.mark.term,
                status.mark.position,
                int(status.leaving),
            ],
        ],
    )


def _table(columns: dict[str, ColumnType], rows: list[list[Any]]) -> ResultSet:
    return ResultSet(
        rows,
        [ResultColumn(name, kind) for name, kind in columns.items()],
    )


def _pattern(text: str) -> re.Pattern[str]:
    spaced = text.replace(' ', r'\s+')
    return re.compile(rf'\s*{spaced}\s*;?\s*$', re.IGNORECASE)


_STATEMENTS: tuple[tuple[re.Pattern[str], _Handler], ...] = (
    (
        _pattern(
            r'SET (?:SESSION )?(?:@@(?:session\.)?)?group_term\s*=\s*(\d+)'
        ),
        _bind,
    ),
    (_pattern('SHOW GROUP STATUS'), _status),
    (_pattern(r'FENCE GROUP TERM (\d+)'), _fence),
    (_pattern(r'PROMOTE GROUP TERM (\d+)'), _promote),
    (_pattern(r"FOLLOW GROUP TERM (\d+) PRIMARY '([^']+)'"), _follow),
    (_pattern('SHOW GROUP LOG TERMS'), _log_terms),
    (_pattern(r'SHOW GROUP LOG AFTER (\d+)'), _log_after),
)
