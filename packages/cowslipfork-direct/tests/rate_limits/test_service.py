"""Rate limits over peer links: messages must survive their encoding."""

import asyncio

from direct_fakes.peer_streams import StreamNetwork
from direct_fakes.world import run

from cowslipfork.ids import Revision, VmId, WorkspaceName
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.rate_limits import (
    FleetView,
    Limiter,
    LimiterContext,
    LimitInForce,
    RateLimits,
    Votes,
    serve_limiter,
)
from cowslipfork_direct.routes import RateLimit

W = WorkspaceName('w')
NODES = {VmId(name): 1.0 for name in ('n1', 'n2', 'n3')}
LIMIT = LimitInForce(RateLimit(50, 20), Revision(3))
DELAY = 0.0045


class Peer:
    """A node whose limits use real ends of peer links."""

    def __init__(self, network, name):
        self.name = name
        self.server = network.server(name)
        self.links = network.client(name)
        limits = (lambda _: LIMIT, lambda: [W])
        self.votes = Votes(name, lambda: NODES)
        limiter = Limiter(
            LimiterContext(*limits, lambda: len(NODES), boot_time), self.votes
        )
        serve_limiter(self.server, limiter)
        view = FleetView(name, lambda: NODES, lambda: len(NODES), boot_time)
        self.client = RateLimits(view, self.links, limiter, *limits)
        self.reports = asyncio.create_task(self.client.run())

    @property
    def is_limiter(self):
        return self.votes.tenure(W, boot_time()) is not None

    def close(self):
        self.reports.cancel()
        self.links.close()
        self.server.close()


async def admitted(peer, count):
    admissions = [peer.client.admit(W) for _ in range(count)]
    return (await asyncio.gather(*admissions)).count(None)


def on_links(play):
    async def main():
        network = StreamNetwork(DELAY)
        peers = [Peer(network, name) for name in NODES]
        try:
            await asyncio.sleep(4)
            await play(network, peers)
        finally:
            for peer in peers:
                peer.close()

    run(main())


def test_a_burst_counts_over_all_nodes():
    async def play(_network, peers):
        assert sum(peer.is_limiter for peer in peers) == 1
        granted = await asyncio.gather(*(admitted(peer, 20) for peer in peers))
        assert 20 <= sum(granted) <= 21

    on_links(play)


def test_another_node_becomes_limiter_when_one_dies():
    async def play(network, peers):
        (limiter,) = [peer for peer in peers if peer.is_limiter]
        others = [peer for peer in peers if peer is not limiter]
        limiter.close()
        network.kill(limiter.name)
        for _ in range(30):
            await admitted(others[0], 1)
            await asyncio.sleep(0.1)
        assert sum(peer.is_limiter for peer in others) == 1
        assert await admitted(others[0], 3) == 3
        assert await admitted(others[1], 3) == 3

    on_links(play)
