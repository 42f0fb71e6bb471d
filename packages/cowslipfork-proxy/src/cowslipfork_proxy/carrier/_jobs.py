"""Jobs: writes recorded once under their ``request_id``.

The id is inserted in the job's own transaction, before the job, so that a
repeat finds it or waits for the transaction that holds it.
"""

from __future__ import annotations

from typing import Final

import xxhash

from cowslipfork.ids import Term
from cowslipfork.outcomes import NotRun, Outcome, Reason, Refused, Unknown
from cowslipfork.requests import Answer, Cell, Request
from cowslipfork_proxy.carrier._grants import RECONNECT_MS, Grant
from cowslipfork_proxy.carrier._writes import (
    Acknowledge,
    confirmed,
    refusal,
    remaining,
)
from cowslipfork_proxy.endpoints import (
    ConnectionBroken,
    EndpointConnection,
    EndpointRefused,
)

_DUPLICATE: Final = 1062
_LOCK_WAIT: Final = 1205
_DEADLOCK: Final = 1213

#: Digested in place of the statements that follow a BEGIN.
WHOLE_TRANSACTION: Final = 'transaction'

_CREATE: Final = (
    'CREATE TABLE IF NOT EXISTS cowslipfork_requests ('
    'request_id VARCHAR(255) NOT NULL PRIMARY KEY, '
    'digest CHAR(16) NOT NULL, '
    'affected_rows BIGINT NOT NULL, '
    'last_insert_id BIGINT NOT NULL)'
)


class JobTable:
    """Knows in which term the table of request ids was seen to exist."""

    def __init__(self) -> None:
        """Knows nothing yet."""
        self._ready: Term | None = None

    async def ensure(
        self,
        connection: EndpointConnection,
        timeout: float,
    ) -> None:
        """Creates the table unless it was seen in this term.

        Args:
            connection: of the primary.
            timeout: seconds.

        Raises:
            ConnectionBroken: no answer.
            EndpointRefused: the endpoint refused.
        """
        if self._ready != connection.term:
            await connection.command(_CREATE, timeout)
            self._ready = connection.term


async def run_job(
    request: Request,
    grant: Grant,
    table: JobTable,
    acknowledge: Acknowledge,
) -> Outcome[Answer]:
    """Runs a job, or answers its repeat with what was recorded.

    Args:
        request: the job, with its ``request_id``.
        grant: of the primary; released before the acknowledgement.
        table: the table of request ids.
        acknowledge: waits until the job is majority-held.

    Returns:
        The job's own outcome, also for a repeat.
    """
    try:
        result = await _attempt(request, grant.connection, table)
    finally:
        grant.release()
    if not isinstance(result, Answer):
        return result
    # Also a repeat waits: the first attempt may have committed without
    # reaching a majority yet.
    return await confirmed(request, result, grant, acknowledge)


async def _attempt(
    request: Request,
    connection: EndpointConnection,
    table: JobTable,
) -> Answer | NotRun | Refused | Unknown:
    """Commits the job, or finds it recorded."""
    try:
        await table.ensure(connection, remaining(request))
        found = await begin_recorded(request, connection, request.sql)
        if found is not None:
            return found
        answer = await _work(request, connection)
    except EndpointRefused as refused:
        await _roll_back(request, connection)
        return _judge(request, refused)
    except ConnectionBroken as broken:
        # COMMIT was not sent: the endpoint rolls the transaction back.
        return NotRun(Reason.CONNECTION_LOST, RECONNECT_MS, broken.cause)
    return await commit(request, connection, answer)


async def commit(
    request: Request,
    connection: EndpointConnection,
    answer: Answer,
) -> Answer | NotRun | Refused | Unknown:
    """Commits a transaction of the primary.

    Args:
        request: whose deadline and id count.
        connection: of the primary.
        answer: what to answer once committed.

    Returns:
        The answer; otherwise what is known of the transaction.
    """
    try:
        await connection.command('COMMIT', remaining(request))
    except EndpointRefused as refused:
        return refusal(refused)
    except ConnectionBroken as broken:
        return Unknown(request.request_id, RECONNECT_MS, broken.cause)
    return answer


async def _roll_back(
    request: Request,
    connection: EndpointConnection,
) -> None:
    try:
        await connection.command('ROLLBACK', remaining(request))
    except (EndpointRefused, ConnectionBroken):
        connection.close()


async def begin_recorded(
    request: Request,
    connection: EndpointConnection,
    digested: str,
) -> Answer | NotRun | None:
    """Opens a transaction that holds the ``request_id``.

    Args:
        request: whose id it is.
        connection: of the primary.
        digested: text that a repeat has to send again.

    Returns:
        None if the id is new; the recorded figures of a job with this id; not
        run if the id was used for another text. With an answer or a refusal
        the transaction is rolled back.

    Raises:
        ConnectionBroken: no answer.
        EndpointRefused: the endpoint refused, as when the id is locked.
    """
    digest = xxhash.xxh64_hexdigest(digested.encode())
    name = _literal(f'{request.team}:{request.request_id}')
    await connection.command('BEGIN', remaining(request))
    try:
        await connection.command(
            'INSERT INTO cowslipfork_requests '
            '(request_id, digest, affected_rows, last_insert_id) '
            f"VALUES ({name}, '{digest}', 0, 0)",
            remaining(request),
        )
    except EndpointRefused as refused:
        if refused.errno != _DUPLICATE:
            raise
    else:
        return None
    rows = await connection.fetch(
        'SELECT digest, affected_rows, last_insert_id '
        f'FROM cowslipfork_requests WHERE request_id = {name}',
        remaining(request),
    )
    await connection.command('ROLLBACK', remaining(request))
    recorded, affected, inserted = map(_text, rows[0])
    if recorded != digest:
        return NotRun(
            Reason.REQUEST_ID_REUSED,
            detail=f'request_id {request.request_id} names another statement',
        )
    return Answer(
        affected_rows=int(affected),
        last_insert_id=int(inserted),
        endpoint=connection.endpoint,
    )


async def _work(
    request: Request,
    connection: EndpointConnection,
) -> Answer:
    answer = await connection.command(request.sql, remaining(request))
    name = _literal(f'{request.team}:{request.request_id}')
    await connection.command(
        'UPDATE cowslipfork_requests '
        f'SET affected_rows = {answer.affected_rows}, '
        f'last_insert_id = {answer.last_insert_id} '
        f'WHERE request_id = {name}',
        remaining(request),
    )
    return answer


def _judge(
    request: Request,
    refused: EndpointRefused,
) -> NotRun | Refused | Unknown:
    if refused.errno in {_LOCK_WAIT, _DEADLOCK}:
        # An earlier attempt may hold the id and commit yet.
        return Unknown(request.request_id, RECONNECT_MS, refused.text)
    return refusal(refused)


def _literal(text: str) -> str:
    escaped = text.replace('\\', r'\\').replace("'", "''")
    return f"'{escaped}'"


def _text(cell: Cell) -> str:
    if isinstance(cell, bytes):
        return cell.decode()
    return cell or ''
