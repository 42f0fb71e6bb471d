"""Keys that a configuration moves from one workspace to another."""

import asyncio

import pytest
from direct_fakes.keyed_callers import configure_keys, connected, reason_of
from direct_fakes.world import FRESH, run, statement, world

from cowslipfork.outcomes import Done, Reason
from cowslipfork_direct.answers import SessionState

#: The key of the callers of these tests, before and after its move.
BEFORE = {'alpha': ['key-a', 'key-x'], 'beta': ['key-b']}
AFTER = {'alpha': ['key-a'], 'beta': ['key-b', 'key-x']}
RENAMED = {'gamma': ['key-a', 'key-x'], 'beta': ['key-b']}
REMOVED = {'beta': ['key-b', 'key-x']}


def note_workspaces(made, name='n1'):
    """Notes the workspace of each statement that a node runs."""
    executor = made.nodes[name]._services.executor('g')
    noted = []
    begin = executor.begin

    def begin_noted(**options):
        transaction = begin(**options)
        run_statement = transaction.run

        async def run_noted(request):
            noted.append((request.statement.text, request.workspace))
            return await run_statement(request)

        transaction.run = run_noted
        return transaction

    executor.begin = begin_noted
    return noted


async def begin_and_move(made, connection, after, pause):
    """Begins as one workspace; the key belongs to another one then."""
    await connection.run('BEGIN')
    await connection.run('WRITE a 1')
    configure_keys(made, after)
    await asyncio.sleep(pause)


@pytest.mark.parametrize('after', [AFTER, RENAMED, REMOVED])
@pytest.mark.parametrize('first', ['WRITE a 2', 'READ a', 'COMMIT'])
def test_a_transaction_does_not_go_on_for_a_former_workspace(first, after):
    """Guards against statements in the name of a workspace without the key."""

    async def main():
        async with world() as made:
            configure_keys(made, BEFORE)
            await asyncio.sleep(0.2)
            noted = note_workspaces(made)
            async with connected(made, 'key-x') as connection:
                await begin_and_move(made, connection, after, 0.5)
                outcome = await connection.run(first)
                await connection.run('ROLLBACK')
                alone = await connection.run('WRITE b 1')
                return made, noted, outcome, alone, connection.closed

    made, noted, outcome, alone, closed = run(main())
    assert reason_of(outcome) is Reason.TRANSACTION_LOST
    assert noted == [('WRITE a 1', 'alpha')]
    assert isinstance(alone, Done)
    assert not closed
    log = [commit.writes for commit in made.servers['e1'].log]
    assert log == [('WRITE b 1',)]


def test_an_idle_transaction_of_a_moved_key_is_rolled_back_at_once():
    """Guards against locks that a former workspace's transaction keeps."""

    async def main():
        async with world(connections=1) as made:
            configure_keys(made, BEFORE)
            await asyncio.sleep(0.2)
            async with connected(made, 'key-x') as connection:
                await begin_and_move(made, connection, AFTER, 0.2)
                state = connection.session.state
                in_use = made.nodes['n1']._view.groups['g'].endpoints['e1']
                return state, in_use.in_use, connection.closed

    state, in_use, closed = run(main())
    assert state is SessionState.FAILED_TRANSACTION
    assert in_use == 0
    assert not closed


def test_a_statement_that_runs_while_its_key_moves_is_finished():
    """Guards against an answer that is lost, and against one more statement."""

    async def main():
        async with world() as made:
            configure_keys(made, BEFORE)
            await asyncio.sleep(0.2)
            async with connected(made, 'key-x') as connection:
                await connection.run('BEGIN')
                made.servers['e1'].service_time = 0.4
                running = asyncio.create_task(connection.run('WRITE a 1'))
                await asyncio.sleep(0.1)
                configure_keys(made, AFTER)
                outcome = await running
                return outcome, await connection.run('COMMIT')

    outcome, commit = run(main())
    assert isinstance(outcome, Done)
    assert reason_of(commit) is Reason.TRANSACTION_LOST


def test_a_transaction_goes_on_while_its_workspace_keeps_the_key():
    async def main():
        async with world() as made:
            configure_keys(made, BEFORE)
            await asyncio.sleep(0.2)
            async with connected(made, 'key-x') as connection:
                await begin_and_move(
                    made, connection, {**BEFORE, 'delta': ['key-d']}, 0.5
                )
                return await connection.run('COMMIT')

    assert isinstance(run(main()), Done)


def test_a_forwarded_transaction_does_not_go_on_for_a_former_workspace():
    """Guards against a carrier that knows only who began."""

    async def main():
        async with world(nodes=3) as made:
            configure_keys(made, BEFORE)
            await asyncio.sleep(2)
            outcomes = []
            for node in made.nodes:
                session = await made.session(FRESH, node, 'key-x')
                await session.run(statement('BEGIN'))
                begun = await session.run(statement('WRITE a 1'))
                outcomes.append((session, begun))
            configure_keys(made, AFTER)
            await asyncio.sleep(0.5)
            return made, [
                (begun, await session.run(statement('COMMIT')))
                for session, begun in outcomes
            ]

    made, outcomes = run(main())
    assert all(isinstance(begun, Done) for begun, _ in outcomes)
    assert {reason_of(commit) for _, commit in outcomes} == {
        Reason.TRANSACTION_LOST
    }
    assert made.servers['e1'].log == []


class MovingAdmission:
    """Admits at once; the key moves during the first admission."""

    def __init__(self, made):
        self._made = made
        self.admitted = []
        self.given_back = []

    async def admit(self, workspace):
        self.admitted.append(workspace)
        if len(self.admitted) == 1:
            configure_keys(self._made, AFTER)
            await asyncio.sleep(0.5)

    def give_back(self, workspace, admitted_at):
        self.given_back.append(workspace)


def test_an_operation_is_charged_to_the_workspace_that_it_runs_for():
    """Guards against a rate limit that is charged to a former workspace."""

    async def main():
        async with world() as made:
            configure_keys(made, BEFORE)
            await asyncio.sleep(0.2)
            session = await made.session(FRESH, key='key-x')
            admission = MovingAdmission(made)
            context = session._context
            object.__setattr__(context, 'admission', admission)
            return await session.run(statement('WRITE a 1')), admission

    outcome, admission = run(main())
    assert isinstance(outcome, Done)
    assert admission.admitted == ['alpha', 'beta']
    assert admission.given_back == ['alpha']
