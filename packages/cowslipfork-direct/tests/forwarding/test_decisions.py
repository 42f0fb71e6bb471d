"""Tables of the decisions after a failed try."""

import pytest
from direct_fakes.world import statement

from cowslipfork.configuration import FreshRule
from cowslipfork.outcomes import Done, NotRun, Reason, Unknown
from cowslipfork_direct.answers import Answer, Failed
from cowslipfork_direct.forwarding.decisions import (
    FailedTry,
    Failure,
    Work,
    declined,
    final_outcome,
    may_try_next,
    next_node,
    work_in_transaction,
    work_of_single,
)
from cowslipfork_direct.routes import Route
from cowslipfork_direct.work import StatementRequest

ABORTED = (NotRun, Reason.TRANSACTION_LOST)
UNKNOWN = (Unknown, Reason.OUTCOME_UNKNOWN)
TIMED_OUT = (Unknown, Reason.DEADLINE)
NO_CARRIER = (NotRun, Reason.NO_CARRIER)

#: The failure table of docs/design/shared-access.md: what was done, how the try
#: failed, whether the next node is tried, and the outcome if none is left.
FAILURES = [
    (Work.READ, Failure.NOT_REACHED, True, NO_CARRIER),
    (Work.READ, Failure.DECLINED, True, NO_CARRIER),
    (Work.READ, Failure.LOST, True, TIMED_OUT),
    (Work.WRITE, Failure.NOT_REACHED, True, NO_CARRIER),
    (Work.WRITE, Failure.DECLINED, True, NO_CARRIER),
    (Work.WRITE, Failure.LOST, False, UNKNOWN),
    (Work.FIRST_IN_TRANSACTION, Failure.NOT_REACHED, True, ABORTED),
    (Work.FIRST_IN_TRANSACTION, Failure.DECLINED, True, ABORTED),
    (Work.FIRST_IN_TRANSACTION, Failure.LOST, False, ABORTED),
    (Work.IN_TRANSACTION, Failure.NOT_REACHED, False, ABORTED),
    (Work.IN_TRANSACTION, Failure.DECLINED, False, ABORTED),
    (Work.IN_TRANSACTION, Failure.LOST, False, ABORTED),
    (Work.COMMIT, Failure.NOT_REACHED, False, ABORTED),
    (Work.COMMIT, Failure.DECLINED, False, ABORTED),
    (Work.COMMIT, Failure.LOST, False, UNKNOWN),
]


def request(text):
    route = Route('db', 'g', FreshRule(), 0.8, 0.2, 1, 1)
    return StatementRequest(statement(text), route, {}, None, 0, 0.8, None)


@pytest.mark.parametrize(('work', 'failure', 'again', 'expected'), FAILURES)
def test_each_row_of_the_failure_table(work, failure, again, expected):
    """Guards against a write that runs twice and a promise that is broken."""
    assert may_try_next(work, failure) is again
    outcome = final_outcome(
        work, work is Work.COMMIT, FailedTry(failure, 'cause')
    )
    assert (type(outcome), outcome.reason) == expected
    assert outcome.detail == 'cause'


def test_the_table_is_complete():
    rows = {(work, failure) for work, failure, *_ in FAILURES}
    assert len(rows) == len(Work) * len(Failure)


def test_a_lost_commit_of_an_empty_transaction_is_unknown():
    failed = FailedTry(Failure.LOST, 'cause')
    outcome = final_outcome(Work.FIRST_IN_TRANSACTION, True, failed)
    assert isinstance(outcome, Unknown)


def test_a_refused_caller_is_told_when_to_retry():
    for work in Work:
        failed = FailedTry(Failure.NOT_REACHED, 'cause')
        assert final_outcome(work, False, failed).retry_after_ms > 0


@pytest.mark.parametrize(
    ('tried', 'unavailable', 'expected'),
    [
        ('', '', 'a'),
        ('a', '', 'b'),
        ('', 'a', 'b'),
        ('a', 'b', 'e'),
        ('', 'abe', 'e'),
        ('e', 'ab', None),
        ('abe', '', None),
    ],
)
def test_the_first_untried_available_node_is_next(tried, unavailable, expected):
    chosen = next_node('abe', 'e', tried, lambda node: node not in unavailable)
    assert chosen == expected


@pytest.mark.parametrize(
    ('text', 'single', 'first', 'later'),
    [
        ('READ', Work.READ, Work.FIRST_IN_TRANSACTION, Work.IN_TRANSACTION),
        ('WRITE', Work.WRITE, Work.FIRST_IN_TRANSACTION, Work.IN_TRANSACTION),
        ('COMMIT', Work.WRITE, Work.FIRST_IN_TRANSACTION, Work.COMMIT),
    ],
)
def test_work_follows_from_the_verb(text, single, first, later):
    made = request(text)
    assert work_of_single(made) is single
    assert work_in_transaction(made, first=True) is first
    assert work_in_transaction(made, first=False) is later


@pytest.mark.parametrize(
    ('outcome', 'expected'),
    [
        (NotRun(Reason.NO_CARRIER), True),
        (NotRun(Reason.DRAINING), True),
        (NotRun(Reason.NO_FREE_SLOT, 40), False),
        (NotRun(Reason.QUEUE_FULL, 40), False),
        (NotRun(Reason.NO_PRIMARY, 500), False),
        (Unknown(None), False),
        (Failed('x'), False),
        (Done(Answer()), False),
    ],
)
def test_a_node_without_room_has_not_declined(outcome, expected):
    """Guards against a refused statement that visits all other nodes."""
    assert declined(outcome) is expected
