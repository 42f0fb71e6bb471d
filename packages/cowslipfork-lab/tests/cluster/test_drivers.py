import asyncio
from pathlib import Path

import asyncmy
import mysql.connector
import pymysql
import pytest

from cowslipfork_lab.cluster import Cluster, Plan

SAMPLE = Path(__file__).parents[4] / 'samples' / 'hilal'
LOGIN = {
    'host': '127.0.0.1',
    'user': 'secretaries',
    'password': 'secretaries-sample',
    'database': 'orders',
}
TABLE = (
    'CREATE TABLE batches (id INTEGER PRIMARY KEY AUTO_INCREMENT, '
    'name VARCHAR(80), price DECIMAL(8,2), due DATE, note TEXT)'
)
INSERT = (
    'INSERT INTO batches (name, price, due, note) '
    "VALUES ('Nauroz', 12.50, '2027-03-21', NULL)"
)
SELECT = 'SELECT name, price, due, note FROM batches ORDER BY id'


def by_pymysql(port, request_id):
    with pymysql.connect(port=port, **LOGIN) as connection:
        with connection.cursor() as cursor:
            cursor.execute("SET SESSION cowslipfork_kind = 'order_batch'")
            cursor.execute(
                f"SET SESSION cowslipfork_request_id = '{request_id}'",
            )
            affected = cursor.execute(INSERT)
            inserted = cursor.lastrowid
            cursor.execute(SELECT)
            return affected, inserted, cursor.fetchall()


def by_connector(port, request_id):
    with mysql.connector.connect(
        port=port,
        use_pure=True,
        ssl_disabled=True,
        autocommit=True,
        **LOGIN,
    ) as connection:
        cursor = connection.cursor()
        cursor.add_attribute('kind', 'order_batch')
        cursor.add_attribute('request_id', request_id)
        cursor.execute(INSERT)
        affected, inserted = cursor.rowcount, cursor.lastrowid
        cursor.clear_attributes()
        cursor.execute(SELECT)
        return affected, inserted, cursor.fetchall()


async def by_asyncmy(port, request_id):
    connection = await asyncmy.connect(port=port, autocommit=True, **LOGIN)
    async with connection.cursor() as cursor:
        await cursor.execute("SET SESSION cowslipfork_kind = 'order_batch'")
        await cursor.execute(
            f"SET SESSION cowslipfork_request_id = '{request_id}'",
        )
        affected = await cursor.execute(INSERT)
        inserted = cursor.lastrowid
        await cursor.execute(SELECT)
        rows = await cursor.fetchall()
    connection.close()
    return affected, inserted, rows


@pytest.fixture
async def cluster(tmp_path):
    plan = Plan.of_sample(SAMPLE, nodes=2, groups=('orders',))
    async with Cluster(plan, tmp_path) as running:
        yield running


async def test_three_drivers_place_one_job_through_two_nodes(cluster):
    first, second = cluster.caller_ports
    connection = await asyncmy.connect(port=first, autocommit=True, **LOGIN)
    await connection.query(TABLE)
    connection.close()

    answers = [
        await asyncio.to_thread(by_pymysql, first, 'one'),
        await asyncio.to_thread(by_connector, second, 'one'),
        await by_asyncmy(second, 'one'),
        await by_asyncmy(first, 'two'),
    ]

    figures = [answer[:2] for answer in answers]
    assert figures == [(1, 1), (1, 1), (1, 1), (1, 2)]
    rows = [list(map(_plain, answer[2])) for answer in answers]
    one = ('Nauroz', '12.50', '2027-03-21', None)
    assert rows == [[one], [one], [one], [one, one]]


def _plain(row):
    # Each driver has types of its own for the same values.
    return tuple(None if cell is None else str(cell) for cell in row)
