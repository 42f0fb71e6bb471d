"""Answers of an endpoint that come once more, on connections that are kept."""

import asyncio
from contextlib import asynccontextmanager, suppress
from types import SimpleNamespace

import pytest

from cowslipfork.configuration import Endpoint
from cowslipfork.ids import EndpointId, FailureDomain
from cowslipfork_lab.endpoint import EndpointServer, EndpointSettings
from cowslipfork_proxy.endpoints import (
    ConnectionBroken,
    EndpointConnection,
    Login,
    Pool,
)

TIMEOUT = 5
TERM = 1


class RepeatingPath:
    """A path to an endpoint that can send its last answer once more."""

    def __init__(self, port):
        self._port = port
        self._last = []
        self._to_client = None
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        self._to_client = writer
        from_server, to_server = await asyncio.open_connection(
            '127.0.0.1', self._port
        )
        answers = asyncio.create_task(self._pass_answers(from_server, writer))
        with suppress(OSError):
            while chunk := await reader.read(65_536):
                self._last = []
                to_server.write(chunk)
        answers.cancel()
        to_server.close()
        writer.close()

    async def _pass_answers(self, reader, writer):
        while chunk := await reader.read(65_536):
            self._last.append(chunk)
            writer.write(chunk)

    async def repeat(self):
        """Sends the last answer again, and lets it arrive."""
        self._to_client.write(b''.join(self._last))
        await asyncio.sleep(0.05)


@asynccontextmanager
async def repeating_pool():
    server = EndpointServer(EndpointSettings('a', primary='self'))
    server.state.faults.connect_seconds = 0
    await server.start()
    path = RepeatingPath(server.port)
    listener = await asyncio.start_server(path.serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    endpoint = Endpoint(
        EndpointId('a'), '127.0.0.1', port, FailureDomain('d'), 1, 1
    )
    pool = Pool(endpoint, Login(), '', limit=1)
    try:
        yield path, pool
    finally:
        pool.close()
        listener.close()
        await server.close()


async def rows_of(connection, sql):
    answer = await connection.stream(sql, TIMEOUT)
    return [row async for batch in answer.rows for row in batch]


async def test_a_second_answer_is_not_that_of_the_next_statement():
    """Guards against rows of an earlier statement on a kept connection."""
    async with repeating_pool() as (path, pool):
        connection = await pool.acquire(TERM, TIMEOUT)
        first = await rows_of(connection, 'SELECT 1')
        pool.release(connection)
        await path.repeat()
        connection = await pool.acquire(TERM, TIMEOUT)
        second = await rows_of(connection, 'SELECT 2')
        pool.release(connection)
    assert [str(row[0]) for row in (*first, *second)] == ['1', '2']
    assert path.connections == 2


async def test_a_connection_without_a_second_answer_is_kept():
    async with repeating_pool() as (path, pool):
        for _ in range(3):
            connection = await pool.acquire(TERM, TIMEOUT)
            await rows_of(connection, 'SELECT 1')
            pool.release(connection)
    assert path.connections == 1


@pytest.mark.parametrize('way', ['stream', 'fetch', 'command'])
async def test_a_second_answer_ends_a_connection_that_is_lent(way):
    """Guards against an answer of a transaction's earlier statement."""
    async with repeating_pool() as (path, pool):
        connection = await pool.acquire(TERM, TIMEOUT)
        await connection.fetch('SELECT 1', TIMEOUT)
        await path.repeat()
        with pytest.raises(ConnectionBroken, match='surplus'):
            await getattr(connection, way)('SELECT 2', TIMEOUT)
        assert not connection.usable
        pool.release(connection)


@pytest.mark.parametrize(
    ('length', 'result', 'usable'),
    [
        (9, None, True),
        (10, None, False),
        (10, SimpleNamespace(has_next=False), False),
        (10, SimpleNamespace(has_next=True), True),
    ],
)
def test_further_results_of_a_statement_are_no_surplus(length, result, usable):
    """Guards against procedures whose transaction is lost."""
    received = SimpleNamespace(length=length, pos=9)
    raw = SimpleNamespace(_proto=received, _result=result)
    assert EndpointConnection(EndpointId('a'), raw).usable is usable
