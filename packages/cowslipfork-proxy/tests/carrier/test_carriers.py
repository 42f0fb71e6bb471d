import asyncio
from types import SimpleNamespace

import pytest

from cowslipfork.ids import GroupName, TransactionId
from cowslipfork.outcomes import Done, NotRun
from cowslipfork.requests import Operation
from cowslipfork_proxy.carrier.carriers import Carried, Carriers

GROUP = GroupName('orders')


class FakeCarrier:
    def __init__(self):
        self.open_transactions = 0
        self.closed = False
        self.release = asyncio.Event()

    async def run(self, request):
        await self.release.wait()
        return Done(not self.closed)

    def close(self):
        self.closed = True


async def supervise():
    await asyncio.Event().wait()


def statement(operation=Operation.READ, transaction=None):
    return SimpleNamespace(
        group=GROUP,
        operation=operation,
        transaction=transaction and TransactionId(transaction),
    )


@pytest.fixture
async def carrying():
    carrier = FakeCarrier()
    stopped = []
    carriers = Carriers(
        lambda group: Carried(carrier, supervise),
        lambda: 5,
        lambda: stopped.append(GROUP),
    )
    carriers.settle([GROUP])
    yield carriers, carrier, stopped
    carriers.close()


async def test_group_moves_after_what_has_begun_is_finished(carrying):
    carriers, carrier, stopped = carrying
    carrier.open_transactions = 1
    running = asyncio.create_task(carriers.run(statement()))
    await asyncio.sleep(0)
    carriers.settle([])
    refused = await carriers.run(statement())
    begin = await carriers.run(statement(Operation.BEGIN, 't2'))
    assert isinstance(refused, NotRun)
    assert isinstance(begin, NotRun)
    assert carriers.held == {GROUP}
    carrier.release.set()
    commit = await carriers.run(statement(Operation.COMMIT, 't1'))
    assert commit == await running == Done(True)
    carrier.open_transactions = 0
    await carriers.finished()
    assert carrier.closed
    assert stopped == [GROUP]
    assert not carriers.held


async def test_group_is_not_carried_twice_while_it_finishes(carrying):
    carriers, carrier, _ = carrying
    carrier.open_transactions = 1
    carriers.settle([])
    carriers.settle([GROUP])
    assert not carriers.carried
    carrier.open_transactions = 0
    await carriers.finished()
    carriers.settle([GROUP])
    assert GROUP in carriers.carried
