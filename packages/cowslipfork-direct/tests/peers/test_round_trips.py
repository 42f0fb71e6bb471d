"""Requests and their replies over a network in memory."""

import asyncio

import pytest
from direct_fakes.peer_fixture import DELAY, ask, run_peers
from virtual_time import now


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
