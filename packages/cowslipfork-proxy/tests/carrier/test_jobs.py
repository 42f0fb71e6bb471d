import asyncio

import pytest

from cowslipfork.ids import (
    EndpointId,
    GroupName,
    Mark,
    Position,
    RequestId,
    TeamName,
    Term,
)
from cowslipfork.outcomes import Done, NotRun, Reason, Refused, Unknown
from cowslipfork.requests import Answer, Operation, Request
from cowslipfork_proxy.carrier._grants import Grant
from cowslipfork_proxy.carrier._jobs import JobTable, run_job
from cowslipfork_proxy.endpoints import ConnectionBroken, EndpointRefused

PRIMARY = EndpointId('a')
TERM = Term(3)
MARK = Mark(TERM, Position(8))
JOB = "INSERT INTO batches VALUES (1, 'x')"
STEPS = ('CREATE', 'BEGIN', 'INSERT INTO cowslipfork', JOB, 'UPDATE', 'COMMIT')


class ScriptedConnection:
    """A primary that fails at the statement with a given beginning."""

    endpoint = PRIMARY
    term = TERM

    def __init__(self, failing='', failure=None, recorded=None):
        self.failing = failing
        self.failure = failure
        self.recorded = recorded
        self.sent = []
        self.closed = False

    async def command(self, sql, timeout):
        self.sent.append(sql)
        if self.failing and sql.startswith(self.failing):
            raise self.failure
        if self.recorded and sql.startswith('INSERT INTO cowslipfork'):
            raise EndpointRefused(PRIMARY, 1062, 'Duplicate entry')
        return Answer(affected_rows=1, last_insert_id=7, endpoint=PRIMARY)

    async def fetch(self, sql, timeout):
        return [self.recorded]

    def close(self):
        self.closed = True


async def run(connection, acknowledged=MARK, sql=JOB):
    released = []
    request = Request(
        GroupName('orders'),
        None,
        Operation.WRITE,
        sql,
        TeamName('secretaries'),
        deadline=asyncio.get_running_loop().time() + 20,
        request_id=RequestId('r1'),
    )

    async def acknowledge(term, deadline):
        assert released
        return acknowledged

    grant = Grant(connection, lambda: released.append(True))
    outcome = await run_job(request, grant, JobTable(), acknowledge)
    assert released == [True]
    return outcome


def broken():
    return ConnectionBroken(PRIMARY, 'reset')


def refused(errno):
    return EndpointRefused(PRIMARY, errno, 'no')


async def test_a_job_and_its_id_commit_together():
    connection = ScriptedConnection()

    outcome = await run(connection)

    assert outcome == Done(outcome.answer)
    assert (outcome.answer.last_insert_id, outcome.answer.mark) == (7, MARK)
    assert len(connection.sent) == len(STEPS)
    assert all(
        sent.startswith(step)
        for sent, step in zip(connection.sent, STEPS, strict=True)
    )


@pytest.mark.parametrize(
    ('failing', 'failure', 'expected'),
    [
        # Before COMMIT was sent nothing can last.
        *((step, broken(), NotRun) for step in STEPS[:-1]),
        ('COMMIT', broken(), Unknown),
        # The endpoint refuses unrun.
        *(
            (step, refused(errno), NotRun)
            for step in STEPS
            for errno in (4701, 4702, 1290)
        ),
        # An earlier attempt may hold the id and commit yet.
        ('INSERT INTO cowslipfork', refused(1205), Unknown),
        (JOB, refused(1213), Unknown),
        # The job itself is wrong.
        (JOB, refused(1064), Refused),
        (JOB, refused(1062), Refused),
    ],
)
async def test_failure_point_decides_the_outcome(failing, failure, expected):
    connection = ScriptedConnection(failing, failure)

    outcome = await run(connection)

    assert isinstance(outcome, expected)
    committed = 'COMMIT' in connection.sent
    if expected is Refused:
        assert not committed
        assert 'ROLLBACK' in connection.sent


async def test_without_a_majority_a_committed_job_is_unknown():
    outcome = await run(ScriptedConnection(), acknowledged=None)

    assert outcome.request_id == 'r1'
    assert isinstance(outcome, Unknown)


async def test_a_repeat_gets_the_recorded_figures_and_waits_for_majority():
    first = ScriptedConnection()
    await run(first)
    digest = first.sent[2].split("'")[3]
    repeat = ScriptedConnection(recorded=(digest, '5', '42'))

    outcome = await run(repeat)

    assert JOB not in repeat.sent
    assert (outcome.answer.affected_rows, outcome.answer.last_insert_id) == (
        5,
        42,
    )
    again = ScriptedConnection(recorded=(digest, '5', '42'))
    assert isinstance(await run(again, acknowledged=None), Unknown)


async def test_another_statement_under_the_same_id_is_refused():
    repeat = ScriptedConnection(recorded=('another', '1', '1'))

    outcome = await run(repeat)

    assert outcome.reason is Reason.REQUEST_ID_REUSED
    assert JOB not in repeat.sent
