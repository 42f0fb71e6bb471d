from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import asynccontextmanager, closing

import asyncmy
import mysql.connector
import pymysql

from cowslipfork.outcomes import Done
from cowslipfork.requests import Answer, Column, Row

from .conftest import PASSWORD


def login(server, user: str = 'editors') -> dict[str, object]:
    return {
        'host': '127.0.0.1',
        'port': server.port,
        'user': user,
        'password': PASSWORD,
        'database': 'observances',
    }


async def with_pymysql(server, talk: Callable, **options):
    """Runs a conversation in a thread of its own."""

    def converse():
        given = {'autocommit': True, **login(server), **options}
        with closing(pymysql.connect(**given)) as connection:
            return talk(connection)

    return await asyncio.to_thread(converse)


async def with_connector(server, talk: Callable, **options):
    def converse():
        given = {'use_pure': True, 'autocommit': True}
        given |= login(server) | options
        with closing(mysql.connector.connect(**given)) as connection:
            return talk(connection)

    return await asyncio.to_thread(converse)


@asynccontextmanager
async def asyncmy_connection(server, **options):
    given = {'autocommit': True, **login(server), **options}
    connection = await asyncmy.connect(**given)
    try:
        yield connection
    finally:
        connection.close()


def result(columns: tuple[Column, ...], *batches: list[Row]) -> Done[Answer]:
    async def rows():
        for batch in batches:
            yield batch

    return Done(Answer(columns=columns, rows=rows()))
