"""Peer links in a simulated platform."""

from direct_fakes.peer_fixture import Wait, ask, outcome, wait
from direct_fakes.world import run, world

from cowslipfork_direct.peers import PeerLost, PeerNotReached


def test_faults_of_the_world_cut_peer_links():
    """Guards against tests whose partitions leave peer links whole."""

    async def main():
        async with world(nodes=2) as made:
            server = made.peer_network.server('n2')
            server.handle(Wait, wait)
            client = made.peer_network.client('n1')
            await ask(client)
            made.node_partitions.add(('n2', 'n1'))
            assert isinstance(await outcome(ask(client)), PeerLost)
            client.close()

            client = made.peer_network.client('n1')
            assert isinstance(await outcome(ask(client)), PeerNotReached)
            made.node_partitions.clear()
            client.close()

            client = made.peer_network.client('n1')
            await ask(client)
            await made.kill_node('n2')
            assert isinstance(await outcome(ask(client)), PeerLost)
            client.close()

    run(main())
