import asyncio

import pytest

from cowslipfork.ids import (
    EndpointId,
    GroupName,
    RequestId,
    TeamName,
    Term,
    TransactionId,
)
from cowslipfork.requests import Answer, Operation, Request
from cowslipfork_proxy.carrier._grants import Grant
from cowslipfork_proxy.carrier._jobs import JobTable, run_job
from cowslipfork_proxy.carrier._transactions import Transactions


class HangingConnection:
    """A primary that never answers a statement with a given beginning."""

    endpoint = EndpointId('a')
    term = Term(1)

    def __init__(self, hanging):
        self.hanging = hanging
        self.reached = asyncio.Event()

    async def command(self, sql, timeout):
        if sql.startswith(self.hanging):
            self.reached.set()
            await asyncio.Event().wait()
        return Answer()

    def close(self):
        """Has no socket."""


def request(operation):
    return Request(
        GroupName('orders'),
        None,
        operation,
        'INSERT INTO batches VALUES (1)',
        TeamName('t'),
        deadline=asyncio.get_running_loop().time() + 1000,
        request_id=RequestId('r') if operation is Operation.WRITE else None,
        transaction=TransactionId('x'),
    )


async def never(term, deadline):
    raise AssertionError


async def job(grant):
    await run_job(request(Operation.WRITE), grant, JobTable(), never)


def transaction_ended_by(operation):
    async def run(grant):
        transactions = Transactions(None, JobTable(), lambda: 1000)
        await transactions.begin(request(Operation.BEGIN), grant)
        await transactions.run(request(operation), None, never)

    return run


@pytest.mark.parametrize(
    ('hanging', 'run'),
    [
        ('CREATE', job),
        ('INSERT INTO batches', job),
        ('COMMIT', job),
        ('BEGIN', transaction_ended_by(Operation.COMMIT)),
        ('COMMIT', transaction_ended_by(Operation.COMMIT)),
        ('ROLLBACK', transaction_ended_by(Operation.ROLLBACK)),
    ],
)
async def test_a_cancelled_statement_gives_its_grant_back(hanging, run):
    released = []
    connection = HangingConnection(hanging)
    grant = Grant(connection, lambda: released.append(True))
    task = asyncio.ensure_future(run(grant))
    await connection.reached.wait()

    task.cancel()
    await asyncio.gather(task, return_exceptions=True)

    assert released == [True]
