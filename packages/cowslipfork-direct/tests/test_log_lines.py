"""Decision points and the line that each of them writes."""

import asyncio

import pytest
from direct_fakes.world import AGED, FRESH, run, statement, world

from cowslipfork.logs import fields_of


def lines(caplog, main):
    caplog.set_level('INFO')
    run(main())
    return [(line.getMessage(), fields_of(line)) for line in caplog.records]


async def one_write(made, database=FRESH, text='WRITE a'):
    session = await made.session(database)
    await session.run(statement(text))


def only(found, event):
    return [fields for message, fields in found if message == event]


def test_a_request_is_one_line_with_what_decided_it(caplog):
    async def main():
        async with world() as made:
            await one_write(made)
            await one_write(made, AGED, 'READ a')

    write, read = only(lines(caplog, main), 'request')
    assert write['verb'] == 'write'
    assert (write['endpoint'], write['term']) == ('e1', 1)
    assert write['proof_left_ms'] > 0
    assert (write['tries'], write['outcome']) == (1, 'done')
    assert read['max_age'] == 1.5
    assert read['floor'].startswith('1.')
    assert read['mark_age_ms'] >= 0
    assert read['revision'] == 1


def test_a_refusal_says_why(caplog):
    async def main():
        async with world() as made:
            made.servers['e1'].busy = 10_000
            await one_write(made)

    found = lines(caplog, main)
    (request,) = only(found, 'request')
    assert request['outcome'] == 'not_run_no_free_slot'
    assert only(found, 'try_failed')[0]['id'] == request['id']


@pytest.mark.parametrize(
    ('fault', 'events'),
    [
        ({'blocked': True}, ['endpoint_silent', 'primary_suspected']),
        ({'leaving': True}, ['endpoint_listed']),
    ],
)
def test_a_change_of_primary_is_told_step_by_step(caplog, fault, events):
    async def main():
        async with world(nodes=3) as made:
            vars(made.servers['e1']).update(fault)
            made.list_server(made.servers['e1'])
            await one_write(made)
            await asyncio.sleep(2)

    found = lines(caplog, main)
    for event in (
        *events,
        'takeover_posted',
        'promotion_ordered',
        'leader_changed',
        'takeover_ended',
    ):
        assert only(found, event), event


def test_a_lost_and_regained_store_is_told_once_each(caplog):
    async def main():
        async with world() as made:
            made.stores['n1'].blocked = True
            made.store.put('wake', b'')
            await asyncio.sleep(5)
            made.stores['n1'].blocked = False
            await asyncio.sleep(5)

    found = lines(caplog, main)
    assert len(only(found, 'store_lost')) == 1
    assert len(only(found, 'store_back')) == 1


def test_a_configuration_tells_whether_it_is_in_force(caplog):
    async def main():
        async with world() as made:
            made.configure(timeout=0.5)
            await asyncio.sleep(0.1)
            made.configure(revision=1)
            await asyncio.sleep(0.1)

    read = only(lines(caplog, main), 'configuration_read')
    assert [(line['revision'], line['in_force']) for line in read] == [
        (1, True),
        (2, True),
        (1, False),
    ]


def test_an_entry_that_cannot_be_read_is_told(caplog):
    async def main():
        async with world() as made:
            store_schema = made.store_schema()
            del store_schema
            made.store.put('cowslipfork/nodes/x', b'{')
            await asyncio.sleep(0.1)

    assert only(lines(caplog, main), 'node_unreadable')
