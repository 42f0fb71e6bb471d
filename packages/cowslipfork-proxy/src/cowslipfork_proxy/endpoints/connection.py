"""One connection to an endpoint, bound to a term of its group."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from typing import Any, Final

import asyncmy
from asyncmy import errors as driver_errors
from asyncmy.cursors import SSCursor

from cowslipfork.configuration import Endpoint
from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import EndpointId, Term
from cowslipfork.requests import Answer, Column, Row, Rows

#: Rows handed on at once; bounds what a node holds of a large result.
ROWS_PER_BATCH: Final = 500

#: Error numbers below are the driver's own, as for a closed connection.
_FIRST_SERVER_ERROR: Final = 1000

#: Client-side error numbers of MySQL drivers: the connection is of no use.
_FIRST_CLIENT_ERROR: Final = 2000
_LAST_CLIENT_ERROR: Final = 2999

_NO_STATE: Final = 'HY000'


class ConnectionBroken(CowslipforkError):
    """A connection ended or stayed silent; a sent statement may have run."""

    def __init__(
        self,
        endpoint: EndpointId,
        cause: str,
        *,
        refused: bool = False,
    ) -> None:
        """Remembers what broke.

        Args:
            endpoint: the endpoint of the connection.
            cause: time-out or error of the driver.
            refused: whether nobody listens at the endpoint's address.
        """
        super().__init__(f'connection to endpoint {endpoint} broke: {cause}')
        self.endpoint = endpoint
        self.cause = cause
        self.refused = refused


class EndpointRefused(CowslipforkError):
    """An endpoint answered a statement with an error packet."""

    def __init__(self, endpoint: EndpointId, errno: int, text: str) -> None:
        """Remembers the error packet.

        Args:
            endpoint: who refused.
            errno: MySQL error number.
            text: message of the endpoint.
        """
        super().__init__(f'endpoint {endpoint}: error {errno}: {text}')
        self.endpoint = endpoint
        self.errno = errno
        self.text = text
        self.sqlstate = _NO_STATE


@dataclass(frozen=True, slots=True)
class Login:
    """How nodes log in to endpoints."""

    user: str = 'cowslipfork'
    password: str = ''


class EndpointConnection:
    """A connection that runs one statement at a time.

    A cancelled or timed-out statement leaves it broken; it is then closed and
    never used again.
    """

    def __init__(self, endpoint: EndpointId, raw: Any) -> None:
        """Wraps an open driver connection.

        Args:
            endpoint: who is at the other end.
            raw: connection of the driver.
        """
        self._endpoint = endpoint
        self._raw = raw
        self._term: Term | None = None
        self._usable = True

    @property
    def endpoint(self) -> EndpointId:
        """Who is at the other end."""
        return self._endpoint

    @property
    def term(self) -> Term | None:
        """Term that the connection is bound to."""
        return self._term

    @property
    def usable(self) -> bool:
        """Whether the last answer was read whole and nothing came since.

        Answers name no statement: bytes that come while none is outstanding
        would be taken for the answer to the next one.
        """
        return self._usable and not self._has_unread

    @property
    def _has_unread(self) -> bool:
        received = getattr(self._raw, '_proto', None)
        if received is None or received.length == received.pos:
            return False
        # Further results of one statement are read by the driver.
        last = self._raw._result
        return last is None or not last.has_next

    def close(self) -> None:
        """Closes the socket at once."""
        self._usable = False
        with suppress(driver_errors.Error):
            self._raw.close()

    async def bind(self, term: Term, timeout: float) -> None:
        """Binds the connection to a term, unless it is already.

        Args:
            term: term of every later statement.
            timeout: seconds.

        Raises:
            ConnectionBroken: no whole answer.
            EndpointRefused: the endpoint does not take the term.
        """
        if self._term != term:
            self._term = None
            await self.command(f'SET SESSION group_term = {term}', timeout)
            self._term = term

    async def command(self, sql: str, timeout: float) -> Answer:
        """Runs a statement without a result set.

        Args:
            sql: the statement.
            timeout: seconds.

        Returns:
            The endpoint's figures.

        Raises:
            ConnectionBroken: no whole answer.
            EndpointRefused: the endpoint answered with an error.
        """
        self._require_usable()
        async with self._guarded(timeout):
            affected = await self._raw.query(sql)
            return Answer(
                affected_rows=affected,
                last_insert_id=self._raw.insert_id(),
                endpoint=self._endpoint,
            )

    async def fetch(self, sql: str, timeout: float) -> list[Row]:
        """Runs a statement and reads its small result whole.

        Args:
            sql: the statement.
            timeout: seconds.

        Returns:
            All rows.

        Raises:
            ConnectionBroken: no whole answer.
            EndpointRefused: the endpoint answered with an error.
        """
        self._require_usable()
        async with self._guarded(timeout):
            cursor = self._raw.cursor()
            await cursor.execute(sql)
            return list(await cursor.fetchall())

    async def stream(self, sql: str, timeout: float) -> Answer:
        """Runs any statement; rows are read as the answer is consumed.

        Args:
            sql: the statement.
            timeout: seconds until the head of the answer, and then again for
                each batch of rows.

        Returns:
            The answer. The connection is free once its rows are read.

        Raises:
            ConnectionBroken: no head of an answer.
            EndpointRefused: the endpoint answered with an error.
        """
        self._require_usable()
        cursor = self._raw.cursor(SSCursor)
        first: list[Row] = []
        async with self._guarded(timeout):
            await cursor.execute(sql)
            if cursor.description is not None:
                first = list(await cursor.fetchmany(ROWS_PER_BATCH))
        if cursor.description is None:
            return Answer(
                affected_rows=cursor.rowcount,
                last_insert_id=cursor.lastrowid,
                endpoint=self._endpoint,
            )
        return Answer(
            columns=_columns(cursor),
            rows=self._remaining_rows(cursor, first, timeout),
            endpoint=self._endpoint,
        )

    async def _remaining_rows(
        self,
        cursor: Any,
        batch: list[Row],
        timeout: float,
    ) -> Rows:
        # A short batch is the last one: its end marker has been read.
        whole = False
        try:
            while True:
                if batch:
                    yield batch
                if len(batch) < ROWS_PER_BATCH:
                    break
                async with self._guarded(timeout):
                    batch = list(await cursor.fetchmany(ROWS_PER_BATCH))
            whole = True
        finally:
            if not whole:
                self.close()

    def _require_usable(self) -> None:
        """Closes the connection instead of misreading an answer.

        Raises:
            ConnectionBroken: bytes came that answer no statement.
        """
        if self._has_unread:
            self.close()
            raise ConnectionBroken(self._endpoint, 'surplus answer')

    @asynccontextmanager
    async def _guarded(self, timeout: float) -> AsyncIterator[None]:
        """Turns every failure of the driver into a typed one."""
        whole = False
        try:
            async with asyncio.timeout(timeout):
                yield
            whole = True
        except driver_errors.MySQLError as error:
            _raise_if_cancelled()
            errno, text = _error_packet(error)
            whole = _from_endpoint(errno)
            if whole:
                raise EndpointRefused(self._endpoint, errno, text) from error
            raise ConnectionBroken(self._endpoint, text) from error
        except (OSError, TimeoutError, EOFError) as broken:
            raise ConnectionBroken(
                self._endpoint,
                str(broken) or type(broken).__name__,
            ) from broken
        finally:
            if not whole:
                self.close()


async def open_connection(
    endpoint: Endpoint,
    login: Login,
    database: str,
    timeout: float,
) -> EndpointConnection:
    """Opens a connection.

    Args:
        endpoint: where to.
        login: user and password.
        database: schema to select.
        timeout: seconds for connect and login.

    Returns:
        A connection bound to no term yet.

    Raises:
        ConnectionBroken: no connection in time; nothing was sent.
        EndpointRefused: the endpoint refused the login or has no room (1040).
    """
    try:
        async with asyncio.timeout(timeout):
            raw = await asyncmy.connect(
                host=endpoint.host,
                port=endpoint.port,
                user=login.user,
                password=login.password,
                database=database,
                conv={},
                autocommit=None,
            )
    except driver_errors.MySQLError as error:
        _raise_if_cancelled()
        errno, text = _error_packet(error)
        if _from_endpoint(errno):
            raise EndpointRefused(endpoint.name, errno, text) from error
        raise ConnectionBroken(
            endpoint.name,
            text,
            refused=isinstance(error.__cause__, ConnectionError),
        ) from error
    except (OSError, TimeoutError, EOFError) as broken:
        raise ConnectionBroken(
            endpoint.name,
            str(broken) or type(broken).__name__,
        ) from broken
    return EndpointConnection(endpoint.name, raw)


def _raise_if_cancelled() -> None:
    """Restores a cancellation that was lost in the driver.

    The driver connects under ``asyncio.wait_for``, which drops a cancellation
    that comes together with a refusal; a task that repeats its connects would
    then go on for ever.

    Raises:
        CancelledError: the task is being cancelled.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError


def _from_endpoint(errno: int) -> bool:
    """Tells an error packet from a failure of the driver."""
    client_side = _FIRST_CLIENT_ERROR <= errno <= _LAST_CLIENT_ERROR
    return errno >= _FIRST_SERVER_ERROR and not client_side


def _error_packet(error: Exception) -> tuple[int, str]:
    match error.args:
        case (int(errno), str(text), *_):
            return errno, text
        case _:
            return _FIRST_CLIENT_ERROR, str(error)


def _columns(cursor: Any) -> tuple[Column, ...]:
    return tuple(
        Column(described.name, described.type_code, described.charsetnr)
        for described in cursor._result.fields
    )
