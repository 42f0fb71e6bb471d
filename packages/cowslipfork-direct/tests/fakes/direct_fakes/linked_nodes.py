"""Nodes that forward over peer links, on a network of streams in memory."""

from cowslipfork.outcomes import Done
from cowslipfork_direct.carriers import NodeTraits
from cowslipfork_direct.forwarding import (
    CarrierService,
    CarrierTable,
    Forwarding,
    RemoteExecutor,
)
from cowslipfork_direct.metrics import Metrics
from direct_fakes.peer_streams import StreamNetwork
from direct_fakes.peers import GROUP, FakeExecutor, FakeGroup, request
from direct_fakes.world import run

DELAY = 0.0045


class LinkedNodes:
    """An entry node and three carriers, each of which may be an old version."""

    def __init__(self, older=()):
        self.network = StreamNetwork(DELAY)
        self.group = FakeGroup()
        traits = {f'n{n}': NodeTraits('abc'[n], 1) for n in range(3)}
        self.table = CarrierTable('entry', lambda: traits, 3)
        self.carriers = self.table.try_order(GROUP, 'w')[:3]
        self.locals = {name: FakeExecutor(self.group) for name in traits}
        self.services = {
            name: CarrierService(
                lambda _, local=local: local, lambda: True, 100
            )
            for name, local in self.locals.items()
        }
        self.servers = {name: self.network.server(name) for name in traits}
        for number, name in enumerate(self.carriers):
            if number not in older:
                self.services[name].register(self.servers[name])
        self.client = self.network.client('entry')
        self.own = FakeExecutor(self.group)
        self.executor = RemoteExecutor(
            Forwarding(self.client, self.table, Metrics()), self.own
        )

    @property
    def first(self):
        return self.carriers[0]

    async def transaction(self, *texts):
        transaction = self.executor.begin(read_only=False)
        for text in texts:
            executed = await transaction.run(request(text))
            assert isinstance(executed.outcome, Done)
        return transaction

    def close(self):
        self.client.close()
        for server in self.servers.values():
            server.close()


def run_linked(main, **settings):
    async def start():
        nodes = LinkedNodes(**settings)
        try:
            return await main(nodes)
        finally:
            nodes.close()

    return run(start())
