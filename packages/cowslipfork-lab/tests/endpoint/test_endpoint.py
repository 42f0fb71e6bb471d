"""Contract of an endpoint as a client of the MySQL protocol sees it."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from datetime import date
from decimal import Decimal

import asyncmy
import pymysql
import pytest
from asyncmy.errors import MySQLError

from cowslipfork_lab.endpoint import EndpointServer, EndpointSettings
from cowslipfork_lab.endpoint.faults import Partition

TABLE = (
    'CREATE TABLE job (id BIGINT NOT NULL AUTO_INCREMENT PRIMARY KEY, '
    'name VARCHAR(64) NOT NULL, price DECIMAL(10,2), day DATE, raw BLOB, '
    'note TEXT, UNIQUE KEY by_name (name), KEY by_day (day)) ENGINE=InnoDB'
)


@asynccontextmanager
async def endpoint(name='a', **settings):
    server = EndpointServer(EndpointSettings(name, **settings))
    server.state.faults.connect_seconds = 0
    await server.start()
    try:
        yield server
    finally:
        await server.close()


@asynccontextmanager
async def client(server, *, control=False):
    port = server.control_port if control else server.port
    connection = await asyncmy.connect(
        host='127.0.0.1',
        port=port,
        user='test',
        autocommit=True,
    )
    try:
        yield connection
    finally:
        connection.close()


async def run(connection, sql, *parameters):
    async with connection.cursor() as cursor:
        affected = await cursor.execute(sql, parameters or None)
        rows = await cursor.fetchall()
        return rows if cursor.description else (affected, cursor.lastrowid)


async def status(connection):
    (row,) = await run(connection, 'SHOW GROUP STATUS')
    return row


async def reach(server, position, role='replica'):
    """Waits until an endpoint has applied a position in a role."""
    member = server.state.member
    while member.log.last.position != position or member.role.value != role:
        events = (member.appended.wait(), member.state_changed.wait())
        waits = [asyncio.create_task(event) for event in events]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()


async def error_of(connection, sql):
    with pytest.raises(MySQLError) as caught:
        await run(connection, sql)
    return caught.value.args[0]


async def test_answers_carry_types_and_figures():
    async with endpoint(primary='self') as server, client(server) as one:
        await run(one, TABLE)
        insert = 'INSERT INTO job (name, price, day, raw) VALUES (%s,%s,%s,%s)'
        name = 'it\'s "quoted" \\ %s'
        raw = b"\x00\xff'"
        assert await run(one, insert, name, 10.5, '2026-01-02', raw) == (1, 1)
        more = "INSERT INTO job (name) VALUES ('b'), ('c')"
        assert await run(one, more) == (2, 2)
        rows = await run(one, 'SELECT * FROM job ORDER BY id LIMIT 1')
        assert rows == (
            (1, name, Decimal('10.50'), date(2026, 1, 2), raw, None),
        )
        update = 'UPDATE job SET price = 1 WHERE id > 1'
        assert await run(one, update) == (2, 0)


async def test_pymysql_reads_the_same():
    def read(port):
        connection = pymysql.connect(host='127.0.0.1', port=port, user='t')
        with connection, connection.cursor() as cursor:
            cursor.execute("SELECT 1 AS one, 'x' AS two, NULL AS three")
            return cursor.fetchall()

    async with endpoint(primary='self') as server:
        rows = await asyncio.to_thread(read, server.port)
    assert rows == ((1, 'x', None),)


@pytest.mark.parametrize(
    ('sql', 'number'),
    [
        ("INSERT INTO job (name) VALUES ('a')", 1062),
        ('INSERT INTO job (price) VALUES (1)', 1048),
        ('SELECT * FROM missing', 1146),
        ('SELECT missing FROM job', 1054),
        ('SELEC 1', 1064),
        (TABLE, 1050),
        ('PROMOTE GROUP TERM 2', 4701),
        ('FENCE GROUP TERM 0', 4701),
        ("FOLLOW GROUP TERM 1 PRIMARY '127.0.0.1:1'", 4701),
    ],
)
async def test_error_numbers(sql, number):
    async with endpoint(primary='self') as server, client(server) as one:
        await run(one, TABLE)
        await run(one, "INSERT INTO job (name) VALUES ('a')")
        assert await error_of(one, sql) == number


@pytest.mark.parametrize(
    ('sql', 'rows'),
    [
        (
            "INSERT INTO job (name, price) VALUES ('a', 3) "
            'ON DUPLICATE KEY UPDATE price = VALUES(price) + 1',
            (('a', Decimal('4.00')),),
        ),
        (
            "INSERT IGNORE INTO job (name, price) VALUES ('a', 3)",
            (('a', Decimal('1.00')),),
        ),
        (
            "REPLACE INTO job (name, price) VALUES ('a', 5)",
            (('a', Decimal('5.00')),),
        ),
    ],
)
async def test_mysql_upserts(sql, rows):
    async with endpoint(primary='self') as server, client(server) as one:
        await run(one, TABLE)
        await run(one, "INSERT INTO job (name, price) VALUES ('a', 1)")
        await run(one, sql)
        assert await run(one, 'SELECT name, price FROM job') == rows


async def test_others_see_only_committed_data():
    async with (
        endpoint(primary='self') as server,
        client(server) as one,
        client(server) as two,
    ):
        server.state.faults.lock_wait_seconds = 0.01
        await run(one, TABLE)
        count = 'SELECT COUNT(*) FROM job'
        insert = "INSERT INTO job (name) VALUES ('a')"
        await run(one, 'BEGIN')
        await run(one, insert)
        assert await run(one, count) == ((1,),)
        assert await run(two, count) == ((0,),)
        assert await error_of(two, insert) == 1205
        await run(one, 'ROLLBACK')
        assert await run(one, count) == ((0,),)
        await run(two, 'BEGIN')
        await run(two, insert)
        await run(two, "INSERT INTO job (name) VALUES ('b')")
        before = server.state.member.log.last.position
        await run(two, 'COMMIT')
        assert server.state.member.log.last.position == before + 1
        assert await run(one, count) == ((2,),)


async def test_limits_of_connections_and_slots():
    settings = {'primary': 'self', 'slots': 1, 'connections': 2}
    async with endpoint(**settings) as server:
        async with client(server) as one, client(server) as two:
            with pytest.raises(MySQLError) as caught:
                async with client(server):
                    pass
            assert caught.value.args[0] == 1040
            server.state.take_slot()
            assert await error_of(two, 'SELECT 1') == 4702
            assert (await status(one))[1] == 'primary'
            server.state.counters.slots_used -= 1
            assert await run(two, 'SELECT 1') == ((1,),)
        counters = server.state.counters
        assert counters.connections_refused == 1
        assert counters.connections_maximum == 2
        assert counters.slots_refused == 1
        assert counters.slots_maximum == 1


async def test_bound_connection_is_refused_after_the_term_moved():
    async with (
        endpoint(primary='self') as server,
        client(server) as one,
        client(server) as two,
    ):
        await run(one, TABLE)
        await run(one, 'SET SESSION group_term = 1')
        await run(one, 'BEGIN')
        await run(one, "INSERT INTO job (name) VALUES ('a')")
        (fenced,) = await run(two, 'FENCE GROUP TERM 2')
        assert fenced[1:3] == ('fenced', 2)
        for sql in ('SELECT 1', 'COMMIT', 'SHOW GROUP STATUS'):
            assert await error_of(one, sql) == 4701
        assert await error_of(two, 'DELETE FROM job') == 1290
        await run(two, 'PROMOTE GROUP TERM 2')
        await run(two, 'PROMOTE GROUP TERM 2')
        assert await run(two, 'SELECT COUNT(*) FROM job') == ((0,),)


async def test_unbound_transaction_hears_of_its_rollback():
    async with (
        endpoint(primary='self') as server,
        client(server) as one,
        client(server) as two,
    ):
        await run(one, TABLE)
        await run(one, 'BEGIN')
        await run(one, "INSERT INTO job (name) VALUES ('a')")
        await run(two, 'FENCE GROUP TERM 2')
        assert await error_of(one, 'COMMIT') == 1213


async def test_replica_follows_and_drops_what_the_new_primary_lacks():
    async with endpoint(primary='self') as old, client(old) as to_old:
        address = f'127.0.0.1:{old.port}'
        async with endpoint('b', primary=address) as new:
            await run(to_old, TABLE)
            await run(to_old, "INSERT INTO job (name) VALUES ('kept')")
            await reach(new, 2)
            async with client(new) as to_new:
                assert await status(to_new) == ('b', 'replica', 1, 1, 2, 0)
                await run(to_new, 'FENCE GROUP TERM 2')
                await run(to_old, "INSERT INTO job (name) VALUES ('lost')")
                await run(to_new, 'PROMOTE GROUP TERM 2')
                await run(to_new, "INSERT INTO job (name) VALUES ('new')")
                follow = f"FOLLOW GROUP TERM 2 PRIMARY '127.0.0.1:{new.port}'"
                await run(to_old, follow)
                await run(to_old, follow)
                await reach(old, 3)
                names = await run(to_old, 'SELECT name FROM job ORDER BY id')
                assert names == (('kept',), ('new',))
                assert (await status(to_old))[3:5] == (2, 3)


async def test_lagging_replica_keeps_its_mark():
    async with endpoint(primary='self') as first, client(first) as one:
        address = f'127.0.0.1:{first.port}'
        async with endpoint('b', primary=address) as second:
            await reach(second, 0)
            async with client(second, control=True) as control:
                await run(control, 'SET GLOBAL lab_lag_ms = 3600000')
                await run(one, TABLE)
                assert (await status(one))[4] == 1
                async with client(second) as two:
                    assert (await status(two))[4] == 0
                    await run(control, 'SET GLOBAL lab_lag_ms = 0')
                    await reach(second, 1)


async def test_restarted_endpoint_keeps_its_journal(tmp_path):
    settings = {'primary': 'self', 'journal': str(tmp_path / 'journal')}
    async with endpoint(**settings) as server, client(server) as one:
        await run(one, TABLE)
        await run(one, "INSERT INTO job (name, raw) VALUES ('a', x'00ff')")
    async with endpoint(**settings) as server, client(server) as one:
        assert await status(one) == ('a', 'fenced', 1, 1, 2, 0)
        assert await run(one, 'SELECT raw FROM job') == ((b'\x00\xff',),)


async def test_silent_connection_never_answers_while_new_ones_work():
    async with (
        endpoint(primary='self') as server,
        client(server, control=True) as control,
        client(server) as old,
    ):
        await status(old)
        await run(control, 'SET GLOBAL lab_silent = 1')
        waiting = asyncio.create_task(run(old, TABLE))
        async with client(server) as new:
            await status(new)
            await status(new)
        assert not waiting.done()
        assert server.state.member.log.last.position == 0
        waiting.cancel()


def connect_in_vain(port):
    with pytest.raises(pymysql.OperationalError):
        pymysql.connect(host='127.0.0.1', port=port, read_timeout=0.1)


async def test_clients_that_left_during_a_cut_are_not_counted_after_it():
    async with endpoint(primary='self') as server:
        faults = server.state.faults
        faults.set_partition(Partition.CALLERS)
        vain = (
            asyncio.to_thread(connect_in_vain, server.port) for _ in range(3)
        )
        await asyncio.gather(*vain)
        faults.set_partition(Partition.NONE)
        async with client(server) as one:
            assert await run(one, 'SELECT 1') == ((1,),)
        assert server.state.counters.connections_maximum == 1


async def test_statement_reaching_a_frozen_primary_runs_after_it_wakes():
    async with (
        endpoint(primary='self') as server,
        client(server, control=True) as control,
        client(server) as one,
    ):
        await run(control, 'SET GLOBAL lab_frozen = 1')
        waiting = asyncio.create_task(run(one, TABLE))
        await run(control, 'SHOW LAB COUNTERS')
        assert not waiting.done()
        await run(control, 'SET GLOBAL lab_frozen = 0')
        await waiting
        counters = dict(await run(control, 'SHOW LAB COUNTERS'))
        assert counters['writes'] == 1
