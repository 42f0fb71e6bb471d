from __future__ import annotations

import asyncio
import struct

import pymysql
import pytest

from cowslipfork.errors import CowslipforkError
from cowslipfork.requests import Column

from .drivers import result, with_connector, with_pymysql

QUERY, INIT_DB, PREPARE, EXECUTE, LONG, CLOSE, RESET = 3, 2, 22, 23, 24, 25, 26
CHANGE_USER, SHUTDOWN, BINLOG_DUMP = 17, 8, 18


def raw(connection, command: int, payload: bytes) -> int:
    """Sends a packet as it stands and gives the error number."""
    connection._next_seq_id = 0
    body = bytes((command,)) + payload
    head = struct.pack('<I', len(body))[:3] + b'\x00'
    connection._write_bytes(head + body)
    connection._next_seq_id = 1
    try:
        connection._read_packet()
    except pymysql.MySQLError as error:
        return error.args[0]
    return 0


def works(connection) -> bool:
    with connection.cursor() as cursor:
        cursor.execute('SELECT 1')
        return cursor.fetchall() == ((1,),)


PACKETS = (
    (QUERY, b'\xff\xfe SELECT', 1835),
    (QUERY, b'', 1235),
    (QUERY, b'SELECT 1; DELETE FROM t', 1235),
    (QUERY, b"SELECT 'open", 1235),
    (QUERY, b'SELECT /* open', 1235),
    (QUERY, b'/*!50000 DELETE FROM t */', 1235),
    (QUERY, b'FENCE GROUP TERM 99', 1235),
    (QUERY, b'PROMOTE GROUP TERM 99', 1235),
    (QUERY, b'SHOW GROUP STATUS', 1235),
    (QUERY, b'SET SESSION group_term = 99', 1193),
    (QUERY, b'SET GLOBAL autocommit = 0', 1235),
    (QUERY, b'SET NAMES klingon', 1115),
    (QUERY, b'SET autocommit = maybe', 1231),
    (QUERY, b"SET sql_mode = 'ANSI_QUOTES'", 1235),
    (QUERY, b"SET time_zone = '+05:00'", 1235),
    (QUERY, b'SET TRANSACTION ISOLATION LEVEL SERIALIZABLE', 1235),
    (QUERY, b"SET version = '1'", 1238),
    (QUERY, b'SET @a = 1', 1235),
    (QUERY, b"SET cowslipfork_request_id = 'two words'", 4700),
    (QUERY, b'SET cowslipfork_deadline_ms = -1', 4700),
    (QUERY, b"SET cowslipfork_deadline_ms = 'soon'", 4700),
    (QUERY, b"SET cowslipfork_session = 'cowslip1.AAAA'", 4700),
    (QUERY, b"SET cowslipfork_session = 'cowslip9.AAAA'", 4700),
    (QUERY, b'SELECT @@nothing', 1193),
    (QUERY, b'SELECT NO_SUCH_VARIABLE FROM', 0),
    (QUERY, b'USE nowhere', 1049),
    (QUERY, b'LOCK TABLES t WRITE', 1235),
    (QUERY, b'CREATE TEMPORARY TABLE t (a INT)', 1235),
    (QUERY, b"SELECT GET_LOCK('a', 1)", 1235),
    (QUERY, b'COMMIT AND CHAIN', 1235),
    (INIT_DB, b'nowhere', 1049),
    (INIT_DB, b'\xff', 1835),
    (PREPARE, b'SELECT 1; SELECT 2', 1235),
    (PREPARE, b'\xff', 1835),
    (EXECUTE, b'', 1835),
    (EXECUTE, b'\x07\x00\x00\x00\x00\x01\x00\x00\x00', 1243),
    (RESET, b'\x07\x00\x00\x00', 1243),
    (RESET, b'', 1835),
    (CLOSE, b'', 1835),
    (CHANGE_USER, b'editors\x00', 1047),
    (SHUTDOWN, b'', 1047),
    (BINLOG_DUMP, b'\x00', 1047),
    (255, b'', 1047),
)


@pytest.mark.parametrize(('command', 'payload', 'errno'), PACKETS)
async def test_bad_packets_are_answered(server, run, command, payload, errno):
    def talk(connection):
        return raw(connection, command, payload), works(connection)

    assert await with_pymysql(server, talk) == (errno, True)
    assert not errno or not run.requests


async def test_parameters_that_are_cut_short(server, run):
    def talk(connection):
        assert raw(connection, PREPARE, b'DELETE FROM t WHERE a = ?') == 0
        connection._read_packet()
        connection._read_packet()
        execute = b'\x01\x00\x00\x00\x00\x01\x00\x00\x00'
        endings = (b'', b'\x00', b'\x00\x00', b'\x00\x01', b'\x00\x01\xfd\x00')
        return [
            raw(connection, EXECUTE, execute + ending) for ending in endings
        ], works(connection)

    numbers, fine = await with_pymysql(server, talk)
    assert set(numbers) <= {1835, 1210}
    assert fine
    assert not run.requests


ATTRIBUTES = (
    ('kind', 'unheard'),
    ('kind', 'two words'),
    ('request_id', ''.join(['x'] * 129)),
    ('request_id', 'a\nb'),
    ('deadline_ms', 0),
    ('deadline_ms', 600_001),
    ('deadline_ms', 'soon'),
    ('deadline_ms', 1.5),
    ('session', 'cowslip1.!'),
)


@pytest.mark.parametrize(('name', 'given'), ATTRIBUTES)
async def test_bad_attributes_are_not_run(server, run, name, given):
    def talk(connection):
        with connection.cursor() as cursor:
            cursor.add_attribute(name, given)
            try:
                cursor.execute('DELETE FROM t')
            except Exception as error:
                failure = error
            cursor.clear_attributes()
            cursor.execute('DELETE FROM u')
            return failure.errno, failure.sqlstate

    assert await with_connector(server, talk) == (4700, '45N00')
    assert run.statements == ['DELETE FROM u']


async def test_a_refused_set_changes_nothing(server, run):
    def talk(connection):
        with connection.cursor() as cursor:
            with pytest.raises(pymysql.MySQLError):
                cursor.execute("SET autocommit = 0, cowslipfork_kind = 'a b'")
            cursor.execute('SELECT @@autocommit, @@cowslipfork_kind')
            return cursor.fetchall()

    assert await with_pymysql(server, talk) == ((1, None),)


async def test_a_long_statement_is_told_and_not_run(server, run):
    def talk(connection):
        with connection.cursor() as cursor:
            cursor.execute(f"DELETE FROM t WHERE a = '{'x' * 200_000}'")

    with pytest.raises(pymysql.MySQLError) as raised:
        await with_pymysql(server, talk)
    assert raised.value.args[0] == 1153
    assert not run.requests


async def test_a_broken_stream_of_rows_is_an_error(server, run):
    async def rows():
        yield [('1',)]
        raise RowsLost('the carrier is gone')

    answer = result((Column('a', 3, 63),))
    answer.answer.rows = rows()
    run.reply('SELECT a FROM t', answer)

    def talk(connection):
        with connection.cursor() as cursor:
            with pytest.raises(pymysql.MySQLError, match='carrier is gone'):
                cursor.execute('SELECT a FROM t')
        return works(connection)

    assert await with_pymysql(server, talk)


HANDSHAKES = (
    b'',
    b'\x00',
    b'\x05\x00\x00\x01short',
    b'\x05\x00\x00\x07wrong',
    b'\xff\xff\xff\x01' + bytes(100),
    b'\x28\x00\x00\x01' + b'\xff' * 40,
    b'\x2b\x00\x00\x01'
    + struct.pack('<IIB', 0x200, 1, 45)
    + bytes(23)
    + b'no end',
    b'\x22\x00\x00\x01' + bytes(34),
)


@pytest.mark.parametrize('opening', HANDSHAKES)
async def test_bad_handshakes_leave_the_node_well(server, opening, caplog):
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    await reader.readexactly(4)
    writer.write(opening)
    writer.write_eof()
    await reader.read()
    writer.close()
    assert await with_pymysql(server, works)
    assert not caplog.records


async def test_a_header_that_comes_in_pieces(server):
    def talk(connection):
        query = b'\x09\x00\x00\x00\x03SELECT 1'
        for byte in query:
            connection._sock.sendall(bytes((byte,)))
        connection._next_seq_id = 1
        connection._read_packet()
        for _ in range(4):
            connection._read_packet()
        return works(connection)

    assert await with_pymysql(server, talk)


class RowsLost(CowslipforkError):
    pass
