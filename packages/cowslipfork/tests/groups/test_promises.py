"""Random histories of faults, callers and promotions; promises must hold.

``COWSLIPFORK_SOAK=2000 pytest <this file> -s`` runs that many examples with a
new seed, which is printed; ``COWSLIPFORK_SEED`` repeats one.
"""

import asyncio
import os
import random

from cluster import Cluster
from expression import Result
from fake_group import FakeControl
from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from virtual_time import VirtualLoop, now

from cowslipfork.configuration import AgeRule, FreshRule, SessionRule
from cowslipfork.groups import EndpointSilent
from cowslipfork.ids import SessionId
from cowslipfork.reads import choose, need_of
from cowslipfork.sessions.marks import SessionMarks
from cowslipfork.store.memory import Fault

SOAK = int(os.environ.get('COWSLIPFORK_SOAK', '0'))
EXAMPLES = SOAK or 40
STEPS = 30
SESSIONS = [SessionId('s1'), SessionId('s2')]

nodes = st.integers(0, 2)
endpoints = st.sampled_from(['e1', 'e2', 'e3'])
ends = st.sampled_from(['e1', 'e2', 'e3', 'n1', 'n2', 'n3'])


class Promises(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.numbers = 0
        self.callers = set()
        self.runner.run(self._start())

    async def _start(self):
        self.cluster = Cluster()
        self.cluster.start()
        # Sessions are served by one carrier at a time, as marks demand.
        self.marks = SessionMarks(capacity=1)
        self.written = {name: [] for name in SESSIONS}
        await asyncio.sleep(0.3)

    @property
    def servers(self):
        return self.cluster.group.servers

    async def _background(self, work):
        task = asyncio.create_task(work)
        self.callers.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task):
        self.callers.discard(task)
        if not task.cancelled() and task.exception():
            self.cluster.broken.append(task.exception())

    # Callers.

    @rule(node=nodes, session=st.sampled_from(SESSIONS))
    def write(self, node, session):
        self.numbers += 1
        self.runner.run(self._background(self._write(node, session)))

    async def _write(self, node, session):
        entry = (session, self.numbers)
        mark = await self.cluster.nodes[node].write(entry)
        if mark is not None:
            self.marks.note(session, mark)
            self.written[session].append(entry)

    @rule(
        node=nodes,
        session=st.sampled_from(SESSIONS),
        reading=st.sampled_from([FreshRule(), SessionRule(), AgeRule(0.3)]),
        primary_reads=st.booleans(),
    )
    def read(self, node, session, reading, primary_reads):
        self.runner.run(
            self._background(self._read(node, session, reading, primary_reads))
        )

    async def _read(self, node, session, reading, primary_reads):
        own = list(self.written[session])
        acknowledged = list(self.cluster.acknowledged)
        tracker = self.cluster.nodes[node].tracker
        need = need_of(reading, self.marks.floor(session))
        chosen = await choose(
            tracker,
            need,
            lambda endpoint: 0,
            now() + 1,
            primary_reads=primary_reads,
        )
        match chosen:
            case Result(tag='ok', ok=candidates):
                chosen_at = now()
            case _:
                return
        seen = await self._ask(node, candidates[0])
        if seen is None:
            return
        expected = {
            FreshRule(): acknowledged,
            SessionRule(): own,
            AgeRule(0.3): [
                entry
                for entry, known in self.cluster.acknowledged.items()
                if known.at < chosen_at - 0.3
            ],
        }[reading]
        missing = [entry for entry in expected if entry not in seen]
        if missing:
            self.cluster.broken.append(('read', reading, missing))

    async def _ask(self, node, candidate):
        control = FakeControl(
            self.cluster.group,
            self.cluster.nodes[node].name,
            candidate.endpoint,
        )

        def entries():
            # A statement of another term is refused unrun.
            if control.server.term == candidate.term:
                return {entry for _, entry in control.server.log}
            return None

        try:
            return await control.ask(0.25, entries)
        except EndpointSilent:
            return None

    @rule(seconds=st.sampled_from([0.002, 0.01, 0.05, 0.3, 1]))
    def time_passes(self, seconds):
        self.runner.run(asyncio.sleep(seconds))

    # Faults.

    @rule(name=endpoints)
    def kill_endpoint(self, name):
        self.servers[name].dead = True

    @rule(name=endpoints)
    def restart_endpoint(self, name):
        if self.servers[name].dead:
            self.servers[name].restart()

    @rule(name=endpoints)
    def freeze_endpoint(self, name):
        self.servers[name].thawed.clear()

    @rule(name=endpoints)
    def thaw_endpoint(self, name):
        self.servers[name].thawed.set()

    @rule(name=endpoints, lag=st.sampled_from([0, 0.05, 2]))
    def lag(self, name, lag):
        self.servers[name].lag = lag

    @rule(name=endpoints, leaving=st.booleans())
    def leave(self, name, leaving):
        self.servers[name].leaving = leaving

    @rule(one=ends, other=ends)
    def cut(self, one, other):
        self.cluster.group.cut(one, other)

    @rule()
    def heal_network(self):
        self.cluster.group.heal()
        self.cluster.isolated.clear()

    @rule(node=nodes, name=endpoints)
    def silence_connection(self, node, name):
        self.cluster.group.deaf.add((self.cluster.nodes[node].name, name))

    @rule(node=nodes)
    def isolate_node(self, node):
        self.cluster.isolated.add(self.cluster.nodes[node].name)

    @rule(node=nodes)
    def pause_node(self, node):
        self.cluster.nodes[node].fatal.awake.clear()

    @rule(node=nodes)
    def wake_node(self, node):
        self.cluster.nodes[node].fatal.awake.set()

    @rule(node=nodes, calls=st.integers(1, 7), side=st.booleans())
    def node_dies_soon(self, node, calls, side):
        fatal = self.cluster.nodes[node].fatal
        name = 'dies_before' if side else 'dies_after'
        setattr(fatal, name, fatal.calls + calls)

    @rule(node=nodes, rank=st.integers(0, 2))
    def restart_node(self, node, rank):
        self.runner.run(self._restart(self.cluster.nodes[node], rank))

    async def _restart(self, node, rank):
        node.kill()
        await asyncio.sleep(0)
        node.rank = rank
        node.start()

    @rule(
        fault=st.sampled_from(
            [
                Fault.LOST_ANSWER,
                Fault.LOST_REQUEST,
                Fault.LATE_WRITE,
            ]
        )
    )
    def store_loses(self, fault):
        self.cluster.store.fail_once(fault)

    @rule()
    def store_down(self):
        self.cluster.store.fail(Fault.DOWN)

    @rule()
    def store_up(self):
        self.cluster.store.heal()

    @rule()
    def store_writes_late(self):
        self.cluster.store.deliver_late()

    @invariant()
    def promises_hold(self):
        broken = self.runner.run(self._broken())
        assert not broken, broken

    async def _broken(self):
        return self.cluster.promises_broken()

    def teardown(self):
        try:
            self.runner.run(self._recover())
        finally:
            self.runner.close()

    async def _recover(self):
        """After all faults have ended, the group serves again."""
        self.cluster.group.heal()
        self.cluster.isolated.clear()
        self.cluster.store.heal()
        for server in self.servers.values():
            server.leaving, server.lag = False, 0
            server.thawed.set()
            if server.dead:
                server.restart()
        for rank, node in enumerate(self.cluster.nodes):
            await self._restart(node, rank)
        await self.cluster.until_serving(term=1, seconds=20)
        await asyncio.gather(*self.callers)
        broken = self.cluster.promises_broken()
        await self.cluster.stop()
        assert not broken, broken


def test_promises_hold_through_all_faults():
    number = int(os.environ.get('COWSLIPFORK_SEED', '0'))
    if SOAK and not number:
        number = random.SystemRandom().getrandbits(32)
    if number:
        print(f'COWSLIPFORK_SEED={number}')
        seed(number)(Promises)
    run_state_machine_as_test(
        Promises,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            database=None,
            derandomize=not number,
            print_blob=False,
            suppress_health_check=list(HealthCheck),
        ),
    )
