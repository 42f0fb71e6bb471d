from __future__ import annotations

import asyncio

import pytest

from cowslipfork.requests import Column

from .drivers import asyncmy_connection, result

COLUMNS = (Column('a', 3, 63),)


def hold(run, sql: str) -> tuple[asyncio.Event, asyncio.Event]:
    """Makes a statement wait; gives events of its start and its release."""
    started, released = asyncio.Event(), asyncio.Event()

    async def wait(request):
        started.set()
        await released.wait()

    run.waits[sql] = wait
    run.reply(sql, result(COLUMNS, [('1',)], [('2',)]))
    return started, released


async def test_a_request_in_flight_is_finished_whole(server, run):
    started, released = hold(run, 'SELECT a FROM t')
    async with asyncmy_connection(server) as connection:
        cursor = connection.cursor()
        query = asyncio.ensure_future(cursor.execute('SELECT a FROM t'))
        await started.wait()
        drain = asyncio.ensure_future(server.drain())
        await asyncio.sleep(0)
        released.set()
        await query
        assert await cursor.fetchall() == ((1,), (2,))
        # The driver may have seen the end of the connection already.
        with pytest.raises(Exception, match='.') as raised:
            await cursor.execute('SELECT b FROM t')
        assert raised.value.args[0] in {4710, 2006}
        await drain
    assert run.statements == ['SELECT a FROM t']


async def test_a_caller_accepted_as_draining_began_is_answered(
    server,
    run,
    monkeypatch,
):
    """Guards against an end that forgets a caller who came meanwhile."""
    started, released = hold(run, 'SELECT a FROM t')
    later_started, later_released = hold(run, 'SELECT b FROM t')
    # The connection is open before the listening socket closes.
    monkeypatch.setattr(server, '_stop_accepting', lambda: None)
    async with asyncmy_connection(server) as connection:
        query = asyncio.ensure_future(
            connection.cursor().execute('SELECT a FROM t')
        )
        await started.wait()
        drain = asyncio.ensure_future(server.drain())
        await asyncio.sleep(0)
        async with asyncmy_connection(server) as later:
            cursor = later.cursor()
            later_query = asyncio.ensure_future(
                cursor.execute('SELECT b FROM t')
            )
            await later_started.wait()
            released.set()
            await query
            await asyncio.sleep(0.05)
            assert not drain.done()
            later_released.set()
            await later_query
            assert await cursor.fetchall() == ((1,), (2,))
            # The driver may have seen the end of the connection already.
            with pytest.raises(Exception, match='.') as raised:
                await cursor.execute('SELECT c FROM t')
            assert raised.value.args[0] in {4710, 2006}
        await drain


async def test_draining_waits_for_a_connection_that_is_not_served_yet(server):
    """Guards against an end between accepting a caller and serving it."""
    server._make_protocol()
    drain = asyncio.ensure_future(server.drain())
    await asyncio.sleep(0.05)
    assert not drain.done()
    drain.cancel()


async def test_an_idle_caller_reads_that_its_statement_was_not_run(
    server,
    run,
):
    async with asyncmy_connection(server) as connection:
        drain = asyncio.ensure_future(server.drain())
        await asyncio.sleep(0)
        with pytest.raises(Exception, match='not run: draining') as raised:
            await connection.cursor().execute('DELETE FROM t')
        assert raised.value.args[0] == 4710
        await drain
    assert not run.requests


async def test_a_transaction_may_end(server, run):
    async with asyncmy_connection(server) as connection:
        await connection.begin()
        drain = asyncio.ensure_future(server.drain())
        await asyncio.sleep(0)
        await connection.cursor().execute('DELETE FROM t')
        await connection.commit()
        await drain
    assert run.statements == ['BEGIN', 'DELETE FROM t', 'COMMIT']


async def test_no_new_callers_while_draining(server):
    port = server.port
    await server.drain()
    with pytest.raises(OSError, match='.'):
        await asyncio.open_connection('127.0.0.1', port)


async def test_close_is_quiet_and_rolls_back(server, run, caplog):
    started, _ = hold(run, 'SELECT a FROM t')
    async with asyncmy_connection(server) as connection:
        await connection.begin()
        cursor = connection.cursor()
        query = asyncio.ensure_future(cursor.execute('SELECT a FROM t'))
        await started.wait()
        await server.close()
        with pytest.raises(Exception, match='.'):
            await query
    assert not server.callers
    assert run.statements == ['BEGIN', 'SELECT a FROM t', 'ROLLBACK']
    assert not caplog.records
