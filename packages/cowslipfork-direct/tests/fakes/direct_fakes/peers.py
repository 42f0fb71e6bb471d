"""Nodes in one process that forward statements to each other.

Messages cross the fake links as JSON, so that what is tested is also encoded.
"""

import asyncio
from collections import Counter

import msgspec

from cowslipfork.configuration import FreshRule
from cowslipfork.ids import Mark
from cowslipfork.outcomes import Done
from cowslipfork_direct.answers import Answer
from cowslipfork_direct.carriers import NodeTraits
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.execution import Executed
from cowslipfork_direct.forwarding import (
    CarrierService,
    CarrierTable,
    Forwarding,
    RemoteExecutor,
)
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.peers import PeerLost, PeerNotReached, PeerSession
from cowslipfork_direct.routes import Route
from cowslipfork_direct.statements import Verb
from cowslipfork_direct.work import StatementRequest
from direct_fakes.servers import ONE_WAY
from direct_fakes.world import statement

#: Seconds after which a silent link counts as lost.
SILENCE = 0.6

TIMEOUT = 0.8

GROUP = 'g1'

ROUTE = Route('db', GROUP, FreshRule(), TIMEOUT, 0.2, 1, 1)


def now():
    return asyncio.get_running_loop().time()


def request(text, *, workspace='w', timeout=TIMEOUT):
    return StatementRequest(
        statement(text),
        ROUTE,
        {'colour': 'red'},
        None,
        boot_time(),
        now() + timeout,
        Mark(1, 2),
        workspace,
    )


class FakeGroup:
    """The endpoints of a group; tells what they ran and keep."""

    def __init__(self):
        #: Texts of committed writes, in order.
        self.log = []
        #: Times that each text was run, committed or not.
        self.ran = Counter()
        #: Transactions that are open at the endpoints.
        self.open = set()
        self.begun = 0

    @property
    def mark(self):
        return Mark(1, len(self.log))


class FakeExecutor:
    """Executes statements on a ``FakeGroup`` as a node's own connections do."""

    def __init__(self, group):
        self.group = group
        #: Outcome of the next statements in place of running them.
        self.outcomes = []
        self.service_time = 0.005
        #: Requests as they arrived here.
        self.requests = []
        #: Called as a statement arrives here.
        self.on_arrival = lambda: None

    def record_arrival(self, request):
        self.requests.append(request)
        self.on_arrival()

    async def run_single(self, request):
        self.record_arrival(request)
        if self.outcomes:
            return Executed(self.outcomes.pop(0))
        await asyncio.sleep(self.service_time)
        text = request.statement.text
        self.group.ran[text] += 1
        if not request.writes:
            return Executed(Done(Answer(tuple(self.group.log))))
        self.group.log.append(text)
        fields = {'tries': 1, 'endpoint': 'e1', 'ms': 1000}
        return Executed(Done(Answer((), 'signed')), self.group.mark, fields)

    def begin(self, *, read_only):
        return FakeTransaction(self)


class FakeTransaction:
    def __init__(self, executor):
        self._executor = executor
        self._writes = []

    async def run(self, request):
        executor = self._executor
        executor.record_arrival(request)
        if executor.outcomes:
            return Executed(executor.outcomes.pop(0))
        group = executor.group
        group.open.add(self)
        await asyncio.sleep(executor.service_time)
        group.ran[request.statement.text] += 1
        if request.statement.verb is not Verb.COMMIT:
            self._writes.append(request.statement.text)
            return Executed(Done(Answer((), 'signed')))
        group.log.extend(self._writes)
        group.open.discard(self)
        return Executed(Done(Answer()), group.mark)

    async def end(self):
        self._executor.group.open.discard(self)


class FakeServer:
    """Receives requests of other nodes, like ``PeerServer``."""

    def __init__(self):
        self.handlers = {}
        self.leaving = False

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def announce_leaving(self):
        self.leaving = True


class FakeLink:
    """A link between two nodes, with both of its ends."""

    def __init__(self, network, entry, node):
        self._network = network
        self._entry = entry
        self._node = node
        #: The carrier's end.
        self.session = PeerSession(entry, lambda: None)
        self._broken = asyncio.Event()
        self.released = False

    def break_now(self):
        """Ends the link at both ends."""
        self._broken.set()
        self.end_at_carrier()

    def end_at_carrier(self):
        self.session.close()

    def notify(self, message):
        host = self._network.hosts[self._node]
        if not self._broken.is_set() and host.running:
            self._network.tasks.add(
                asyncio.create_task(self._deliver(host, message))
            )

    def release(self):
        """Lets the link be closed while unused, which this one never is."""
        self.released = True

    async def request(self, message, reply_type, timeout):
        host = self._network.hosts[self._node]
        if self._broken.is_set() or host.refuses or not host.running:
            self._broken.set()
            self.end_at_carrier()
            self._network.suspect(self._entry, self._node)
            raise PeerNotReached(self._node, 'refused')
        if host.unsent:
            host.unsent -= 1
            raise PeerNotReached(self._node, 'not sent in time')
        sent_at = now()
        replying = asyncio.create_task(self._deliver(host, message))
        broken = asyncio.create_task(self._broken.wait())
        self._network.tasks.update((replying, broken))
        await asyncio.wait(
            (replying, broken),
            timeout=min(timeout, SILENCE) if host.silent else timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if replying.done() and not self._broken.is_set():
            encoded = msgspec.json.encode(replying.result())
            return msgspec.json.decode(encoded, type=reply_type)
        self._broken.set()
        if host.awake.is_set():
            self.end_at_carrier()
        if host.silent or not host.running:
            self._network.suspect(self._entry, self._node)
        raise PeerLost(self._node, f'lost after {now() - sent_at:.3f} s')

    async def _deliver(self, host, message):
        await asyncio.sleep(ONE_WAY)
        if host.loses_requests:
            host.loses_requests -= 1
            self.break_now()
            return None
        await host.awake.wait()
        if not host.running:
            return None
        received = msgspec.json.decode(
            msgspec.json.encode(message), type=type(message)
        )
        handler = host.server.handlers[type(message)]
        reply = await handler(received, self.session)
        if self._broken.is_set():
            self.end_at_carrier()
        if host.silent_answers:
            await asyncio.Event().wait()
        if host.loses_answers:
            host.loses_answers -= 1
            self.break_now()
        await asyncio.sleep(ONE_WAY)
        return reply


class FakePeers:
    """Links of one node, like ``PeerClient``."""

    def __init__(self, network, entry):
        self._network = network
        self._entry = entry

    async def request(self, node, message, reply_type, timeout):
        return await self.reserve(node).request(message, reply_type, timeout)

    def available(self, node):
        server = self._network.hosts[node].server
        suspected = (self._entry, node) in self._network.suspected
        return not (server.leaving or suspected)

    def reserve(self, node):
        link = FakeLink(self._network, self._entry, node)
        self._network.links.append((self._entry, node, link))
        return link


class Host:
    """One node; tests set its fields to inject faults."""

    def __init__(self, network, name, candidates, count):
        self.name = name
        self.running = True
        #: Whether connections to it are refused.
        self.refuses = False
        #: Number of requests to it that are not sent, while links stay open.
        self.unsent = 0
        #: Number of requests to it that are lost with their link.
        self.loses_requests = 0
        #: Number of answers of it that are lost with their link.
        self.loses_answers = 0
        #: Whether its answers do not arrive, while its links stay open.
        self.silent_answers = False
        #: Cleared while it is frozen.
        self.awake = asyncio.Event()
        self.awake.set()
        self.configured = True
        self.knows_group = True
        self.server = FakeServer()
        self.local = FakeExecutor(network.group)
        self.service = CarrierService(
            lambda _: self.local if self.knows_group else None,
            lambda: self.configured,
            max_transactions=3,
        )
        self.service.register(self.server)
        self.metrics = Metrics()
        self.table = CarrierTable(name, candidates, count)
        self.executor = RemoteExecutor(
            Forwarding(FakePeers(network, name), self.table, self.metrics),
            self.local,
        )

    @property
    def silent(self):
        return self.silent_answers or not self.awake.is_set()


class Nodes:
    """Several nodes before one group."""

    def __init__(self, size=5, count=3):
        self.group = FakeGroup()
        self.suspected = set()
        self.links = []
        self.tasks = set()
        self.traits = {
            f'n{number}': NodeTraits('abc'[number % 3], 1)
            for number in range(size)
        }
        self.hosts = {
            name: Host(self, name, lambda: self.traits, count)
            for name in self.traits
        }

    @property
    def carriers(self):
        """The carriers in the order in which ``entry`` tries them."""
        order = self.entry.table.try_order(GROUP, 'w')
        return [self.hosts[name] for name in order[:3]]

    @property
    def entry(self):
        """A node that is no carrier."""
        carriers = self.hosts['n0'].table.carriers(GROUP)
        names = [name for name in self.hosts if name not in carriers]
        return self.hosts[names[0]]

    def suspect(self, entry, node):
        self.suspected.add((entry, node))

    def kill(self, host):
        """Ends a node: its links break, what it had opened is rolled back."""
        host.running = False
        for entry, node, link in self.links:
            if host.name in {entry, node}:
                link.break_now()

    def links_to(self, host):
        """Returns the number of requests or transactions sent to a node."""
        return sum(node == host.name for _, node, _ in self.links)

    async def transaction(self, *texts):
        """Begins a transaction at ``entry`` and runs statements in it."""
        transaction = self.entry.executor.begin(read_only=False)
        for text in texts:
            executed = await transaction.run(request(text))
            assert isinstance(executed.outcome, Done)
        return transaction
