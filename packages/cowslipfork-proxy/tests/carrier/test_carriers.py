import asyncio
from types import SimpleNamespace

import pytest

from cowslipfork.ids import GroupName, TransactionId
from cowslipfork.outcomes import Done, NotRun
from cowslipfork.requests import Operation
from cowslipfork_proxy.carrier.carriers import Carriers, SupervisedCarrier

GROUP = GroupName('orders')


class FakeCarrier:
    def __init__(self):
        self.open_transactions = 0
        self.checked_out = 0
        self.closed = False
        self.release = asyncio.Event()

    async def run(self, request):
        await self.release.wait()
        return Done(not self.closed)

    def close(self):
        self.closed = True

    def has_transaction(self, transaction):
        return self.open_transactions > 0

    async def turn(self):
        await asyncio.sleep(0.02)

    async def until(self, happened):
        while not happened():
            await self.turn()


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
        lambda group: SupervisedCarrier(carrier, supervise),
        lambda: 5,
        lambda: stopped.append(GROUP),
    )
    carriers.reconcile({GROUP: 1})
    yield carriers, carrier, stopped
    carriers.close()


async def test_group_moves_once_nothing_outside_transactions_runs(carrying):
    carriers, carrier, stopped = carrying
    carrier.open_transactions = carrier.checked_out = 1
    running = asyncio.create_task(carriers.run(statement()))
    await asyncio.sleep(0)
    carriers.reconcile({})
    refused = await carriers.run(statement())
    begin = await carriers.run(statement(Operation.BEGIN, 't2'))

    assert isinstance(refused, NotRun)
    assert isinstance(begin, NotRun)
    assert carriers.held_groups == {GROUP}
    assert not stopped

    carrier.release.set()
    await carrier.until(lambda: stopped)
    assert not carriers.held_groups
    commit = await carriers.run(statement(Operation.COMMIT, 't1'))
    assert commit == await running == Done(True)
    assert not carrier.closed

    carrier.open_transactions = carrier.checked_out = 0
    await carriers.finished()
    assert carrier.closed
    assert stopped == [GROUP]


async def test_rows_still_read_keep_the_group(carrying):
    carriers, carrier, stopped = carrying
    carrier.checked_out = 1
    carriers.reconcile({})
    for _ in range(3):
        await carrier.turn()

    assert carriers.held_groups == {GROUP}
    assert not carrier.closed

    carrier.checked_out = 0
    await carriers.finished()
    assert stopped == [GROUP]
    assert carrier.closed


async def test_group_that_comes_back_goes_on_where_it_was(carrying):
    carriers, carrier, _ = carrying
    carrier.open_transactions = carrier.checked_out = 1
    carriers.reconcile({})
    await carrier.turn()
    carriers.reconcile({GROUP: 1})

    assert GROUP in carriers.by_group
    assert carriers.held_groups == {GROUP}
    assert not carrier.closed
    carrier.release.set()
    assert await carriers.run(statement()) == Done(True)
    await carriers.finished()


async def test_a_transaction_that_never_ends_is_cut_at_the_limit():
    carrier = FakeCarrier()
    carrier.open_transactions = carrier.checked_out = 1
    carriers = Carriers(
        lambda group: SupervisedCarrier(carrier, supervise),
        lambda: 0,
        lambda: None,
    )
    carriers.reconcile({GROUP: 1})
    carriers.reconcile({})
    await carriers.finished()

    assert carrier.closed


async def test_a_changed_configuration_builds_the_carrier_anew():
    made = [FakeCarrier(), FakeCarrier()]
    before, after = made
    waiting = list(made)
    carriers = Carriers(
        lambda group: SupervisedCarrier(waiting.pop(0), supervise),
        lambda: 5,
        lambda: None,
    )
    carriers.reconcile({GROUP: 1})
    before.open_transactions = before.checked_out = 1
    carriers.reconcile({GROUP: 1})
    assert carriers.by_group[GROUP] is before

    carriers.reconcile({GROUP: 2})

    assert carriers.by_group[GROUP] is after
    before.release.set()
    assert await carriers.run(statement(Operation.COMMIT, 't')) == Done(True)
    before.open_transactions = before.checked_out = 0
    await carriers.finished()
    assert before.closed
    assert not after.closed
    carriers.close()
