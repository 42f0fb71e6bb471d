from __future__ import annotations

import asyncio
from dataclasses import replace

import pymysql
import pytest

from cowslipfork.ids import TeamName
from cowslipfork.requests import Operation
from cowslipfork_proxy.callers import connection

from .by_hand import talk_to
from .drivers import asyncmy_connection, with_connector, with_pymysql


def ask(connection, sql: str = 'SELECT a FROM t'):
    with connection.cursor() as cursor:
        cursor.execute(sql)
        return cursor.fetchall()


async def refusal(server, talk=ask, **options) -> int:
    with pytest.raises(pymysql.MySQLError) as raised:
        await with_pymysql(server, talk, **options)
    return raised.value.args[0]


DENIED = (
    ({'password': 'wrong'}, 1045),
    ({'password': ''}, 1045),
    ({'user': 'nobody'}, 1045),
    ({'user': 'nobody', 'password': ''}, 1045),
    ({'database': 'nowhere'}, 1049),
    ({'user': 'printers'}, 1044),
)


@pytest.mark.parametrize(('options', 'errno'), DENIED)
async def test_denied_callers_get_no_further(server, run, options, errno):
    assert await refusal(server, **options) == errno
    assert not run.requests
    assert not await with_pymysql(server, ask)


async def test_a_denied_caller_is_cut_off(server, run):
    reader, writer = await talk_to(server, password='wrong')
    writer.write(b'\x01\x00\x00\x00\x0e')
    assert await reader.read() == b''
    writer.close()


async def test_a_caller_that_does_not_log_in_is_cut_off(server, monkeypatch):
    monkeypatch.setattr(connection, 'LOGIN_TIMEOUT', 0.01)
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    assert b'bad handshake: TimeoutError' in await reader.read()
    writer.close()


async def test_connector_hears_that_it_is_denied(server):
    with pytest.raises(Exception, match='Access denied'):
        await with_connector(server, ask, password='wrong')


async def test_no_database_is_needed_to_connect(server):
    assert await refusal(server, database=None) == 1046

    def use(connection):
        connection.select_db('observances')
        return ask(connection)

    assert not await with_pymysql(server, use, database=None)


async def test_a_team_may_use_its_groups_only(server, run):
    def use(connection):
        connection.select_db('orders')
        ask(connection)
        return ask(connection, 'USE observances')

    assert await refusal(server, use, user='printers', database=None) == 1044
    assert [request.group for request in run.requests] == ['orders']


async def test_a_reading_team_writes_nothing(server, run):
    def write(connection):
        ask(connection)
        return ask(connection, 'SELECT a FROM t FOR UPDATE')

    assert await refusal(server, write, user='readers') == 4716
    operations = [request.operation for request in run.requests]
    assert operations == [Operation.READ]


async def test_a_new_configuration_holds_for_callers_inside(
    server,
    configuration,
):
    def talk(connection):
        ask(connection)
        teams = dict(configuration[0].teams)
        teams.pop(TeamName('editors'))
        configuration[0] = replace(configuration[0], teams=teams)
        return ask(connection)

    assert await refusal(server, talk) == 4716


async def test_callers_are_bounded(server, configuration):
    most = configuration[0].limits.callers
    async with asyncmy_connection(server):
        async with asyncmy_connection(server):
            async with asyncmy_connection(server):
                async with asyncmy_connection(server):
                    assert server.callers == most
                    assert await refusal(server) == 1040
