"""Transactions at a carrier, one failure at a time."""

import asyncio

import pytest
from direct_fakes.peers import Nodes, now, request
from direct_fakes.world import run

from cowslipfork.outcomes import Done, NotRun, Reason, Unknown


def run_with(fault, text='COMMIT', *, before=('WRITE a',), after=0):
    """Runs statements, then one that a fault of the carrier hits.

    Returns:
        The result, the seconds until it, and the nodes 5 s later.
    """

    async def main():
        nodes = Nodes()
        first = nodes.carriers[0]
        first.local.service_time = 0.02
        transaction = await nodes.transaction(*before)
        if after:
            loop = asyncio.get_running_loop()
            loop.call_later(after, fault, nodes, first)
        else:
            fault(nodes, first)
        begun = now()
        executed = await transaction.run(request(text))
        waited = now() - begun
        await transaction.end()
        await asyncio.sleep(5)
        return executed, waited, nodes

    return run(main())


def no_fault(nodes, first):
    """Leaves everything as it is."""


def kill(nodes, first):
    nodes.kill(first)


def refuse(nodes, first):
    first.refuses = True


def send_nothing(nodes, first):
    """Has one request not sent, while the link stays open."""
    first.unsent = 1


def lose_request(nodes, first):
    first.loses_requests = 1


def lose_answer(nodes, first):
    first.loses_answers = 1


def silence_answers(nodes, first):
    first.silent_answers = True


def freeze(nodes, first):
    """Freezes the carrier, which goes on 2 s later."""
    first.awake.clear()
    asyncio.get_running_loop().call_later(2, first.awake.set)


def is_aborted(executed):
    outcome = executed.outcome
    return (
        isinstance(outcome, NotRun)
        and outcome.reason is Reason.TRANSACTION_LOST
    )


def test_a_transaction_stays_at_its_carrier():
    executed, _, nodes = run_with(no_fault, before=('WRITE a', 'WRITE b'))
    assert isinstance(executed.outcome, Done)
    assert executed.mark == nodes.group.mark
    assert executed.log_fields['carrier'] == nodes.carriers[0].name
    assert nodes.group.log == ['WRITE a', 'WRITE b']
    assert len(nodes.links) == 1
    assert nodes.carriers[0].service.open_transactions == 0


def test_rollback_leaves_nothing():
    async def main():
        nodes = Nodes()
        transaction = await nodes.transaction('WRITE a')
        assert nodes.carriers[0].service.open_transactions == 1
        await transaction.end()
        await asyncio.sleep(0.1)
        return nodes

    nodes = run(main())
    assert nodes.group.log == []
    assert not nodes.group.open
    assert nodes.carriers[0].service.open_transactions == 0


@pytest.mark.parametrize('fault', [kill, refuse])
@pytest.mark.parametrize('text', ['WRITE a', 'COMMIT'])
def test_the_first_statement_may_go_to_the_next_carrier(fault, text):
    executed, _, nodes = run_with(fault, text, before=())
    assert isinstance(executed.outcome, Done)
    assert executed.log_fields['carrier'] == nodes.carriers[1].name


@pytest.mark.parametrize(
    ('fault', 'after'),
    [
        (kill, 0),
        (kill, 0.01),
        (refuse, 0),
        (send_nothing, 0),
        (lose_request, 0),
        (lose_answer, 0),
        (silence_answers, 0),
        (freeze, 0),
    ],
)
@pytest.mark.parametrize('before', [(), ('WRITE a',)])
def test_a_lost_statement_aborts_and_nothing_is_kept(fault, after, before):
    """Guards against part of a transaction that stays."""
    executed, waited, nodes = run_with(
        fault, 'WRITE b', before=before, after=after
    )
    nothing_sent = fault in {kill, refuse, send_nothing} and not after
    if nothing_sent and not before:
        assert isinstance(executed.outcome, Done)
    else:
        assert is_aborted(executed)
    assert nodes.group.log == []
    assert not nodes.group.open
    assert waited < 0.7


@pytest.mark.parametrize('fault', [kill, refuse, send_nothing])
def test_commit_that_was_not_sent_is_aborted(fault):
    """Guards against a false doubt, and against COMMIT elsewhere."""
    executed, _, nodes = run_with(fault)
    assert is_aborted(executed)
    assert nodes.group.log == []
    assert not nodes.group.open
    assert nodes.links_to(nodes.carriers[1]) == 0


@pytest.mark.parametrize(
    ('fault', 'after', 'kept'),
    [
        (kill, 0.01, None),
        (lose_request, 0, False),
        (lose_answer, 0, True),
        (silence_answers, 0, True),
        (freeze, 0, None),
    ],
)
def test_commit_that_may_have_arrived_is_unknown(fault, after, kept):
    """Guards against a transaction reported as aborted that was committed."""
    executed, _, nodes = run_with(fault, after=after)
    assert isinstance(executed.outcome, Unknown)
    assert not nodes.group.open
    if kept is not None:
        assert nodes.group.log == (['WRITE a'] if kept else [])


def test_a_statement_without_an_answer_aborts_at_the_deadline():
    """Guards against a transaction that stays open after a timeout."""

    def slow_down(nodes, first):
        first.local.service_time = 2

    executed, waited, nodes = run_with(slow_down, 'WRITE b')
    assert is_aborted(executed)
    assert waited == pytest.approx(0.8, abs=0.01)
    assert not nodes.group.open
    assert nodes.group.log == []
    assert nodes.carriers[0].service.open_transactions == 0


def test_a_failed_statement_ends_the_transaction_at_the_carrier():
    def fail(nodes, first):
        first.local.outcomes.append(NotRun(Reason.TRANSACTION_LOST, 200))

    executed, _, nodes = run_with(fail, 'WRITE b')
    assert is_aborted(executed)
    assert not nodes.group.open
    assert nodes.carriers[0].service.open_transactions == 0


def test_an_ended_transaction_runs_nothing():
    async def main():
        nodes = Nodes()
        transaction = await nodes.transaction('WRITE a')
        await transaction.end()
        executed = await transaction.run(request('WRITE b'))
        return executed, nodes

    executed, nodes = run(main())
    assert is_aborted(executed)
    assert nodes.group.ran['WRITE b'] == 0


def test_an_open_transaction_goes_on_at_a_leaving_carrier():
    """Guards against transactions that every restart aborts."""

    def leave(nodes, first):
        first.service.leave(first.server)

    executed, _, nodes = run_with(leave)
    assert isinstance(executed.outcome, Done)
    assert nodes.group.log == ['WRITE a']


def test_transactions_begin_elsewhere_when_a_carrier_leaves():
    async def main():
        nodes = Nodes()
        first = nodes.carriers[0]
        first.service.leave(first.server)
        transaction = await nodes.transaction('WRITE a')
        await transaction.run(request('COMMIT'))
        return nodes

    nodes = run(main())
    assert nodes.group.log == ['WRITE a']
    assert not nodes.carriers[0].local.requests


def test_the_death_of_the_entry_node_rolls_back():
    """Guards against connections and locks that nobody frees."""

    async def main():
        nodes = Nodes()
        await nodes.transaction('WRITE a')
        assert nodes.group.open
        nodes.kill(nodes.entry)
        await asyncio.sleep(0.1)
        return nodes

    nodes = run(main())
    assert nodes.group.log == []
    assert not nodes.group.open
    assert nodes.carriers[0].service.open_work == 0


def test_the_entry_node_executes_a_transaction_itself_at_last():
    async def main():
        nodes = Nodes()
        entry = nodes.entry
        for host in nodes.hosts.values():
            if host is not entry:
                nodes.kill(host)
        transaction = await nodes.transaction('WRITE a')
        executed = await transaction.run(request('COMMIT'))
        await transaction.end()
        return executed, nodes

    executed, nodes = run(main())
    assert isinstance(executed.outcome, Done)
    assert executed.log_fields['carrier'] == nodes.entry.name
    assert nodes.group.log == ['WRITE a']
    assert not nodes.group.open


@pytest.mark.parametrize('before', [(), ('WRITE a',)])
def test_a_cancelled_statement_leaves_no_transaction_at_the_carrier(before):
    """Guards against connections and locks that nobody frees."""

    async def main():
        nodes = Nodes()
        nodes.carriers[0].local.service_time = 0.02
        transaction = await nodes.transaction(*before)
        running = asyncio.create_task(transaction.run(request('WRITE b')))
        await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.wait((running,))
        await transaction.end()
        await asyncio.sleep(0.1)
        return nodes

    nodes = run(main())
    assert not nodes.group.open
    assert nodes.carriers[0].service.open_transactions == 0


@pytest.mark.parametrize(
    ('fault', 'may_have_run'), [(lose_answer, True), (refuse, False)]
)
def test_a_lost_first_statement_may_have_run(fault, may_have_run):
    """Guards against tokens of rate limits returned for what has run."""

    async def main():
        nodes = Nodes()
        for host in nodes.hosts.values():
            fault(nodes, host)
        nodes.entry.local.outcomes.append(NotRun(Reason.NO_PRIMARY))
        transaction = nodes.entry.executor.begin(read_only=False)
        return await transaction.run(request('WRITE a'))

    executed = run(main())
    assert isinstance(executed.outcome, NotRun)
    assert executed.may_have_run == may_have_run
