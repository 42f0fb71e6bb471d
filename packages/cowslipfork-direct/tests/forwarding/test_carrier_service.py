"""What a node does with statements that others forward to it."""

import asyncio

import pytest
from direct_fakes.peers import FakeLink, Nodes, now, request
from direct_fakes.world import run

from cowslipfork.outcomes import Done, NotRun, Reason
from cowslipfork_direct.forwarding.encoding import (
    executed_of,
    forwarded,
)
from cowslipfork_direct.forwarding.messages import (
    EndTransaction,
    RunInTransaction,
    RunSingle,
)


def in_transaction(text, *, begins, transaction='t1'):
    return RunInTransaction(
        transaction, begins, False, forwarded(request(text))
    )


async def outcome_of(host, link, message):
    reply = await host.server.handlers[type(message)](message, link.session)
    return executed_of(reply).outcome


def link_to(nodes, host):
    return FakeLink(nodes, 'n0', host.name)


@pytest.mark.parametrize('fault', ['leaving', 'unconfigured', 'no_group'])
def test_a_node_that_cannot_serve_declines(fault):
    """Guards against a node that serves by rules it does not have."""

    async def main():
        nodes = Nodes()
        host = nodes.carriers[0]
        if fault == 'leaving':
            host.service.leave(host.server)
        host.configured = fault != 'unconfigured'
        host.knows_group = fault != 'no_group'
        link = link_to(nodes, host)
        single = RunSingle(forwarded(request('WRITE a')))
        first = in_transaction('WRITE a', begins=True)
        return (
            await outcome_of(host, link, single),
            await outcome_of(host, link, first),
            host,
        )

    *outcomes, host = run(main())
    for outcome in outcomes:
        assert isinstance(outcome, NotRun)
        assert outcome.reason is Reason.NO_CARRIER
        assert outcome.retry_after_ms > 0
    assert not host.local.requests


def test_the_number_of_open_transactions_is_limited():
    """Guards against memory that other nodes fill."""

    async def main():
        nodes = Nodes()
        host = nodes.carriers[0]
        link = link_to(nodes, host)
        outcomes = [
            await outcome_of(
                host,
                link,
                in_transaction('WRITE a', begins=True, transaction=f't{n}'),
            )
            for n in range(4)
        ]
        await host.server.handlers[EndTransaction](
            EndTransaction('t0'), link.session
        )
        again = in_transaction('WRITE a', begins=True, transaction='t9')
        return outcomes, await outcome_of(host, link, again)

    outcomes, again = run(main())
    assert [type(outcome) for outcome in outcomes] == [Done, Done, Done, NotRun]
    assert outcomes[3].reason is Reason.NO_FREE_SLOT
    assert isinstance(again, Done)


def test_a_later_statement_does_not_begin_a_transaction():
    """Guards against the second half of a transaction committed alone."""

    async def main():
        nodes = Nodes()
        host = nodes.carriers[0]
        later = in_transaction('WRITE b', begins=False)
        return await outcome_of(host, link_to(nodes, host), later), nodes

    outcome, nodes = run(main())
    assert outcome.reason is Reason.TRANSACTION_LOST
    assert not nodes.group.ran


def test_transactions_of_different_links_are_separate():
    """Guards against a node that commits for another one."""

    async def main():
        nodes = Nodes()
        host = nodes.carriers[0]
        one, other = link_to(nodes, host), link_to(nodes, host)
        await outcome_of(host, one, in_transaction('WRITE a', begins=True))
        commit = in_transaction('COMMIT', begins=False)
        stolen = await outcome_of(host, other, commit)
        other.break_now()
        await asyncio.sleep(0.1)
        return stolen, await outcome_of(host, one, commit)

    stolen, own = run(main())
    assert stolen.reason is Reason.TRANSACTION_LOST
    assert isinstance(own, Done)


def test_a_link_that_closes_during_a_statement_rolls_back_after_it():
    """Guards against a rollback that overlaps with a statement."""

    async def main():
        nodes = Nodes()
        host = nodes.carriers[0]
        host.local.service_time = 0.1
        link = link_to(nodes, host)
        running = asyncio.create_task(
            outcome_of(host, link, in_transaction('WRITE a', begins=True))
        )
        await asyncio.sleep(0.05)
        link.break_now()
        await asyncio.sleep(0.01)
        assert nodes.group.open
        await running
        await asyncio.sleep(0.01)
        return nodes, host

    nodes, host = run(main())
    assert not nodes.group.open
    assert host.service.open_work == 0


def test_a_transaction_on_a_link_that_has_ended_is_rolled_back():
    """Guards against requests that are read after the end of their link."""

    async def main():
        nodes = Nodes()
        host = nodes.carriers[0]
        link = link_to(nodes, host)
        link.break_now()
        await outcome_of(host, link, in_transaction('WRITE a', begins=True))
        await asyncio.sleep(0.1)
        return nodes, host

    nodes, host = run(main())
    assert not nodes.group.open
    assert host.service.open_transactions == 0


def test_a_leaving_carrier_counts_what_runs():
    async def main():
        nodes = Nodes()
        host = nodes.carriers[0]
        host.local.service_time = 0.3
        link = link_to(nodes, host)
        single = RunSingle(forwarded(request('WRITE a')))
        running = asyncio.create_task(outcome_of(host, link, single))
        await asyncio.sleep(0.1)
        host.service.leave(host.server)
        begun = now()
        assert host.service.open_work == 1
        while host.service.open_work:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        return running.done() or await running, now() - begun, host

    done, waited, host = run(main())
    assert done
    assert waited == pytest.approx(0.2, abs=0.05)
    assert host.server.leaving


def nodes_whose_best_carrier_leaves(reason):
    """Its first statement gets no connection, since it leaves meanwhile."""
    nodes = Nodes()
    host = nodes.carriers[0]
    host.local.on_arrival = lambda: host.service.leave(host.server)
    host.local.outcomes = [NotRun(reason, 100)]
    return nodes


@pytest.mark.parametrize('reason', [Reason.NO_FREE_SLOT, Reason.QUEUE_FULL])
def test_refused_statement_that_waited_at_a_leaving_carrier_runs_at_another(
    reason,
):
    """Guards against a refusal as busy while another carrier has room."""

    async def main():
        nodes = nodes_whose_best_carrier_leaves(reason)
        executed = await nodes.entry.executor.run_single(request('WRITE a'))
        return executed.outcome, nodes.group.ran

    outcome, ran = run(main())
    assert isinstance(outcome, Done)
    assert ran == {'WRITE a': 1}


@pytest.mark.parametrize('reason', [Reason.NO_FREE_SLOT, Reason.QUEUE_FULL])
def test_refused_transaction_that_waited_at_a_leaving_carrier_runs_at_another(
    reason,
):
    """Guards against a refusal as busy while another carrier has room."""

    async def main():
        nodes = nodes_whose_best_carrier_leaves(reason)
        await nodes.transaction('WRITE a', 'WRITE b')
        return nodes.group.ran

    assert run(main()) == {'WRITE a': 1, 'WRITE b': 1}


def test_refused_later_statement_at_a_leaving_carrier_is_not_sent_elsewhere():
    """Guards against a transaction that runs in part at two carriers."""

    async def main():
        nodes = Nodes()
        host = nodes.carriers[0]
        transaction = await nodes.transaction('WRITE a')
        host.service.leave(host.server)
        host.local.outcomes = [NotRun(Reason.NO_FREE_SLOT, 100)]
        refused = await transaction.run(request('WRITE b'))
        return refused.outcome, nodes

    outcome, nodes = run(main())
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.NO_FREE_SLOT
    assert nodes.group.ran == {'WRITE a': 1}


def test_a_leaving_carrier_rolls_back_what_is_left():
    async def main():
        nodes = Nodes()
        host = nodes.carriers[0]
        await nodes.transaction('WRITE a')
        host.service.leave(host.server)
        await asyncio.sleep(2)
        assert host.service.open_work == 1
        await host.service.roll_back()
        return nodes, host

    nodes, host = run(main())
    assert not nodes.group.open
    assert host.service.open_work == 0
