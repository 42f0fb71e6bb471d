"""Two nodes, n1 with a client and n2 with a server, and their messages."""

from __future__ import annotations

import asyncio

from cowslipfork_direct.peers import PeerReply, PeerRequest
from direct_fakes.peer_streams import StreamNetwork
from direct_fakes.world import run

#: Seconds in one direction.
DELAY = 0.0045


class Wait(PeerRequest, frozen=True):
    """Asks for a reply after some seconds."""

    seconds: float = 0
    text: str = ''


class Waited(PeerReply, frozen=True):
    """The reply to ``Wait``, with the same text."""

    text: str


class Unhandled(PeerRequest, frozen=True):
    """A message that no server handles."""


async def wait(message, _session):
    await asyncio.sleep(message.seconds)
    return Waited(message.text)


def ask(client, seconds=0, text='', *, node='n2', timeout=5):
    """Returns a coroutine that sends ``Wait``; also for a reserved link."""
    message = Wait(seconds, text)
    if hasattr(client, 'reserve'):
        return client.request(node, message, Waited, timeout)
    return client.request(message, Waited, timeout)


async def outcome(request):
    """Returns the reply of a request, or its error."""
    try:
        return await request
    except Exception as error:
        return error


def run_peers(main):
    """Runs ``main(network, client, server)`` under virtual time."""

    async def start():
        network = StreamNetwork(DELAY)
        server = network.server('n2')
        server.handle(Wait, wait)
        client = network.client('n1')
        try:
            return await main(network, client, server)
        finally:
            client.close()
            server.close()

    return run(start())
