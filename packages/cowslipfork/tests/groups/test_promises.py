"""Random histories of faults, requests and promotions; guarantees must hold.

``COWSLIPFORK_SOAK=2000 pytest <this file> -s`` runs that many examples with a
new seed, which is printed; ``COWSLIPFORK_SEED`` repeats one.
"""

import asyncio
import itertools
import os
import random

from cluster import Cluster
from expression import Result
from fake_group import FakeControl
from hypothesis import HealthCheck, Phase, seed, settings
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
from cowslipfork.reads import choose_endpoints, read_requirement
from cowslipfork.sessions.marks import SessionMarks
from cowslipfork.store.memory import Fault

SOAK = int(os.environ.get('COWSLIPFORK_SOAK', '0'))
EXAMPLES = SOAK or 12
STEPS = 12

NODES = st.integers(0, 2)
ENDPOINTS = st.sampled_from(['e1', 'e2', 'e3'])
LINK_ENDS = st.sampled_from(['e1', 'e2', 'e3', 'n1', 'n2', 'n3'])
WAITS = st.sampled_from([0.002, 0.02, 0.1, 0.3, 0.6, 1.5])

ON_PRIMARY = [
    'kill',
    'freeze',
    'leave',
    'restart',
    'lose replicas',
    'lose others',
    'lose one replica',
]
ON_ENDPOINT = [
    'kill',
    'restart',
    'freeze',
    'thaw',
    'lag',
    'leave',
    'silence connections',
]
ON_NODE = ['isolate', 'pause', 'wake', 'restart']
ON_STORE = [
    Fault.LOST_ANSWER,
    Fault.LOST_REQUEST,
    Fault.LATE_WRITE,
    Fault.DOWN,
]
CRASHES = ['dies_before', 'dies_after']

FAULTS = st.one_of(
    st.tuples(st.just('primary'), st.sampled_from(ON_PRIMARY)),
    st.tuples(st.just('primary'), st.sampled_from(ON_PRIMARY)),
    st.tuples(st.just('endpoint'), st.sampled_from(ON_ENDPOINT), ENDPOINTS),
    st.tuples(st.just('link'), LINK_ENDS, LINK_ENDS),
    st.tuples(st.just('node'), st.sampled_from(ON_NODE), NODES),
    st.tuples(
        st.just('claim'), NODES, st.integers(1, 7), st.sampled_from(CRASHES)
    ),
    st.permutations([0, 0, 1]).map(lambda ranks: ('ranks', *ranks)),
    st.tuples(st.just('store'), st.sampled_from(ON_STORE)),
)

#: Seconds between the statements of a caller.
THINK_TIME = 0.08
READ_CASES = [
    (reading, primary_reads)
    for primary_reads in (True, False)
    for reading in (FreshRule(), SessionRule(), AgeRule(0.3))
]


class Promises(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.numbers = itertools.count()
        self.runner.run(self._start())

    async def _start(self):
        self.cluster = Cluster()
        self.cluster.start()
        # Each session is served by one carrier at a time, as the session marks
        # require.
        self.marks = SessionMarks(capacity=2)
        self.written = {f's{number}': [] for number in range(3)}
        self.callers = [
            asyncio.create_task(self._call(node, session))
            for node, session in enumerate(self.written)
        ]
        await asyncio.sleep(0.3)

    @property
    def servers(self):
        return self.cluster.group.servers

    # Callers: one for each node, each with its own session.

    async def _call(self, node, session):
        for number in itertools.count(node):
            await asyncio.sleep(THINK_TIME)
            if not self.cluster.nodes[node].alive:
                continue
            if number % 3 == 0:
                await self._write(node, session)
            else:
                reading = READ_CASES[number % len(READ_CASES)]
                await self._read(node, session, *reading)

    async def _write(self, node, session):
        entry = (session, next(self.numbers))
        mark = await self.cluster.nodes[node].write(entry, 0.3)
        if mark is not None:
            self.marks.record_write(session, mark)
            self.written[session].append(entry)

    async def _read(self, node, session, reading, primary_reads):
        own = list(self.written[session])
        acknowledged = list(self.cluster.acknowledged)
        tracker = self.cluster.nodes[node].tracker
        chosen = await choose_endpoints(
            tracker,
            read_requirement(reading, self.marks.minimum_mark(session)),
            lambda endpoint: 0,
            now() + 0.3,
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
            # A statement that is bound to another term is refused and not run.
            if control.server.term == candidate.term:
                return {entry for _, entry in control.server.log}
            return None

        try:
            return await control.ask(0.25, entries)
        except EndpointSilent:
            return None

    # Faults.

    @rule(faults=st.lists(FAULTS, min_size=1, max_size=3), wait=WAITS)
    def inject_faults(self, faults, wait):
        for target, *details in faults:
            getattr(self, f'_inject_{target}')(*details)
        self._wait(wait)

    def _inject_primary(self, action):
        primary = self.cluster.primary()
        others = [name for name in self.servers if name != primary.name]
        match action:
            case 'lose replicas':
                self._cut(primary.name, others)
            case 'lose others':
                self._cut(primary.name, (*others, 'n1', 'n2'))
            case 'lose one replica':
                self._cut(primary.name, others[:1])
            case _:
                self._inject_endpoint(action, primary.name)

    def _cut(self, one, others):
        for other in others:
            self.cluster.group.cut(one, other)

    def _inject_endpoint(self, action, name):
        server = self.servers[name]
        match action:
            case 'kill':
                server.dead = True
            case 'restart':
                server.dead = True
                server.restart()
            case 'freeze':
                server.not_frozen.clear()
            case 'thaw':
                server.not_frozen.set()
            case 'lag':
                server.lag = 0.5
            case 'leave':
                server.leaving = True
            case 'silence connections':
                for node in self.cluster.nodes:
                    self.cluster.group.stalled_connections.add(
                        (node.name, name)
                    )

    def _inject_link(self, one, other):
        self.cluster.group.cut(one, other)

    def _inject_node(self, action, node):
        target = self.cluster.nodes[node]
        match action:
            case 'isolate':
                self.cluster.isolated.add(target.name)
            case 'pause':
                target.crash_injector.awake.clear()
            case 'wake':
                target.crash_injector.awake.set()
            case 'restart':
                self.runner.run(self._restart(target, node))

    def _inject_claim(self, node, calls, side):
        crash_injector = self.cluster.nodes[node].crash_injector
        setattr(crash_injector, side, crash_injector.calls + calls)

    def _inject_ranks(self, *ranks):
        for node, rank in zip(self.cluster.nodes, ranks, strict=True):
            node.rank = rank

    def _inject_store(self, fault):
        if fault is Fault.DOWN:
            self.cluster.store.fail(fault)
        else:
            self.cluster.store.fail_once(fault)

    async def _restart(self, node, rank):
        node.kill()
        await asyncio.sleep(0)
        node.rank = rank
        node.start()

    @rule(wait=st.sampled_from([0.1, 0.5, 1, 2]))
    def end_faults(self, wait):
        self.runner.run(self._end_faults())
        self._wait(wait)

    async def _end_faults(self):
        """Ends all faults but scheduled crashes; restarts crashed nodes."""
        self.cluster.group.heal()
        self.cluster.isolated.clear()
        self.cluster.store.heal()
        self.cluster.store.apply_late_writes()
        for server in self.servers.values():
            server.leaving, server.lag = False, 0
            server.not_frozen.set()
            if server.dead:
                server.restart()
        for rank, node in enumerate(self.cluster.nodes):
            node.crash_injector.awake.set()
            if not node.alive:
                await self._restart(node, rank)

    def _wait(self, seconds):
        self.runner.run(asyncio.sleep(seconds))

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
        """Ends all faults and checks that the group serves again."""
        await self._end_faults()
        for rank, node in enumerate(self.cluster.nodes):
            # This also removes scheduled crashes that have not happened yet.
            await self._restart(node, rank)
        await self.cluster.until_serving(term=1, seconds=20)
        broken = self.cluster.promises_broken()
        ended = [task for task in self.callers if task.done()]
        for task in self.callers:
            task.cancel()
        await asyncio.gather(*self.callers, return_exceptions=True)
        await self.cluster.stop()
        assert not ended, ended
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
            # Shrinking a failing history takes minutes; do it by hand.
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )
