from __future__ import annotations

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from cowslipfork.ids import Mark, Position, Term
from cowslipfork.outcomes import Done, NotRun, Reason, Refused, Unknown
from cowslipfork.requests import Answer, Operation, Request, classify
from cowslipfork_proxy.callers.failures import CallerFailure
from cowslipfork_proxy.callers.session import CallerSession

from .conftest import GROUP, example

OUTCOMES = st.sampled_from(
    ('done', 'done', 'done', 'refused', 'deadlock', 'not run', 'unknown'),
)
FAILING = frozenset(('deadlock', 'not run', 'unknown'))
NONE, OPEN, FAILED = 'none', 'open', 'failed'


class CallerMachine(RuleBasedStateMachine):
    """One caller against a Run with random outcomes and a plain model."""

    def __init__(self) -> None:
        super().__init__()
        configuration = example()
        self.session = CallerSession(self.serve, lambda: configuration)
        self.session.username = 'editors'
        self.session.database = 'observances'
        self.model = NONE
        self.outcome = 'done'
        self.seen: list[Request] = []
        self.open_at_carrier: set[str] = set()
        self.written: Mark | None = None
        self.position = 0

    async def serve(self, request: Request):
        self.seen.append(request)
        if request.operation is Operation.ROLLBACK:
            self.open_at_carrier.discard(request.transaction)
            return Done(Answer())
        if self.outcome == 'not run':
            return NotRun(Reason.QUEUE_FULL, 1)
        if self.outcome == 'unknown':
            if request.operation is Operation.COMMIT:
                self.open_at_carrier.discard(request.transaction)
            if request.operation is Operation.BEGIN:
                self.open_at_carrier.add(request.transaction)
            self.land(request)
            return Unknown(None)
        if self.outcome in {'refused', 'deadlock'}:
            errno = 1062 if self.outcome == 'refused' else 1213
            self.open_at_carrier.discard(
                request.operation is Operation.COMMIT and request.transaction,
            )
            return Refused(errno, 'HY000', 'no')
        return self.done(request)

    def done(self, request: Request):
        if request.operation is Operation.BEGIN:
            self.open_at_carrier.add(request.transaction)
        if request.operation is Operation.COMMIT:
            self.open_at_carrier.discard(request.transaction)
        return Done(Answer(mark=self.land(request)))

    def land(self, request: Request) -> Mark | None:
        """Writes an entry of the log, if the request is to write one."""
        alone = request.transaction is None
        commits = request.operation is Operation.COMMIT
        if not commits and not (alone and request.operation is Operation.WRITE):
            return None
        self.position += 1
        self.written = Mark(Term(1), Position(self.position))
        return self.written

    def ask(self, sql: str, outcome: str) -> str:
        """Gives how the caller sees it: done, failed or refused unasked."""
        self.outcome = outcome
        self.seen = []
        answer = self.session.answer(sql, classify(sql).ok, {})
        try:
            ended = asyncio.run(answer)
        except CallerFailure:
            return 'unasked'
        return 'done' if isinstance(ended, Done) else 'failed'

    @rule(
        outcome=OUTCOMES,
        sql=st.sampled_from(('SELECT a FROM t', 'DELETE FROM t')),
    )
    def statement(self, sql, outcome):
        seen = self.ask(sql, outcome)
        if self.model == FAILED:
            assert (seen, self.seen) == ('unasked', [])
            return
        (request,) = self.seen
        assert (request.transaction is None) == (self.model == NONE)
        assert self.model == NONE or (
            outcome in FAILING or request.transaction in self.open_at_carrier
        )
        if self.model == OPEN and outcome in FAILING:
            self.model = FAILED

    @rule(outcome=OUTCOMES)
    def begin(self, outcome):
        seen = self.ask('BEGIN', outcome)
        self.model = OPEN if seen == 'done' else NONE

    @rule(outcome=OUTCOMES)
    def commit(self, outcome):
        seen = self.ask('COMMIT', outcome)
        asked = [request.operation for request in self.seen]
        if self.model == FAILED:
            assert (seen, asked) == ('failed', [Operation.ROLLBACK])
        elif self.model == OPEN:
            assert asked[0] is Operation.COMMIT
            assert (seen == 'done') == (outcome == 'done')
        else:
            assert (seen, asked) == ('done', [])
        self.model = NONE

    @rule()
    def rollback(self):
        assert self.ask('ROLLBACK', 'done') == 'done'
        self.model = NONE

    @invariant()
    def nothing_stays_open_at_the_carrier(self):
        assert self.model != NONE or not self.open_at_carrier
        assert self.session.in_transaction == (self.model != NONE)

    @invariant()
    def marks_are_the_whole_of_what_was_written(self):
        if self.model != NONE:
            return
        self.ask('SELECT a FROM t', 'done')
        (request,) = self.seen
        if request.marks is not None:
            assert request.marks.get(GROUP) == self.written


TestCaller = CallerMachine.TestCase
TestCaller.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=20,
    deadline=None,
)
