"""Peer links and relayed connections on one port of the loopback interface."""

import asyncio
from contextlib import asynccontextmanager

from direct_fakes.peer_fixture import Wait, ask, outcome, wait

from cowslipfork_direct.peers import PeerClient, PeerLost, PeerServer
from cowslipfork_direct.relay import Address, Relay, dial


@asynccontextmanager
async def listening(serve):
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    try:
        yield Address('127.0.0.1', server.sockets[0].getsockname()[1])
    finally:
        server.close()


async def echo(reader, writer):
    writer.write(await reader.readline())
    writer.close()


async def test_peer_links_and_relayed_connections_share_a_port():
    """Guards against differences between the fake network and sockets."""
    peers = PeerServer('n2')
    peers.handle(Wait, wait)
    async with listening(echo) as target:
        relay = Relay(lambda: {target}, peers.serve)
        async with listening(relay.serve) as address:
            client = PeerClient('n1', lambda _: address)
            text = 1_000_000 * 'x'
            replies = await asyncio.gather(
                *(ask(client, 0.01, text) for _ in range(5))
            )
            assert {reply.text for reply in replies} == {text}
            reader, writer = await dial(target, address)
            writer.write(b'relayed\n')
            assert await reader.readline() == b'relayed\n'
            writer.close()
            lost = asyncio.create_task(outcome(ask(client, 5)))
            await asyncio.sleep(0.1)
            peers.close()
            assert isinstance(await lost, PeerLost)
            assert not client.available('n2')
            client.close()
