from __future__ import annotations

import pytest

from cowslipfork.ids import Mark, Position, Term
from cowslipfork.outcomes import Done
from cowslipfork.requests import Answer

from .conftest import GROUP
from .drivers import with_pymysql


def rows(connection, sql: str):
    with connection.cursor() as cursor:
        cursor.execute(sql)
        return cursor.fetchall()


LOCAL = (
    ('SELECT 1', ((1,),)),
    ("SELECT 'it''s \\'fine\\'' AS a, 7 b", (("it's 'fine'", 7),)),
    ('SELECT DATABASE(), USER()', (('observances', 'editors@%'),)),
    ('SELECT VERSION()', (('8.0.29-cowslipfork',),)),
    ('select @@version_comment limit 1', (('cowslipfork',),)),
    (
        'SELECT @@session.autocommit AS a, @@tx_isolation FROM DUAL',
        ((1, 'REPEATABLE-READ'),),
    ),
    ("SHOW VARIABLES LIKE 'autoc%'", (('autocommit', 'ON'),)),
    ('SHOW WARNINGS', ()),
    ('SHOW COUNT(*) WARNINGS', ((0,),)),
    ("SHOW SESSION STATUS LIKE 'Ssl_cipher'", ()),
    ('/* driver */ SELECT @@max_allowed_packet;', ((1048576,),)),
)


@pytest.mark.parametrize(('sql', 'expected'), LOCAL)
async def test_local_statements(server, run, sql, expected):
    found = await with_pymysql(server, lambda opened: rows(opened, sql))
    assert found == expected
    assert not run.requests


async def test_show_variables_where_gives_at_least_those(server):
    sql = "SHOW VARIABLES WHERE Variable_name = 'a' OR Variable_name = 'b'"
    found = await with_pymysql(server, lambda opened: rows(opened, sql))
    assert ('autocommit', 'ON') in found


SETTINGS = (
    "SET sql_mode = 'STRICT_TRANS_TABLES'",
    'SET NAMES utf8mb3',
    'SET CHARACTER SET latin1',
    'SET SESSION TRANSACTION ISOLATION LEVEL READ COMMITTED',
    'SET @@session.wait_timeout = 100, time_zone = "+00:00"',
    'SET foreign_key_checks = 1, sql_select_limit = DEFAULT',
)


@pytest.mark.parametrize('sql', SETTINGS)
async def test_settings_that_drivers_send(server, run, sql):
    await with_pymysql(server, lambda opened: rows(opened, sql))
    assert not run.requests


async def test_variables_are_attributes_until_set_again(server, run):
    def talk(connection):
        rows(
            connection,
            "SET cowslipfork_kind = 'festivals', cowslipfork_deadline_ms = 50",
        )
        rows(connection, 'SELECT a FROM t')
        rows(connection, 'SET cowslipfork_kind = DEFAULT')
        rows(connection, 'SELECT a FROM t')

    await with_pymysql(server, talk)
    first, second = run.requests
    assert (first.kind, second.kind) == ('festivals', None)


async def test_a_token_carries_what_a_session_wrote(server, run):
    mark = Mark(Term(2), Position(9))
    run.reply('DELETE FROM t', Done(Answer(affected_rows=1, mark=mark)))

    def write(connection):
        rows(connection, 'DELETE FROM t')
        return rows(connection, 'SELECT @@cowslipfork_session_token')

    ((token,),) = await with_pymysql(server, write)

    def read(connection):
        rows(connection, f"SET cowslipfork_session = '{token}'")
        rows(connection, 'SELECT a FROM t')
        return rows(connection, 'SELECT @@cowslipfork_session_token')

    ((again,),) = await with_pymysql(server, read)
    assert again == token
    assert run.requests[-1].marks == {GROUP: mark}
    assert run.requests[-1].session is None


async def test_reset_forgets_the_session(server, run):
    mark = Mark(Term(2), Position(9))
    run.reply('DELETE FROM t', Done(Answer(mark=mark)))

    def talk(connection):
        rows(connection, 'DELETE FROM t')
        rows(connection, "SET cowslipfork_kind = 'festivals'")
        rows(connection, 'BEGIN')
        connection._execute_command(31, b'')
        connection._read_ok_packet()
        rows(connection, 'SELECT a FROM t')

    await with_pymysql(server, talk)
    last = run.requests[-1]
    assert run.statements[-2:] == ['ROLLBACK', 'SELECT a FROM t']
    assert (last.kind, last.marks, last.transaction) == (None, {}, None)
