"""Nodes with rate limits in one process, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque

from cowslipfork.ids import Revision, VmId, WorkspaceName
from cowslipfork_direct.peers import PeerNotReached, PeerTimedOut
from cowslipfork_direct.rate_limits import (
    Acquire,
    Acquired,
    FleetView,
    Limiter,
    LimiterContext,
    LimitInForce,
    RateLimits,
    Votes,
)
from cowslipfork_direct.routes import RateLimit

W = WorkspaceName('w')

#: Seconds after which a dead node is missing from the store's list.
LEASE_TTL = 2.0

#: Greatest difference in seconds between the nodes' views of the list and of
#: the configuration.
MAX_LAG = 0.5

#: Seconds without a reply after which a node is suspected.
SILENCE = 0.6

REPORT_INTERVAL = 0.4


class FakePeers:
    """Requests of one node to others over the fleet's network."""

    def __init__(self, fleet, node):
        self._fleet = fleet
        self._node = node
        self._failing_since = {}
        self._suspected_until = {}
        self._pauses = {}

    async def request(self, target, message, reply_type, timeout):
        answer = self._fleet.send(self._node, target, message)
        try:
            async with asyncio.timeout(timeout):
                reply = await asyncio.shield(answer)
        except TimeoutError:
            self._record_failure(target, refused=False)
            raise PeerTimedOut(target, 'no reply') from None
        except PeerNotReached:
            self._record_failure(target, refused=True)
            raise
        assert isinstance(reply, reply_type)
        self._failing_since.pop(target, None)
        self._pauses.pop(target, None)
        return reply

    def available(self, target):
        return self._fleet.now() >= self._suspected_until.get(target, 0)

    def _record_failure(self, target, *, refused):
        now = self._fleet.now()
        since = self._failing_since.setdefault(target, now)
        if refused or now - since >= SILENCE:
            pause = min(8, 2 * self._pauses.get(target, 0.5))
            self._pauses[target] = pause
            self._suspected_until[target] = now + pause


class FakeNode:
    """A process of a node."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.frozen = False
        self.crashed = False
        self.live = dict(fleet.listed)
        self.in_force = fleet.in_force
        self.inbox = deque()
        self.peers = FakePeers(fleet, self)
        self.votes = Votes(name, lambda: self.live)
        limits = (self.limit_of, lambda: tuple(fleet.workspaces))
        self.limiter = Limiter(
            LimiterContext(*limits, lambda: len(fleet.names), fleet.now),
            self.votes,
        )
        self.client = RateLimits(
            FleetView(
                name,
                lambda: self.live,
                lambda: len(fleet.names),
                fleet.now,
            ),
            self.peers,
            self.limiter,
            *limits,
            draw=fleet.random.random,
        )
        self._task = fleet.loop.create_task(self._run())

    @property
    def up(self):
        return not self.frozen and not self.crashed

    def limit_of(self, workspace):
        return self.in_force.get(workspace, LimitInForce(None, Revision(0)))

    def crash(self):
        self.crashed = True
        self._task.cancel()

    def wake(self):
        self.frozen = False
        while self.inbox:
            self.inbox.popleft()()

    def handle(self, message):
        if isinstance(message, Acquire):
            return Acquired(self.limiter.acquire(message))
        return self.limiter.report(message)

    async def _run(self):
        while True:
            if not self.frozen:
                self.fleet.messages[self.name] += 1
                self.fleet.background(self.client.report())
            await asyncio.sleep(REPORT_INTERVAL)


class LimitedFleet:
    """Nodes, their network, list and configuration, and what they granted.

    Attributes:
        names: registered nodes.
        cut: pairs (sender, receiver) between which messages are lost.
        lose: part of the messages that are lost between any nodes.
        granted: times of granted operations by workspace.
        refused: times of refused operations by workspace.
    """

    def __init__(self, loop, count=5, seed=1, delay=0.005):
        self.loop = loop
        self.random = random.Random(seed)
        self.names = [VmId(f'n{number}') for number in range(count)]
        self.listed = dict.fromkeys(self.names, 1.0)
        self.cut = set()
        self.lose = 0.0
        self.delay = delay
        self.workspaces = [W]
        self.in_force = {}
        self.limits = []
        self.revision = 0
        self.granted = {}
        self.refused = {}
        self.refusals = []
        self.messages = Counter()
        self.sent = Counter()
        self.tasks = set()
        self.nodes = {name: FakeNode(self, name) for name in self.names}

    def now(self):
        return self.loop.time()

    def background(self, coroutine):
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def configure(self, rate, burst, lag=MAX_LAG, workspace=W):
        """Changes the limit; nodes learn of it within ``lag`` seconds."""
        self.revision += 1
        limit = LimitInForce(RateLimit(rate, burst), Revision(self.revision))
        if workspace not in self.workspaces:
            self.workspaces.append(workspace)
        self.in_force = {**self.in_force, workspace: limit}
        self.limits.append((self.now(), limit.limit))
        for node in self.nodes.values():
            self._later(lag, self._apply, node, self.in_force)

    def send(self, node, target, message):
        """Sends a message; its reply comes back unless it is lost."""
        answer = self.loop.create_future()
        answer.add_done_callback(lambda done: done.exception())
        self.sent[type(message).__name__] += 1
        lost = self.random.random() < self.lose
        if not lost and (node.name, target) not in self.cut:
            self._in_transit(self._arrive, node, target, message, answer)
        return answer

    def kill(self, name):
        self.nodes[name].crash()
        self.loop.call_later(LEASE_TTL, self._list)

    def restart(self, name):
        self.nodes[name].crash()
        self.nodes[name] = FakeNode(self, name)
        self._list()

    def freeze(self, name):
        self.nodes[name].frozen = True
        self.loop.call_later(LEASE_TTL, self._list)

    def wake(self, name):
        self.nodes[name].wake()
        self._list()

    def part(self, apart, one_way=False):
        """Cuts nodes off from all others; one way: only what they receive."""
        self.cut = {
            (sender, receiver)
            for sender in self.names
            for receiver in self.names
            if (sender in apart) is not (receiver in apart)
            and (receiver in apart or not one_way)
        }

    async def operate(self, name, workspace=W):
        """Runs one operation at a node, unless the node is not up."""
        node = self.nodes[name]
        if not node.up:
            return None
        refusal = await node.client.admit(workspace)
        if node.crashed:
            return refusal
        ended = self.granted if refusal is None else self.refused
        ended.setdefault(workspace, []).append(self.now())
        if refusal is not None:
            self.refusals.append((self.now(), name, refusal))
        return refusal

    async def load(self, rates, seconds, step=0.04, workspace=W):
        """Runs operations at given rates per second by node."""
        owed = dict.fromkeys(rates, 0.0)
        until = self.now() + seconds
        while self.now() < until:
            for name, rate in rates.items():
                owed[name] += rate * step
                while owed[name] >= 1:
                    owed[name] -= 1
                    self.background(self.operate(name, workspace))
            await asyncio.sleep(step)

    def limiters(self, workspace=W):
        """Nodes that hold the workspace's bucket at present."""
        now = self.now()
        return [
            name
            for name, node in self.nodes.items()
            if node.up and node.votes.tenure(workspace, now)
        ]

    def _list(self):
        """Updates the store's list; nodes learn of it with a lag."""
        self.listed = {name: 1.0 for name in self.names if self.nodes[name].up}
        for node in self.nodes.values():
            self._later(MAX_LAG, self._apply_list, node, self.listed)

    def _apply(self, node, in_force):
        revision = max(limit.revision for limit in in_force.values())
        known = [limit.revision for limit in node.in_force.values()]
        if revision > max(known, default=0):
            node.in_force = in_force

    def _apply_list(self, node, listed):
        # A later list may have been applied with a shorter lag.
        node.live = dict(self.listed) if node.up else listed

    def _arrive(self, node, target, message, answer):
        receiver = self.nodes[target]
        if receiver.crashed:
            if not answer.done():
                answer.set_exception(PeerNotReached(target, 'refused'))
            return
        if receiver.frozen:
            receiver.inbox.append(
                lambda: self._arrive(node, target, message, answer)
            )
            return
        reply = receiver.handle(message)
        if (target, node.name) not in self.cut:
            self._in_transit(self._reply, answer, reply)

    def _reply(self, answer, reply):
        if not answer.done():
            answer.set_result(reply)

    def _in_transit(self, call, *arguments):
        delay = self.delay * (0.5 + self.random.random())
        self.loop.call_later(delay, call, *arguments)

    def _later(self, lag, call, *arguments):
        self.loop.call_later(lag * self.random.random(), call, *arguments)
