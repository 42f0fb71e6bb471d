"""Requests and their replies over a network in memory."""

import asyncio

import pytest
from direct_fakes.peer_fixture import DELAY, ask, outcome, run_peers
from virtual_time import now

from cowslipfork_direct.peers import Acknowledged, PeerRequest, PeerTimedOut


class Note(PeerRequest, frozen=True):
    text: str


def test_replies_reach_their_requests_in_any_order():
    """Guards against a reply given to another request."""

    async def main(_network, client, _server):
        texts = []

        async def collect(seconds, text):
            reply = await ask(client, seconds, text)
            texts.append(reply.text)

        await asyncio.gather(
            collect(0.3, 'c'), collect(0.1, 'a'), collect(0.2, 'b')
        )
        return texts

    assert run_peers(main) == ['a', 'b', 'c']


def test_a_second_request_takes_one_round_trip():
    """Guards against a hello or a dial for each request."""

    async def main(network, client, _server):
        await ask(client)
        begun = now()
        await ask(client)
        assert network.dials == {('n1', 'n2'): 1}
        return now() - begun

    assert run_peers(main) == pytest.approx(2 * DELAY, abs=0.001)


def test_many_requests_at_once_share_writes():
    """Guards against a system call for each request and each reply."""

    async def main(network, client, _server):
        await ask(client)
        network.writes.clear()
        replies = await asyncio.gather(
            *(ask(client, text=str(number)) for number in range(500))
        )
        assert [reply.text for reply in replies] == [
            str(number) for number in range(500)
        ]
        return dict(network.writes)

    assert run_peers(main) == {('n1', 'n2'): 1, ('n2', 'n1'): 1}


def test_requests_made_while_the_link_opens_share_it():
    """Guards against one connection for each request of a burst."""

    async def main(network, client, _server):
        await asyncio.gather(*(ask(client) for _ in range(20)))
        assert (client.open_links, client.counts.opened) == (1, 1)
        return network.dials

    assert run_peers(main) == {('n1', 'n2'): 1}


def test_a_cancelled_request_does_not_harm_the_link():
    """Guards against a late reply that ends the link or answers another."""

    async def main(network, client, _server):
        await ask(client)
        cancelled = asyncio.create_task(ask(client, 0.2, 'cancelled'))
        other = asyncio.create_task(ask(client, 0.3, 'other'))
        await asyncio.sleep(0.1)
        cancelled.cancel()
        assert (await other).text == 'other'
        assert (await ask(client, text='next')).text == 'next'
        return network.dials, client.counts.lost

    assert run_peers(main) == ({('n1', 'n2'): 1}, 0)


def test_a_cancelled_request_does_not_stop_the_opening_of_the_link():
    """Guards against a caller's end that fails the requests of others."""

    async def main(_network, client, _server):
        cancelled = asyncio.create_task(ask(client))
        other = asyncio.create_task(ask(client, text='other'))
        await asyncio.sleep(DELAY)
        cancelled.cancel()
        return (await other).text

    assert run_peers(main) == 'other'


def test_a_request_times_out_and_its_link_stays():
    """Guards against a slow request that costs the others their link."""

    async def main(_network, client, _server):
        error = await outcome(ask(client, 2, timeout=0.9))
        assert isinstance(error, PeerTimedOut)
        assert error.may_have_run
        assert (await ask(client, text='next')).text == 'next'
        return client.counts.lost, client.available('n2')

    assert run_peers(main) == (0, True)


def test_a_request_may_take_longer_than_the_silence_limit():
    """Guards against a busy node that counts as frozen."""

    async def main(_network, client, _server):
        return (await ask(client, 3, 'late')).text

    assert run_peers(main) == 'late'


def test_a_notification_is_handled_and_not_answered():
    """Guards against replies to messages that nobody waits for."""

    async def main(_network, client, server):
        received = []

        async def note(message, session):
            received.append((session.node, message.text))
            return Acknowledged()

        server.handle(Note, note)
        link = client.reserve('n2')
        await ask(link)
        link.notify(Note('end'))
        await ask(link, 0.1)
        link.release()
        return received

    assert run_peers(main) == [('n1', 'end')]


def test_an_unused_link_is_closed_and_opened_again():
    """Guards against links that add up, and against a suspected node."""

    async def main(network, client, server):
        await ask(client)
        await asyncio.sleep(29)
        await ask(client)
        await asyncio.sleep(29)
        assert (client.open_links, server.open_links) == (1, 1)
        await asyncio.sleep(2)
        assert (client.open_links, server.open_links) == (0, 0)
        assert client.available('n2')
        await ask(client)
        return network.dials, client.counts.lost

    assert run_peers(main) == ({('n1', 'n2'): 2}, 0)


def test_a_reserved_link_stays_open_while_it_is_unused():
    """Guards against a transaction that its own node ends."""

    async def main(_network, client, _server):
        link = client.reserve('n2')
        await ask(link)
        await asyncio.sleep(40)
        assert client.open_links == 1
        link.release()
        await asyncio.sleep(40)
        return client.open_links, link.lost

    assert run_peers(main) == (0, True)
