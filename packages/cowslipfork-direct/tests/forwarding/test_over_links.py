"""Forwarding over peer links, on a network of streams in memory."""

import asyncio

import pytest
from direct_fakes.linked_nodes import DELAY, run_linked
from direct_fakes.peers import now, request

from cowslipfork.outcomes import Done, NotRun, Reason, Unknown


def test_a_statement_takes_one_round_trip_more():
    async def main(nodes):
        await nodes.executor.run_single(request('WRITE a'))
        begun = now()
        executed = await nodes.executor.run_single(request('WRITE b'))
        return executed, now() - begun, nodes

    executed, waited, nodes = run_linked(main)
    assert isinstance(executed.outcome, Done)
    assert executed.log_fields['carrier'] == nodes.first
    assert nodes.group.log == ['WRITE a', 'WRITE b']
    assert waited == pytest.approx(2 * DELAY + 0.005, abs=0.001)


def test_a_transaction_commits_and_its_link_is_no_longer_watched():
    """Guards against links that are kept open for ended transactions."""

    async def main(nodes):
        transaction = await nodes.transaction('WRITE a', 'WRITE b')
        executed = await transaction.run(request('COMMIT'))
        await transaction.end()
        await asyncio.sleep(60)
        return executed, nodes.client.open_links, nodes

    executed, links, nodes = run_linked(main)
    assert executed.mark == nodes.group.mark
    assert nodes.group.log == ['WRITE a', 'WRITE b']
    assert links == 0


def test_a_rollback_reaches_the_carrier():
    async def main(nodes):
        transaction = await nodes.transaction('WRITE a')
        assert nodes.group.open
        await transaction.end()
        await asyncio.sleep(0.1)
        return nodes

    nodes = run_linked(main)
    assert not nodes.group.open
    assert nodes.group.log == []
    assert nodes.services[nodes.first].open_work == 0


def test_an_idle_transaction_outlives_the_limit_of_unused_links():
    """Guards against transactions aborted because a link was not used."""

    async def main(nodes):
        transaction = await nodes.transaction('WRITE a')
        await asyncio.sleep(40)
        return await transaction.run(request('COMMIT')), nodes

    executed, nodes = run_linked(main)
    assert isinstance(executed.outcome, Done)
    assert nodes.group.log == ['WRITE a']


@pytest.mark.parametrize('fault', ['kill', 'freeze', 'block'])
def test_the_end_of_the_entry_node_rolls_back(fault):
    """Guards against connections that a lost entry node holds."""

    async def main(nodes):
        await nodes.transaction('WRITE a')
        if fault == 'kill':
            nodes.network.kill('entry')
        elif fault == 'freeze':
            nodes.network.frozen.add('entry')
        else:
            nodes.network.block_both('entry', nodes.first)
        await asyncio.sleep(5)
        return nodes

    nodes = run_linked(main)
    assert not nodes.group.open
    assert nodes.group.log == []
    assert nodes.services[nodes.first].open_work == 0


@pytest.mark.parametrize('direction', ['there', 'back', 'frozen'])
@pytest.mark.parametrize('text', ['READ a', 'WRITE a'])
def test_a_link_that_falls_silent(direction, text):
    """Guards against reads that fail and writes that run twice."""

    async def main(nodes):
        network = nodes.network
        await nodes.executor.run_single(request('READ x'))
        if direction == 'there':
            network.blocked.add(('entry', nodes.first))
        elif direction == 'back':
            network.blocked.add((nodes.first, 'entry'))
        else:
            network.frozen.add(nodes.first)
        begun = now()
        executed = await nodes.executor.run_single(request(text))
        waited = now() - begun
        network.frozen.clear()
        network.blocked.clear()
        await asyncio.sleep(5)
        return executed, waited, nodes

    executed, waited, nodes = run_linked(main)
    assert waited < 0.75
    if text == 'READ a':
        assert isinstance(executed.outcome, Done)
        assert executed.log_fields['carrier'] == nodes.carriers[1]
    else:
        assert isinstance(executed.outcome, Unknown)
        assert nodes.group.ran[text] <= 1


def test_a_killed_carrier_is_passed_over():
    async def main(nodes):
        nodes.network.kill(nodes.first)
        return await nodes.executor.run_single(request('WRITE a')), nodes

    executed, nodes = run_linked(main)
    assert isinstance(executed.outcome, Done)
    assert executed.log_fields['carrier'] == nodes.carriers[1]
    assert nodes.group.ran['WRITE a'] == 1


@pytest.mark.parametrize('text', ['READ a', 'WRITE a'])
def test_a_carrier_that_knows_no_forwarding_is_passed_over(text):
    """Guards against refusals while versions are mixed."""

    async def main(nodes):
        transaction = await nodes.transaction(text)
        await transaction.run(request('COMMIT'))
        return await nodes.executor.run_single(request(text)), nodes

    executed, nodes = run_linked(main, older=(0, 1))
    assert isinstance(executed.outcome, Done)
    assert executed.log_fields['carrier'] == nodes.carriers[2]
    assert not nodes.own.requests


def test_a_write_whose_handler_fails_is_unknown():
    """Guards against a write that runs twice after an internal error."""

    async def main(nodes):
        nodes.locals[nodes.first].outcomes.append('no outcome')
        return await nodes.executor.run_single(request('WRITE a')), nodes

    executed, nodes = run_linked(main)
    assert isinstance(executed.outcome, Unknown)
    assert not nodes.group.ran


def test_a_leaving_carrier_finishes_and_takes_nothing_new():
    async def main(nodes):
        transaction = await nodes.transaction('WRITE a')
        service = nodes.services[nodes.first]
        service.leave(nodes.servers[nodes.first])
        await asyncio.sleep(0.1)
        single = await nodes.executor.run_single(request('WRITE b'))
        await asyncio.sleep(0.1)
        assert service.open_work == 1
        commit = await transaction.run(request('COMMIT'))
        assert service.open_work == 0
        return single, commit, nodes

    single, commit, nodes = run_linked(main)
    assert single.log_fields['carrier'] == nodes.carriers[1]
    assert commit.log_fields['carrier'] == nodes.first
    assert isinstance(commit.outcome, Done)
    assert nodes.group.log == ['WRITE b', 'WRITE a']


def test_a_carrier_that_ends_aborts_what_is_left():
    async def main(nodes):
        transaction = await nodes.transaction('WRITE a')
        service = nodes.services[nodes.first]
        service.leave(nodes.servers[nodes.first])
        await asyncio.sleep(1)
        await service.roll_back()
        return await transaction.run(request('COMMIT')), nodes

    executed, nodes = run_linked(main)
    assert isinstance(executed.outcome, NotRun)
    assert executed.outcome.reason is Reason.TRANSACTION_LOST
    assert nodes.group.log == []
    assert not nodes.group.open
