"""Log lines that the node writes at its decisions."""

import asyncio

import pytest
from direct_fakes.world import AGED, FRESH, run, statement, world

from cowslipfork.logs import fields_of


def logged(caplog, main):
    caplog.set_level('INFO')
    run(main())
    return [(line.getMessage(), fields_of(line)) for line in caplog.records]


async def run_statement(made, database=FRESH, text='WRITE a'):
    session = await made.session(database)
    await session.run(statement(text))


def fields_of_event(lines, event):
    return [fields for message, fields in lines if message == event]


def test_a_request_is_logged_in_one_line_with_its_details(caplog):
    async def main():
        async with world() as made:
            await run_statement(made)
            await run_statement(made, AGED, 'READ a')

    write, read = fields_of_event(logged(caplog, main), 'request')
    assert write['verb'] == 'write'
    assert (write['endpoint'], write['term']) == ('e1', 1)
    assert write['proof_left_ms'] > 0
    assert (write['tries'], write['outcome']) == (1, 'done')
    assert read['max_age'] == 1.5
    assert read['floor'].startswith('1.')
    assert read['mark_age_ms'] >= 0
    assert read['revision'] == 1


def test_a_refused_request_is_logged_with_its_reason_and_tries(caplog):
    async def main():
        async with world() as made:
            made.servers['e1'].busy = 10_000
            await run_statement(made)

    lines = logged(caplog, main)
    (request,) = fields_of_event(lines, 'request')
    assert request['outcome'] == 'not_run_no_free_slot'
    assert fields_of_event(lines, 'try_failed')[0]['id'] == request['id']


@pytest.mark.parametrize(
    ('fault', 'events'),
    [
        ({'blocked': True}, ['endpoint_silent', 'primary_suspected']),
        ({'leaving': True}, ['endpoint_listed']),
    ],
)
def test_each_step_of_a_takeover_is_logged(caplog, fault, events):
    async def main():
        async with world(nodes=3) as made:
            vars(made.servers['e1']).update(fault)
            made.list_server(made.servers['e1'])
            await run_statement(made)
            await asyncio.sleep(2)

    lines = logged(caplog, main)
    for event in (
        *events,
        'takeover_posted',
        'promotion_ordered',
        'leader_changed',
        'takeover_ended',
    ):
        assert fields_of_event(lines, event), event


def test_loss_and_return_of_the_store_are_logged_once_each(caplog):
    async def main():
        async with world() as made:
            made.stores['n1'].blocked = True
            made.store.put('wake', b'')
            await asyncio.sleep(5)
            made.stores['n1'].blocked = False
            await asyncio.sleep(5)

    lines = logged(caplog, main)
    assert len(fields_of_event(lines, 'store_lost')) == 1
    assert len(fields_of_event(lines, 'store_back')) == 1


def test_a_configuration_is_logged_with_whether_it_is_in_force(caplog):
    async def main():
        async with world() as made:
            made.configure(timeout=0.5)
            await asyncio.sleep(0.1)
            made.configure(revision=1)
            await asyncio.sleep(0.1)

    read = fields_of_event(logged(caplog, main), 'configuration_read')
    assert [(line['revision'], line['in_force']) for line in read] == [
        (1, True),
        (2, True),
        (1, False),
    ]


def test_an_entry_that_cannot_be_decoded_is_logged(caplog):
    async def main():
        async with world() as made:
            store_schema = made.store_schema()
            del store_schema
            made.store.put('cowslipfork/nodes/x', b'{')
            await asyncio.sleep(0.1)

    assert fields_of_event(logged(caplog, main), 'node_unreadable')
