"""Operators against the store's faults, compared with what they were told."""

import asyncio
import itertools
import os

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from cowslipfork.changes.accept import ConfigurationHistory
from cowslipfork.changes.change import Change, Conflict, Unavailable
from cowslipfork.changes.records import (
    CURRENT_KEY,
    audit_key,
    configuration_key,
    decode_audit,
    decode_configuration,
)
from cowslipfork.store.memory import Fault, MemoryStore

FAULTS = strategies.sampled_from((None, *Fault))
OPERATORS = strategies.sampled_from(('ada', 'salma', 'omar'))
PAUSES = strategies.lists(strategies.integers(0, 3), max_size=20)


async def no_problems(base, overlays):
    return ()


class AcceptMachine(RuleBasedStateMachine):
    """Ground truth is what operators were told, never the code's own state."""

    @initialize()
    def start(self):
        self.runner = asyncio.Runner()
        self.pauses = iter(())
        self.store = MemoryStore(self.pause)
        self.log = ConfigurationHistory(self.store, lambda: 0, no_problems)
        self.ids = itertools.count()
        self.sent = {}
        self.accepted = {}
        self.possible = set()

    async def pause(self, operation):
        for _ in range(next(self.pauses, 0)):
            await asyncio.sleep(0)

    def propose(self, operator, lag):
        """Starts a change from a revision that an operator saw."""
        seen = max(0, len(self.trail()) - lag)
        change_id = f'{seen}-{next(self.ids)}'
        text = f'# {change_id}'
        change = Change(seen, text, {}, operator, 'why', change_id)
        self.sent[change_id] = change
        return change

    def break_store(self, fault):
        if fault is Fault.DOWN:
            self.store.fail(fault)
        elif fault is not None:
            self.store.fail_once(fault)

    def send(self, changes, pauses=()):
        async def all_at_once():
            self.pauses = iter(pauses)
            calls = (self.log.accept(change) for change in changes)
            return await asyncio.gather(*calls)

        results = self.runner.run(all_at_once())
        for change, result in zip(changes, results, strict=True):
            self.learn(change, result)

    def learn(self, change, result):
        if result.is_ok():
            told = self.accepted.setdefault(
                change.change_id,
                result.ok.revision,
            )
            assert told == result.ok.revision
            return
        refusal = result.error
        assert isinstance(refusal, Unavailable | Conflict)
        assert change.change_id not in self.accepted or isinstance(
            refusal,
            Unavailable,
        )
        if isinstance(refusal, Unavailable) and refusal.may_have_landed:
            self.possible.add(change.change_id)

    @rule(operator=OPERATORS, lag=strategies.integers(0, 2), fault=FAULTS)
    def accept(self, operator, lag, fault):
        self.break_store(fault)
        self.send([self.propose(operator, lag)])
        self.store.heal()

    @rule(
        operators=strategies.lists(OPERATORS, min_size=2, max_size=4),
        pauses=PAUSES,
        fault=FAULTS,
    )
    def race(self, operators, pauses, fault):
        self.break_store(fault)
        self.send([self.propose(name, 0) for name in operators], pauses)
        self.store.heal()

    @rule(choice=strategies.randoms(use_true_random=False), pauses=PAUSES)
    def repeat(self, choice, pauses):
        if self.sent:
            change = choice.choice(list(self.sent.values()))
            self.send([change, change], pauses)

    @rule()
    def deliver_late(self):
        self.store.apply_late_writes()

    def trail(self):
        """Reads the audit trail behind the faults."""
        entries = self.store._entries
        found = itertools.takewhile(
            lambda key: key in entries,
            map(audit_key, itertools.count(1)),
        )
        return [decode_audit(key, entries[key].content) for key in found]

    @invariant()
    def revisions_rise_by_one_with_one_audit_record_each(self):
        entries = self.store._entries
        trail = self.trail()
        audits = [key for key in entries if key.startswith('/cowslipfork/aud')]
        assert len(audits) == len(trail)
        if trail:
            current = entries[CURRENT_KEY].content
            newest = configuration_key(len(trail))
            assert current == entries[newest].content
            record = decode_configuration(newest, current)
            assert record.revision == len(trail)

    @invariant()
    def no_accepted_change_is_lost_and_none_is_doubled(self):
        landed = [record.change_id for record in self.trail()]
        assert len(landed) == len(set(landed))
        for change_id, revision in self.accepted.items():
            assert landed[revision - 1] == change_id
        assert set(landed) <= self.accepted.keys() | self.possible

    def teardown(self):
        if hasattr(self, 'runner'):
            self.runner.close()


# `SOAK=20 pytest --hypothesis-seed=7 <this file>` runs twenty times as long
# with a seed; without SOAK the verdict is the same on each run.
SOAK = int(os.environ.get('SOAK', '0'))
AcceptMachine.TestCase.settings = settings(
    derandomize=not SOAK,
    database=None,
    deadline=None,
    max_examples=100 * max(SOAK, 1),
    stateful_step_count=30,
    print_blob=True,
)
TestAcceptMachine = AcceptMachine.TestCase
