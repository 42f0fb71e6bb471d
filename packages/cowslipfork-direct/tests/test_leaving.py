"""Statements that reach a node shortly before its process ends."""

import asyncio

import pytest
from direct_fakes.restore import now
from direct_fakes.world import AGED, FRESH, run, statement, world

from cowslipfork.outcomes import Done, NotRun, Reason, Unknown
from cowslipfork_direct.answers import SessionState
from cowslipfork_direct.leaving import MIN_TIME_LEFT

#: Seconds until everything must be answered.
LEFT = 2.0


def run_leaving(texts, *, after, service_time=0.005, database=FRESH):
    """Runs statements some time after a node was told to leave.

    Returns the last outcome, and the seconds left when it was there.
    """

    async def main():
        async with world(nodes=1) as cluster:
            cluster.configure(timeout=10)
            await asyncio.sleep(0.1)
            session = await cluster.session(database)
            answer_by = now() + LEFT
            cluster.nodes['n1'].start_leaving(answer_by)
            await asyncio.sleep(after)
            for text in texts[:-1]:
                await session.run(statement(text))
            for server in cluster.servers.values():
                server.service_time = service_time
            outcome = await session.run(statement(texts[-1]))
            ran = [
                ran
                for server in cluster.servers.values()
                for _, ran in server.statements
            ]
            return outcome, answer_by - now(), texts[-1] in ran

    return run(main())


STATEMENTS = (['WRITE a'], ['READ a'], ['BEGIN', 'WRITE a', 'COMMIT'])


@pytest.mark.parametrize('texts', STATEMENTS)
def test_a_statement_that_can_be_answered_in_time_is_served(texts):
    outcome, _, _ = run_leaving(texts, after=LEFT / 2)
    assert isinstance(outcome, Done)


@pytest.mark.parametrize('texts', STATEMENTS)
def test_a_statement_that_comes_too_late_is_refused_unrun(texts):
    """Guards against statements that the end of the process cuts off."""
    late = LEFT - MIN_TIME_LEFT + 0.05
    outcome, left, ran = run_leaving(texts, after=late)
    assert isinstance(outcome, NotRun)
    assert left > 0
    assert not ran


@pytest.mark.parametrize(
    ('left', 'outcome_type'), [(MIN_TIME_LEFT + 0.1, Done), (0.1, NotRun)]
)
def test_a_transaction_begins_only_if_it_has_time(left, outcome_type):
    """Guards against transactions that are rolled back as they begin."""

    async def main():
        async with world(nodes=1) as cluster:
            session = await cluster.session(FRESH)
            node = cluster.nodes['n1']
            node.start_leaving(now() + LEFT, now() + left)
            outcome = await session.run(statement('BEGIN'))
            return outcome, await session.run(statement('READ a'))

    begun, read = run(main())
    assert isinstance(begun, outcome_type)
    assert isinstance(read, Done)


def test_a_cancelled_statement_fails_its_transaction():
    """Guards against a transaction that goes on without one of its writes."""

    async def main():
        async with world(nodes=1) as cluster:
            session = await cluster.session(FRESH)
            await session.run(statement('BEGIN'))
            for server in cluster.servers.values():
                server.service_time = 5
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await session.run(statement('WRITE a'))
            session.abandon()
            return session.state, await session.run(statement('COMMIT'))

    state, outcome = run(main())
    assert state is SessionState.FAILED_TRANSACTION
    assert isinstance(outcome, NotRun)


@pytest.mark.parametrize('silent', ['store', 'endpoint'])
def test_leaving_ends_in_time(silent):
    """Guards against a stop that a store or an endpoint holds up."""

    async def main():
        async with world(nodes=1) as cluster:
            await asyncio.sleep(0.1)
            if silent == 'store':
                cluster.stores['n1'].blocked = True
            else:
                for server in cluster.servers.values():
                    server.blocked = True
            begun = now()
            await cluster.nodes['n1'].leave(begun + 0.7)
            return now() - begun

    assert run(main()) < 0.8


def test_the_refusal_of_a_late_statement_tells_the_reason():
    outcome, _, _ = run_leaving(['READ a'], after=LEFT)
    assert outcome.reason is Reason.DRAINING
    assert outcome.retry_after_ms


@pytest.mark.parametrize('texts', STATEMENTS)
@pytest.mark.parametrize('database', [FRESH, AGED])
def test_a_statement_that_takes_too_long_is_answered_before_the_end(
    texts, database
):
    """Guards against statements that the end of the process cuts off."""
    outcome, left, _ = run_leaving(
        texts, after=LEFT / 2, service_time=5, database=database
    )
    assert isinstance(outcome, NotRun | Unknown)
    assert left > -0.1


def test_a_caller_that_connects_too_late_is_refused():
    async def main():
        async with world(nodes=1) as cluster:
            cluster.nodes['n1'].start_leaving(now() + MIN_TIME_LEFT - 0.01)
            return await cluster.session(FRESH)

    assert run(main()).reason is Reason.DRAINING
