import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import grpc
import pytest

from cowslipfork.ids import (
    EndpointId,
    GroupName,
    KindName,
    Mark,
    Position,
    RequestId,
    SessionId,
    TeamName,
    Term,
    TransactionId,
)
from cowslipfork.outcomes import Done, NotRun, Reason, Refused, Unknown
from cowslipfork.requests import Answer, Column, Operation, Request
from cowslipfork.wire import node_pb2_grpc
from cowslipfork_proxy.forwarding import CarrierLink, CarrierService
from cowslipfork_proxy.forwarding.link import ROW_CREDITS, RowsLost

GROUP = GroupName('orders')
SECONDS = 20


def request(operation=Operation.READ, **fields):
    deadline = asyncio.get_running_loop().time() + SECONDS
    return Request(
        GROUP,
        KindName('list'),
        operation,
        'SELECT 1',
        TeamName('readers'),
        deadline,
        **fields,
    )


@asynccontextmanager
async def linked(run):
    server = grpc.aio.server()
    node_pb2_grpc.add_CarrierServicer_to_server(CarrierService(run), server)
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    link = CarrierLink(grpc.aio.insecure_channel(f'127.0.0.1:{port}'))
    try:
        yield link, server
    finally:
        await link.close()
        await server.stop(None)


async def batches(count, size, seen=None):
    for number in range(count):
        if seen is not None:
            seen.append(number)
        yield [(str(number), None, b'\xff')] * size


@pytest.mark.parametrize(
    'outcome',
    [
        NotRun(Reason.QUEUE_FULL, 40, 'class counter'),
        Unknown(RequestId('r1'), 50, 'lost'),
        Refused(1062, '23000', 'Duplicate entry'),
    ],
)
async def test_outcomes_travel_whole(outcome):
    async def run(asked):
        return outcome

    async with linked(run) as (link, _):
        assert await link.run(request()) == outcome
        assert link.in_flight == 0


async def test_a_request_travels_whole():
    seen = []

    async def run(asked):
        seen.append(asked)
        return Done(
            Answer(
                affected_rows=3,
                last_insert_id=2**63,
                mark=Mark(Term(2), Position(9)),
                endpoint=EndpointId('a'),
            ),
        )

    sent = request(
        Operation.WRITE,
        session=SessionId('s'),
        marks={GROUP: Mark(Term(1), Position(7))},
        request_id=RequestId('r'),
        transaction=TransactionId('t'),
    )
    async with linked(run) as (link, _):
        answer = (await link.run(sent)).answer

    received = seen[0]
    assert replace(received, deadline=sent.deadline) == sent
    assert answer.affected_rows == 3
    assert answer.last_insert_id == 2**63
    assert answer.mark == Mark(Term(2), Position(9))
    assert answer.endpoint == 'a'


async def test_rows_stream_within_credits_and_come_whole():
    made = []

    async def run(asked):
        columns = tuple(Column(name, 253, 45) for name in 'abc')
        return Done(Answer(columns=columns, rows=batches(50, 3, made)))

    async with linked(run) as (link, _):
        answer = (await link.run(request())).answer
        first = await anext(answer.rows)
        await asyncio.sleep(0.05)
        # One batch is held back to mark the last one.
        assert len(made) <= ROW_CREDITS + 3
        rows = first + [row async for batch in answer.rows for row in batch]

    assert len(rows) == 150
    assert rows[-1] == (b'49', None, b'\xff')


async def test_a_reader_that_stops_early_frees_the_carrier():
    closed = asyncio.Event()

    async def endless():
        try:
            while True:
                yield [('x',)]
        finally:
            closed.set()

    async def run(asked):
        return Done(Answer(columns=(Column('a', 253, 45),), rows=endless()))

    async with linked(run) as (link, _):
        answer = (await link.run(request())).answer
        await anext(answer.rows)
        await answer.rows.aclose()
        await asyncio.wait_for(closed.wait(), SECONDS)


async def test_rows_lost_half_way_are_not_a_short_answer():
    async def breaking():
        yield [('x',)]
        yield [('y',)]
        raise RowsLost('endpoint a')

    async def run(asked):
        return Done(Answer(columns=(Column('a', 253, 45),), rows=breaking()))

    async with linked(run) as (link, _):
        answer = (await link.run(request())).answer
        with pytest.raises(RowsLost):
            async for _ in answer.rows:
                pass


@pytest.mark.parametrize(
    ('operation', 'expected'),
    [
        (Operation.READ, NotRun),
        (Operation.BEGIN, NotRun),
        (Operation.WRITE, Unknown),
        (Operation.COMMIT, Unknown),
    ],
)
async def test_carrier_dies_with_a_statement(operation, expected):
    reached = asyncio.Event()

    async def run(asked):
        reached.set()
        await asyncio.Event().wait()

    async with linked(run) as (link, server):
        running = asyncio.ensure_future(link.run(request(operation)))
        await reached.wait()
        await server.stop(None)
        assert isinstance(await running, expected)


@pytest.mark.parametrize('operation', list(Operation))
async def test_no_carrier_is_not_run_whatever_was_asked(operation):
    async def run(asked):
        raise AssertionError

    async with linked(run) as (link, server):
        await server.stop(None)
        outcome = await link.run(request(operation))

    assert outcome.reason is Reason.NO_CARRIER
    assert isinstance(outcome, NotRun)


async def test_answers_out_of_order_reach_their_own_callers():
    gates = [asyncio.Event() for _ in range(20)]

    async def run(asked):
        number = int(asked.session)
        await gates[number].wait()
        return Done(Answer(affected_rows=number))

    async with linked(run) as (link, _):
        tasks = [
            asyncio.ensure_future(link.run(request(session=str(number))))
            for number in range(20)
        ]
        for gate in reversed(gates):
            gate.set()
        outcomes = await asyncio.gather(*tasks)

    assert [item.answer.affected_rows for item in outcomes] == list(range(20))


async def test_an_entry_that_dies_leaves_no_transaction_behind():
    seen = []
    rolled_back = asyncio.Event()

    async def run(asked):
        seen.append((asked.transaction, asked.operation))
        if asked.operation is Operation.ROLLBACK:
            rolled_back.set()
        return Done(Answer())

    async with linked(run) as (link, _):
        for name, operation in (
            ('open', Operation.BEGIN),
            ('ended', Operation.BEGIN),
            ('ended', Operation.COMMIT),
        ):
            asked = request(operation, transaction=TransactionId(name))
            await link.run(asked)
        await link.close()
        await asyncio.wait_for(rolled_back.wait(), SECONDS)

    assert seen[-1] == ('open', Operation.ROLLBACK)
    assert ('ended', Operation.ROLLBACK) not in seen
