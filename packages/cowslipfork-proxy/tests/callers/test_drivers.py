from __future__ import annotations

import asyncio

import pymysql

from cowslipfork.ids import Mark, Position, Term
from cowslipfork.outcomes import Done
from cowslipfork.requests import Answer, Column, Operation

from .conftest import GROUP, PASSWORD


def connect(server, **options):
    return pymysql.connect(
        host='127.0.0.1',
        port=server.port,
        user='editors',
        password=PASSWORD,
        database='observances',
        **options,
    )


async def rows(batches):
    for batch in batches:
        yield batch


async def test_pymysql_reads_and_writes(server, run):
    run.answers['SELECT name FROM festivals'] = Done(
        Answer(
            columns=(Column('name', 253, 255), Column('day', 3, 63)),
            rows=rows([[('eid', '1'), (None, '2')]]),
        ),
    )
    run.answers['INSERT INTO festivals VALUES (1)'] = Done(
        Answer(
            affected_rows=3,
            last_insert_id=9,
            mark=Mark(Term(1), Position(7)),
        ),
    )

    def talk():
        connection = connect(server, autocommit=True)
        with connection, connection.cursor() as cursor:
            cursor.execute('SELECT name FROM festivals')
            read = cursor.fetchall()
            cursor.execute('INSERT INTO festivals VALUES (1)')
            return read, cursor.rowcount, cursor.lastrowid

    read, affected, inserted = await asyncio.to_thread(talk)
    assert read == (('eid', 1), (None, 2))
    assert (affected, inserted) == (3, 9)
    assert [request.operation for request in run.requests] == [
        Operation.READ,
        Operation.WRITE,
    ]
    assert run.requests[0].group == GROUP
