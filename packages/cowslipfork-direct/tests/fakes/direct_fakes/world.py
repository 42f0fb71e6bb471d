"""Nodes, database servers and a store in one process, in virtual time."""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import time
from contextlib import asynccontextmanager, suppress

import msgspec
from expression import Ok
from virtual_time import VirtualLoop

from cowslipfork.configuration import AgeRule, FreshRule
from cowslipfork.ids import EndpointId, FailureDomain, Revision, VmId
from cowslipfork.store import StoreDown, StoreUncertain
from cowslipfork.store.memory import MemoryStore
from cowslipfork_direct.era_settlement import ERA_KEY, SettledEra
from cowslipfork_direct.link import LinkRefused, Network, ReplyCode
from cowslipfork_direct.node import Node
from cowslipfork_direct.node_parameters import (
    NodeIdentity,
    PlatformAdapters,
)
from cowslipfork_direct.promotion import OrderResult
from cowslipfork_direct.relay import Address, Relay
from cowslipfork_direct.routes import (
    DatabaseName,
    GroupRules,
    Route,
    RoutingTable,
    Workspace,
)
from cowslipfork_direct.statements import Prepared, Statement, Verb
from cowslipfork_direct.store_era import EraTracker
from cowslipfork_direct.subscriptions import StoreSchema
from cowslipfork_direct.workspaces import Revocation, digest_of
from direct_fakes.peer_streams import StreamNetwork
from direct_fakes.servers import ONE_WAY, Database, FakeLink, set_event

FRESH = DatabaseName('fresh')
AGED = DatabaseName('aged')

_ids = itertools.count(1)


def run(main):
    """Runs a coroutine under virtual time, boot time included."""
    real = time.clock_gettime
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        time.clock_gettime = lambda _: runner.get_loop().time()
        try:
            return runner.run(main)
        finally:
            time.clock_gettime = real


def statement(text, **fields):
    """Builds a statement; its verb is the first word of its text."""
    first_word = text.partition(' ')[0]
    verbs = {
        'BEGIN': Verb.BEGIN,
        'COMMIT': Verb.COMMIT,
        'ROLLBACK': Verb.ROLLBACK,
        'READ': Verb.READ,
        'WRITE': Verb.WRITE,
        'SET': Verb.SET,
        'PREPARE': Verb.PREPARE,
        'EXEC': Verb.EXECUTE,
        'FORGET': Verb.FORGET,
    }
    verb = verbs[first_word]
    if text == 'BEGIN READ':
        verb = Verb.BEGIN_READ_ONLY
    return Statement(f's{next(_ids)}', verb, text, **fields)


def prepare_statement(name, shape, *, writes=False):
    return statement(
        f'PREPARE {name}',
        name=name,
        prepared=Prepared(writes, shape),
    )


class NodeStore:
    """The shared store as seen by one node, with faults of its own."""

    def __init__(self, shared, leases=None, eras=None):
        self._shared = shared
        self.eras = EraTracker() if eras is None else eras
        #: Time of the last renewal of each lease, and its lifetime in seconds.
        self._leases = {} if leases is None else leases
        #: Whether calls of this node get no answer.
        self.blocked = False
        #: Number of writes whose answers will be lost after they took effect.
        self.lose_answers = 0
        #: Cleared while watches of this node are not answered; calls are.
        self.hears_news = set_event()

    def through_relay(self, world, node, via):
        """Returns this store, or the one of the relaying node."""
        if via is None:
            return self
        if {(node, via.host), (via.host, node)} & world.node_partitions:
            unreachable = NodeStore(self._shared, eras=self.eras)
            unreachable.blocked = True
            return unreachable
        return world.stores[via.host]

    async def get(self, key):
        return await self._call('get', self._shared.get, key)

    async def list_prefix(self, prefix):
        return await self._call('list', self._shared.list_prefix, prefix)

    async def swap(self, compares, puts):
        swapped = await self._call('swap', self._shared.swap, compares, puts)
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreUncertain('swap', 'answer lost')
        return swapped

    async def watch(self, prefix, after, max_size=None):
        begun = self.eras.current
        await self._cross_network('watch')
        async for events in self._shared.watch(prefix, after, max_size):
            while self.blocked:
                await asyncio.sleep(0.1)
                raise StoreDown('watch', 'no answer')
            await self.hears_news.wait()
            self.eras.check('watch', begun, self._shared.era)
            yield events

    async def grant(self, ttl):
        lease = await self._call('grant', self._shared.grant, ttl)
        self._leases[lease] = (asyncio.get_running_loop().time(), ttl)
        return lease

    async def renew(self, lease):
        renewed = await self._call('keep', self._shared.renew, lease)
        if renewed:
            _, ttl = self._leases[lease]
            now = asyncio.get_running_loop().time()
            self._leases[lease] = (now, ttl)
        return renewed

    async def end(self, lease):
        return await self._call('end', self._shared.end, lease)

    async def _call(self, operation, call, *arguments):
        begun = self.eras.current
        await self._cross_network(operation)
        result = await call(*arguments)
        self.eras.check(operation, begun, self._shared.era)
        return result

    async def _cross_network(self, call):
        if self.blocked:
            await asyncio.sleep(1)
            raise StoreDown(call, 'no answer')
        await asyncio.sleep(2 * ONE_WAY)


class World:
    """The whole simulated platform; tests change its parts to inject faults."""

    def __init__(
        self,
        size=3,
        connections=60,
        *,
        settled=True,
        synchronous_replicas=0,
    ):
        self.database = Database(size=size)
        self.store = MemoryStore()
        self.stores = {}
        self.nodes = {}
        #: Pairs of a node and a server that can't reach each other.
        self.blocked_paths = set()
        #: Pairs of nodes that can't reach each other.
        self.node_partitions = set()
        #: Streams between nodes; ``client`` and ``server`` add ends of peer
        #: links to a node.
        self.peer_network = StreamNetwork(ONE_WAY, self._partitioned)
        #: Promotion orders with the loop time of their arrival.
        self.orders = []
        #: Number of connections that servers accepted so far.
        self.opened = 0
        #: Results of the next orders; once used up, orders are carried out.
        self.order_results = []
        self.connections = connections
        #: Seconds for which servers that leave accept new work.
        self.drain_time = math.inf
        self.synchronous_replicas = synchronous_replicas
        #: How nodes that start from now on withdraw keys.
        self.revocation = Revocation()
        self.revision = 0
        self.leases = {}
        self._tasks = {}
        self._expiry = asyncio.create_task(self._expire_leases())
        if settled:
            self.settle()
        self.configure()
        self.list_servers()

    def settle(self):
        """Records the store's era as settled, as nodes do some time later."""
        era = self.store.era
        record = msgspec.json.encode(SettledEra(era, era))
        self.store.put(ERA_KEY, record)

    @property
    def servers(self):
        return self.database.servers

    def configure(self, **changes):
        """Writes a new revision of the configuration to the store."""
        self.revision += 1
        settings = {
            'revision': self.revision,
            'timeout': 0.8,
            'max_age': 1.5,
            'databases': [FRESH, AGED],
            'transaction_idle': 3,
            # Keys by workspace; None if callers need none.
            'workspaces': None,
            'auth_exempt': [],
            **changes,
        }
        self.store.put('op/config', json.dumps(settings).encode())

    def list_servers(self):
        for server in self.servers.values():
            self.list_server(server)

    def list_server(self, server):
        entry = [server.name, server.leaving, server.role.value, server.born]
        self.store.put(f'servers/{server.name}', json.dumps(entry).encode())

    def store_schema(self):
        return StoreSchema(
            'op/config',
            'servers/',
            lambda content: Ok(self._table(json.loads(content))),
            lambda key, _: Ok(self.servers[key.rpartition('/')[2]].listed),
        )

    def _table(self, settings):
        rules = {FRESH: FreshRule(), AGED: AgeRule(settings['max_age'])}
        return RoutingTable(
            Revision(settings['revision']),
            {
                name: Route(
                    name,
                    self.database.name,
                    rules[name],
                    settings['timeout'],
                    0.2,
                    1,
                    Revision(settings['revision']),
                    auth_exempt=name in settings['auth_exempt'],
                )
                for name in settings['databases']
            },
            {
                self.database.name: GroupRules(
                    self.connections, self.synchronous_replicas
                )
            },
            settings['transaction_idle'],
            _workspaces(settings['workspaces']),
        )

    def start_node(self, name='n1', domain='a'):
        eras = EraTracker()
        made = NodeStore(self.store, self.leases, eras)
        store = self.stores.setdefault(name, made)
        # A new process knows nothing of earlier eras.
        store.eras = eras
        node = Node(
            PlatformAdapters(
                lambda via: store.through_relay(self, name, via),
                self.store_schema(),
                Network(
                    lambda target, via: self._open(name, target, via),
                    lambda target, via: self._reach(name, target, via),
                ),
                self,
                eras,
                self.peer_network.dialer(name),
                self.drain_time,
            ),
            NodeIdentity(VmId(name), FailureDomain(domain), Address(name, 1)),
            revocation=self.revocation,
        )
        relay = Relay(tuple, node.serve_peer)
        self.peer_network.listen(name, relay.serve)
        self.nodes[name] = node
        self._tasks[name] = asyncio.create_task(node.run())
        return node

    async def kill_node(self, name):
        """Stops a node without a clean shutdown; its lease expires later."""
        task = self._tasks.pop(name)
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        self.nodes.pop(name)
        self.peer_network.kill(name)

    async def order(self, order):
        """Accepts a promotion order as the platform does."""
        await asyncio.sleep(2 * ONE_WAY)
        self.orders.append((asyncio.get_running_loop().time(), order))
        if self.order_results:
            return self.order_results.pop(0)
        if self.database.promote(order.endpoint):
            return OrderResult.ACCEPTED
        return OrderResult.NOT_RUNNING

    async def session(self, database=FRESH, node='n1', key=''):
        return await self.nodes[node].open_session(database, key)

    def reachable(self, node, name, via=None):
        server = self.servers[name]
        last = node if via is None else via.host
        return not (
            self._partitioned(node, last)
            or server.blocked
            or (last, name) in self.blocked_paths
        )

    def _partitioned(self, one, other):
        return bool({(one, other), (other, one)} & self.node_partitions)

    async def _open(self, node, target, via):
        name = EndpointId(target.endpoint)
        await asyncio.sleep(2 * ONE_WAY)
        server = self.servers[name]
        if not self.reachable(node, name, via):
            await asyncio.Event().wait()
        await server.awake.wait()
        if server.full:
            raise LinkRefused(name, 'full', ReplyCode.TOO_MANY_CONNECTIONS)
        self.opened += 1
        return FakeLink(
            self.database,
            server,
            lambda: self.reachable(node, name, via),
        )

    async def _reach(self, node, target, via):
        await asyncio.sleep(2 * ONE_WAY)
        if self.reachable(node, EndpointId(target.endpoint), via):
            return True
        if via is None:
            await asyncio.Event().wait()
        return False

    async def _expire_leases(self):
        """Ends leases that were not renewed within their lifetime."""
        while True:
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            for lease, (renewed_at, ttl) in tuple(self.leases.items()):
                if now > renewed_at + ttl:
                    self.leases.pop(lease)
                    await self.store.end(lease)

    async def close(self):
        self._expiry.cancel()
        for name in tuple(self.nodes):
            await self.kill_node(name)


def _workspaces(keys):
    if keys is None:
        return None
    return {
        name: Workspace(name, frozenset(map(digest_of, own)))
        for name, own in keys.items()
    }


@asynccontextmanager
async def world(nodes=1, **settings):
    """Yields a world 1 s after its nodes started: they know the primary."""
    made = World(**settings)
    for number in range(1, nodes + 1):
        made.start_node(f'n{number}', 'abc'[(number - 1) % 3])
    await asyncio.sleep(1)
    try:
        yield made
    finally:
        await made.close()
