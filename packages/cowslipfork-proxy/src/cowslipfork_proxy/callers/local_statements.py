"""Statements that the entry node serves itself: SET, USE, SHOW, SELECT @@."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import TypeAlias

from cowslipfork.outcomes import Done, Outcome
from cowslipfork.requests import (
    Answer,
    LocalStatement,
    Operation,
    parse_assignments,
)
from cowslipfork.requests.shape import without_comments
from cowslipfork_proxy.callers.failures import MysqlErrorCode, mysql_failure
from cowslipfork_proxy.callers.local_answers import (
    select_locally,
    show_locally,
)
from cowslipfork_proxy.callers.session import CallerSession
from cowslipfork_proxy.callers.variables import SESSION_TOKEN, Setting

_Serve: TypeAlias = Callable[
    [CallerSession, str],
    Awaitable[Outcome[Answer]],
]

_USE = re.compile(r'use\s+(`(?:[^`]|``)+`|[\w$-]+)\s*;?\s*', re.IGNORECASE)
_IDENTITY = frozenset(('last_insert_id', 'identity'))
_USERS = frozenset(('user', 'current_user', 'session_user', 'system_user'))


async def serve_locally(
    session: CallerSession,
    sql: str,
    local: LocalStatement,
) -> Outcome[Answer]:
    """Serves a statement without the group.

    Args:
        session: of the caller.
        sql: the statement.
        local: which kind of statement.

    Returns:
        Its answer; SET autocommit may commit, which may fail.

    Raises:
        CallerFailure: the statement can't be served.
    """
    return await _SERVED[local](session, sql)


async def _set(session: CallerSession, sql: str) -> Outcome[Answer]:
    parsed = parse_assignments(sql)
    if parsed.is_error():
        raise mysql_failure(MysqlErrorCode.NOT_SUPPORTED, str(parsed.error))
    before = session.autocommit
    with session.variables.all_or_nothing():
        for assignment in parsed.ok:
            session.variables.assign(assignment)
        session.preset()
    if session.autocommit and not before and session.in_transaction:
        return await session.end_transaction(Operation.COMMIT)
    return Done(Answer())


async def _use(session: CallerSession, sql: str) -> Outcome[Answer]:
    found = _USE.fullmatch(without_comments(sql))
    if found is None:
        raise mysql_failure(MysqlErrorCode.NOT_SUPPORTED, f"can't read {sql}")
    await session.use(found.group(1).strip('`').replace('``', '`'))
    return Done(Answer())


async def _show(session: CallerSession, sql: str) -> Outcome[Answer]:
    return Done(show_locally(sql, session.variables.settings()))


async def _select(session: CallerSession, sql: str) -> Outcome[Answer]:
    def lookup(name: str) -> Setting:
        return _value(session, name)

    return Done(select_locally(sql, lookup))


def _value(session: CallerSession, name: str) -> Setting:
    if name == SESSION_TOKEN:
        return session.token()
    if name in {'database', 'schema'}:
        return session.database
    if name in _USERS:
        return f'{session.username}@%'
    if name in _IDENTITY:
        return session.last_insert_id
    if name == 'connection_id':
        return session.connection_id
    return session.variables.value_of(name)


_SERVED: Mapping[LocalStatement, _Serve] = MappingProxyType(
    {
        LocalStatement.SET: _set,
        LocalStatement.USE: _use,
        LocalStatement.SHOW: _show,
        LocalStatement.SELECT: _select,
    },
)
