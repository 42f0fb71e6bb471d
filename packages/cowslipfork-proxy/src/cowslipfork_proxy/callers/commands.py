"""Commands of the MySQL protocol, one function each."""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import contextmanager
from types import MappingProxyType
from typing import TYPE_CHECKING, TypeAlias

from mysql_mimic import packets as library_packets
from mysql_mimic.errors import MysqlError
from mysql_mimic.types import Commands

from cowslipfork.outcomes import Done, Outcome
from cowslipfork.requests import Answer, Statement, classify
from cowslipfork_proxy.callers.failures import (
    MysqlErrorCode,
    mysql_failure,
    outcome_failure,
)
from cowslipfork_proxy.callers.local_statements import serve_locally
from cowslipfork_proxy.callers.packets import make_prepared
from cowslipfork_proxy.callers.results import (
    WriteAnswer,
    write_binary,
    write_text,
)

if TYPE_CHECKING:
    from cowslipfork_proxy.callers.connection import CallerConnection

Command: TypeAlias = Callable[['CallerConnection', bytes], Awaitable[None]]

#: What the library's readers raise on a malformed payload.
MALFORMED = (
    MysqlError,
    struct.error,
    ValueError,
    LookupError,
    OverflowError,
    TypeError,
    AssertionError,
)

#: Payload of COM_QUERY before the statement when there are no attributes.
_NO_ATTRIBUTES = b'\x00\x01'


@contextmanager
def _reading() -> Iterator[None]:
    """Turns what the readers raise into a typed failure."""
    try:
        yield
    except MALFORMED as error:
        text = f'malformed packet: {type(error).__name__}'
        raise mysql_failure(MysqlErrorCode.MALFORMED_PACKET, text) from error


async def query(connection: CallerConnection, payload: bytes) -> None:
    """Serves a text statement.

    Args:
        connection: of the caller.
        payload: of COM_QUERY.
    """
    with _reading():
        sql, attributes = _read_query(connection, payload)
    classified = classify(sql)
    if classified.is_error():
        raise mysql_failure(MysqlErrorCode.NOT_SUPPORTED, str(classified.error))
    statement: Statement = classified.ok
    await _serve(connection, sql, statement, attributes, write_text)


async def prepare(connection: CallerConnection, payload: bytes) -> None:
    """Prepares a statement.

    Args:
        connection: of the caller.
        payload: of COM_STMT_PREPARE.
    """
    with _reading():
        sql = connection.client_charset.decode(payload)
    prepared = connection.prepared.prepare(sql)
    packets = make_prepared(prepared.number, prepared.parameters)
    if prepared.parameters and not connection.deprecate_eof():
        packets.append(connection.eof())
    connection.stream.write_many(packets)
    await connection.stream.drain()


async def execute(connection: CallerConnection, payload: bytes) -> None:
    """Runs a prepared statement; a cursor is never opened.

    Args:
        connection: of the caller.
        payload: of COM_STMT_EXECUTE.
    """
    named = connection.sends_attributes
    with _reading():
        execution = connection.prepared.execution(payload, named=named)
    await _serve(
        connection,
        execution.sql,
        execution.statement,
        execution.attributes,
        write_binary,
    )


async def send_long_data(
    connection: CallerConnection,
    payload: bytes,
) -> None:
    """Keeps a part of a parameter; there is no answer.

    Args:
        connection: of the caller.
        payload: of COM_STMT_SEND_LONG_DATA.
    """
    with _reading():
        part = library_packets.parse_com_stmt_send_long_data(payload)
    connection.prepared.send_ahead(
        part.stmt_id,
        part.param_id,
        part.data,
        connection.stream.limit,
    )


async def reset_prepared(
    connection: CallerConnection,
    payload: bytes,
) -> None:
    """Drops the parameters that were sent ahead.

    Args:
        connection: of the caller.
        payload: of COM_STMT_RESET.
    """
    with _reading():
        number = library_packets.parse_com_stmt_reset(payload).stmt_id
    connection.prepared.find(number).long_data.clear()
    await connection.stream.write(connection.ok())


async def close_prepared(
    connection: CallerConnection,
    payload: bytes,
) -> None:
    """Forgets a prepared statement; there is no answer.

    Args:
        connection: of the caller.
        payload: of COM_STMT_CLOSE.
    """
    with _reading():
        number = library_packets.parse_com_stmt_close(payload).stmt_id
    connection.prepared.close(number)


async def ping(connection: CallerConnection, payload: bytes) -> None:
    """Answers that the node is there.

    Args:
        connection: of the caller.
        payload: empty.
    """
    await connection.stream.write(connection.ok())


async def init_db(connection: CallerConnection, payload: bytes) -> None:
    """Selects a database.

    Args:
        connection: of the caller.
        payload: of COM_INIT_DB.
    """
    with _reading():
        database = connection.client_charset.decode(payload)
    await connection.session.use(database)
    await connection.stream.write(connection.ok())


async def reset_connection(
    connection: CallerConnection,
    payload: bytes,
) -> None:
    """Rolls back and forgets all but login and database.

    Args:
        connection: of the caller.
        payload: empty.
    """
    await connection.session.reset()
    connection.prepared.clear()
    connection.follow_session()
    await connection.stream.write(connection.ok())


async def unknown(connection: CallerConnection, payload: bytes) -> None:
    """Refuses a command.

    Args:
        connection: of the caller.
        payload: anything.

    Raises:
        CallerFailure: always.
    """
    raise mysql_failure(
        MysqlErrorCode.UNKNOWN_COMMAND, 'this command is not supported'
    )


def _read_query(
    connection: CallerConnection,
    payload: bytes,
) -> tuple[str, Mapping[str, object]]:
    codec = connection.client_charset.codec
    if not connection.sends_attributes:
        return str(payload, codec), {}
    if payload.startswith(_NO_ATTRIBUTES):
        return str(payload[len(_NO_ATTRIBUTES) :], codec), {}
    parsed = library_packets.parse_com_query(
        capabilities=connection.capabilities,
        client_charset=connection.client_charset,
        data=payload,
    )
    return parsed.sql, parsed.query_attrs


async def _serve(
    connection: CallerConnection,
    sql: str,
    statement: Statement,
    attributes: Mapping[str, object],
    write: WriteAnswer,
) -> None:
    outcome: Outcome[Answer]
    if statement.local is None:
        outcome = await connection.session.answer(sql, statement, attributes)
    else:
        outcome = await serve_locally(connection.session, sql, statement.local)
        connection.follow_session()
    connection.follow_state()
    if not isinstance(outcome, Done):
        raise outcome_failure(outcome)
    await write(connection, outcome.answer)


COMMANDS: Mapping[int, Command] = MappingProxyType(
    {
        Commands.COM_QUERY: query,
        Commands.COM_STMT_PREPARE: prepare,
        Commands.COM_STMT_EXECUTE: execute,
        Commands.COM_STMT_SEND_LONG_DATA: send_long_data,
        Commands.COM_STMT_RESET: reset_prepared,
        Commands.COM_STMT_CLOSE: close_prepared,
        Commands.COM_PING: ping,
        Commands.COM_INIT_DB: init_db,
        Commands.COM_RESET_CONNECTION: reset_connection,
    },
)
