"""Nodes that die, freeze or cannot be reached."""

import asyncio

import pytest
from direct_fakes.peer_fixture import (
    DELAY,
    Wait,
    Waited,
    ask,
    available_after,
    outcome,
    run_peers,
)
from virtual_time import now

from cowslipfork_direct.peers import (
    Acknowledged,
    PeerLost,
    PeerNotReached,
    PeerRequest,
    PeerTimedOut,
)


class Open(PeerRequest, frozen=True):
    """Asks the server to watch the link."""


def watching(server):
    """Handles ``Open``; returns the times at which links have ended."""
    ended = []

    async def handle(_message, session):
        session.on_close(lambda: ended.append(now()))
        return Acknowledged()

    server.handle(Open, handle)
    return ended


def test_a_link_that_ends_before_the_write_proves_that_nothing_was_sent():
    """Guards against an unknown outcome of a write that was never sent."""

    async def main(_network, client, _server):
        await ask(client)
        request = asyncio.create_task(outcome(ask(client, 1)))
        await asyncio.sleep(0)
        client.close()
        return await request

    error = run_peers(main)
    assert isinstance(error, PeerNotReached)
    assert not error.may_have_run


def test_a_link_that_ends_after_the_write_leaves_the_outcome_open():
    """Guards against a second run of a write that the dead node has run."""

    async def main(network, client, _server):
        await ask(client)
        request = asyncio.create_task(outcome(ask(client, 1)))
        await asyncio.sleep(0.1)
        network.kill('n2')
        error = await request
        assert not client.available('n2')
        assert client.counts.lost == 1
        return error

    error = run_peers(main)
    assert isinstance(error, PeerLost)
    assert error.may_have_run


def test_a_node_that_refuses_connections_is_suspected():
    """Guards against an attempt to connect for each request."""

    async def main(_network, client, _server):
        first = await outcome(ask(client, node='n3'))
        begun = now()
        second = await outcome(ask(client, node='n3'))
        assert now() == begun
        assert not client.available('n3')
        assert client.counts.refused == 1
        return first, second

    first, second = run_peers(main)
    assert isinstance(first, PeerNotReached)
    assert isinstance(second, PeerNotReached)


def test_a_node_without_a_known_address_is_not_available():
    """Guards against a crash for a node that has just been deregistered."""

    async def main(network, _client, _server):
        client = network.client('n3', lambda _: None)
        assert not client.available('n2')
        return await outcome(ask(client))

    assert isinstance(run_peers(main), PeerNotReached)


def test_a_node_that_cannot_be_reached_costs_at_most_the_connect_timeout():
    """Guards against a request that waits for a dead host."""

    async def main(network, client, _server):
        network.block_both('n1', 'n2')
        begun = now()
        error = await outcome(ask(client))
        return error, now() - begun

    error, seconds = run_peers(main)
    assert isinstance(error, PeerNotReached)
    assert seconds <= 0.301


def test_a_frozen_process_is_not_sent_anything_on_a_new_connection():
    """Guards against an unknown outcome because a kernel accepted a link."""

    async def main(network, client, _server):
        network.frozen.add('n2')
        begun = now()
        error = await outcome(ask(client))
        return error, now() - begun

    error, seconds = run_peers(main)
    assert isinstance(error, PeerNotReached)
    assert seconds <= 0.301


@pytest.mark.parametrize(
    'blocked', [{('n1', 'n2')}, {('n2', 'n1')}, {('n1', 'n2'), ('n2', 'n1')}]
)
def test_silence_in_either_direction_is_noticed(blocked):
    """Guards against requests that wait for a frozen node's deadline."""

    async def main(network, client, _server):
        await ask(client)
        await asyncio.sleep(10)
        network.blocked |= blocked
        begun = now()
        error = await outcome(ask(client))
        assert not client.available('n2')
        return error, now() - begun

    error, seconds = run_peers(main)
    assert isinstance(error, PeerLost)
    assert seconds <= 0.601


def test_silence_under_load_is_noticed():
    """Guards against requests whose sending postpones the time-out."""

    async def main(network, client, _server):
        requests = []
        for number in range(200):
            if number == 50:
                network.frozen.add('n2')
                begun = now()
            requests.append(asyncio.create_task(outcome(ask(client, 0.005))))
            await asyncio.sleep(0.01)
            if not client.available('n2'):
                break
        seconds = now() - begun
        await asyncio.gather(*requests)
        return seconds

    assert run_peers(main) <= 0.62


def test_silence_is_noticed_with_time_outs_shorter_than_its_limit():
    """Guards against a frozen node that is asked with short time-outs."""

    async def main(network, client, _server):
        await ask(client)
        network.frozen.add('n2')
        begun = now()
        while client.available('n2'):
            error = await outcome(ask(client, timeout=0.15))
            assert isinstance(error, PeerTimedOut | PeerLost)
        return now() - begun

    assert run_peers(main) <= 0.601


def test_a_short_pause_of_the_other_node_is_survived():
    """Guards against links lost to pauses below the limit."""

    async def main(network, client, _server):
        request = asyncio.create_task(ask(client, 0.2, 'late'))
        await asyncio.sleep(0.1)
        network.frozen.add('n2')
        await asyncio.sleep(0.45)
        network.frozen.clear()
        return (await request).text, client.counts.lost

    assert run_peers(main) == ('late', 0)


def test_suspicion_doubles_while_the_node_stays_silent():
    """Guards against a frozen node that costs a time-out each second."""

    async def main(network, client, _server):
        await ask(client)
        network.frozen.add('n2')
        seconds = []
        for _ in range(5):
            await outcome(ask(client))
            seconds.append(await available_after(client))
        network.frozen.clear()
        await ask(client)
        network.frozen.add('n2')
        await outcome(ask(client))
        seconds.append(await available_after(client))
        return seconds

    assert run_peers(main) == pytest.approx([1, 2, 4, 8, 8, 1], abs=0.02)


def test_a_restarted_node_is_reached_again():
    """Guards against a link that stays bound to the process before."""

    async def main(network, client, _server):
        await ask(client)
        network.kill('n2')
        await asyncio.sleep(3 * DELAY)
        assert not client.available('n2')
        restarted = network.server('n2')

        async def answer(message, _session):
            return Waited('restarted')

        restarted.handle(Wait, answer)
        await available_after(client)
        return (await ask(client)).text

    assert run_peers(main) == 'restarted'


def test_requests_of_a_reserved_link_never_use_another_one():
    """Guards against a transaction that goes on where it is not known."""

    async def main(network, client, server):
        link = client.reserve('n2')
        await ask(link)
        network.kill('n2')
        await asyncio.sleep(3 * DELAY)
        assert link.lost
        network.listen('n2', server.serve)
        await asyncio.sleep(2)
        error = await outcome(ask(link))
        link.notify(Wait())
        link.release()
        return error

    assert isinstance(run_peers(main), PeerNotReached)


def test_the_server_notices_that_the_other_process_has_ended():
    """Guards against transactions of a dead entry node that hold locks."""

    async def main(network, client, server):
        ended = watching(server)
        await client.request('n2', Open(), Acknowledged, 1)
        killed = now()
        network.kill('n1')
        await asyncio.sleep(0.1)
        return [at - killed for at in ended]

    assert run_peers(main) == pytest.approx([DELAY], abs=0.001)


def test_the_server_notices_a_silent_node_whose_transactions_are_open():
    """Guards against locks held for a host that vanished without a reset."""

    async def main(network, client, server):
        ended = watching(server)
        await client.request('n2', Open(), Acknowledged, 1)
        frozen = now()
        network.frozen.add('n1')
        await asyncio.sleep(5)
        return [at - frozen for at in ended]

    (seconds,) = run_peers(main)
    assert seconds <= 3.01


def test_the_server_keeps_a_link_of_a_node_that_is_idle_in_a_transaction():
    """Guards against idle transactions that end because nothing is sent."""

    async def main(_network, client, server):
        ended = watching(server)
        link = client.reserve('n2')
        await link.request(Open(), Acknowledged, 1)
        await asyncio.sleep(60)
        assert not ended
        return (await ask(link, text='next')).text

    assert run_peers(main) == 'next'


def test_a_removed_callback_is_not_called():
    """Guards against a rollback of a transaction that has ended."""

    async def main(network, client, server):
        ended = []

        async def handle(_message, session):
            session.on_close(lambda: ended.append('first'))
            session.on_close(lambda: ended.append('second'))()
            return Acknowledged()

        server.handle(Open, handle)
        await client.request('n2', Open(), Acknowledged, 1)
        network.kill('n1')
        await asyncio.sleep(0.1)
        return ended

    assert run_peers(main) == ['first']


def test_requests_run_on_after_their_link_has_ended():
    """Guards against single statements cut off in the middle."""

    async def main(network, client, server):
        finished = []

        async def handle(_message, session):
            await asyncio.sleep(0.5)
            session.on_close(lambda: finished.append('told at once'))
            finished.append('finished')
            return Acknowledged()

        server.handle(Open, handle)
        request = asyncio.create_task(
            outcome(client.request('n2', Open(), Acknowledged, 1))
        )
        await asyncio.sleep(0.1)
        network.kill('n1')
        await asyncio.sleep(1)
        assert isinstance(await request, PeerLost)
        return finished

    assert run_peers(main) == ['told at once', 'finished']


def test_a_leaving_node_finishes_what_it_has_and_gets_nothing_new():
    """Guards against requests that are lost because their node stops."""

    async def main(network, client, server):
        link = client.reserve('n2')
        await ask(link)
        running = asyncio.create_task(ask(client, 0.5, 'running'))
        await asyncio.sleep(0.1)
        server.announce_leaving()
        await asyncio.sleep(2 * DELAY)
        assert not client.available('n2')
        error = await outcome(ask(client))
        assert isinstance(error, PeerNotReached)
        assert (await ask(link, text='transaction')).text == 'transaction'
        link.release()
        return (await running).text, network.dials

    assert run_peers(main) == ('running', {('n1', 'n2'): 1})


def test_a_leaving_node_accepts_no_new_links():
    """Guards against nodes that learn of the stop only when it is over."""

    async def main(network, client, server):
        server.announce_leaving()
        error = await outcome(ask(client))
        assert not client.available('n2')
        return error

    assert isinstance(run_peers(main), PeerNotReached)
