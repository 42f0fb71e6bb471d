"""Keys that are withdrawn from callers at a node."""

import asyncio
import logging
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest
from direct_fakes.keyed_callers import (
    APPLY,
    ONE_KEY,
    TWO_KEYS,
    configure_keys,
    connected,
    reason_of,
)
from direct_fakes.world import AGED, FRESH, World, run, statement, world
from expression import Error

from cowslipfork.errors import CowslipforkError
from cowslipfork.logs import KeyValueFormatter
from cowslipfork.outcomes import Done, NotRun, Reason
from cowslipfork_direct.answers import SessionState
from cowslipfork_direct.era_settlement import SETTLE_TIME
from cowslipfork_direct.workspaces import (
    Revocation,
    digest_of,
    digest_prefix,
)


@pytest.mark.parametrize('key', ['', 'unknown', 'second'])
def test_a_caller_with_an_unknown_key_opens_no_session(key):
    async def main():
        async with world() as made:
            configure_keys(made)
            await asyncio.sleep(0.2)
            return await made.session(key=key)

    assert run(main()).reason is Reason.UNKNOWN_KEY


def test_statements_carry_the_workspace_of_the_key():
    async def main():
        async with world() as made:
            configure_keys(made, {'w': ['a'], 'x': ['b']}, auth_exempt=[AGED])
            await asyncio.sleep(0.2)
            requests = []
            node = made.nodes['n1']
            executor = node._services.executor('g')
            run_single = executor.run_single

            async def note(request):
                requests.append(request.workspace)
                return await run_single(request)

            executor.run_single = note
            for database, key in ((FRESH, 'b'), (AGED, 'a'), (AGED, '')):
                session = await made.session(database, key=key)
                await session.run(statement('WRITE a 1'))
            return requests

    assert run(main()) == ['x', 'w', None]


def test_a_withdrawn_key_runs_nothing_and_an_added_one_runs():
    async def main():
        async with world() as made:
            configure_keys(made, ONE_KEY)
            await asyncio.sleep(0.2)
            old = await made.session(key='first-key')
            assert isinstance(await old.run(statement('WRITE a 1')), Done)
            configure_keys(made, {'w': ['added-key']})
            await asyncio.sleep(0.2)
            refused = [
                await old.run(statement(text))
                for text in ('WRITE a 2', 'BEGIN', 'SET v 1', 'COMMIT')
            ]
            added = await made.session(key='added-key')
            done = await added.run(statement('WRITE a 3'))
            return made, refused, done

    made, refused, done = run(main())
    assert {outcome.reason for outcome in refused} == {Reason.UNKNOWN_KEY}
    assert isinstance(done, Done)
    log = [commit.writes for commit in made.servers['e1'].log]
    assert log == [('WRITE a 1',), ('WRITE a 3',)]


def test_idle_connections_of_withdrawn_keys_are_closed():
    async def main():
        async with world() as made:
            configure_keys(made, TWO_KEYS, auth_exempt=[AGED])
            await asyncio.sleep(0.2)
            async with (
                connected(made, 'first-key') as kept,
                connected(made, 'second-key') as withdrawn,
                connected(made, 'second-key', AGED) as exempt,
            ):
                configure_keys(made, ONE_KEY, auth_exempt=[AGED])
                await asyncio.sleep(0.2)
                return kept.closed, withdrawn.closed, exempt.closed

    assert run(main()) == (False, True, False)


def test_a_route_that_is_no_longer_exempt_needs_a_key():
    async def main():
        async with world() as made:
            configure_keys(made, auth_exempt=[FRESH])
            await asyncio.sleep(0.2)
            async with connected(made, '') as connection:
                configure_keys(made)
                await asyncio.sleep(0.2)
                return connection.closed, await connection.run('WRITE a 1')

    closed, outcome = run(main())
    assert closed
    assert outcome.reason is Reason.UNKNOWN_KEY


@pytest.mark.parametrize('first', ['WRITE b 2', 'COMMIT', 'ROLLBACK', 'BEGIN'])
def test_a_transaction_of_a_withdrawn_key_is_rolled_back_at_once(first):
    async def main():
        async with world(connections=1) as made:
            configure_keys(made, TWO_KEYS)
            await asyncio.sleep(0.2)
            async with connected(made, 'second-key') as connection:
                await connection.run('BEGIN')
                await connection.run('WRITE a 1')
                configure_keys(made, ONE_KEY)
                await asyncio.sleep(0.2)
                state = connection.session.state
                outcomes = [
                    await connection.run(text) for text in (first, 'COMMIT')
                ]
                return made, state, outcomes, connection.closed

    made, state, outcomes, closed = run(main())
    assert state is SessionState.FAILED_TRANSACTION
    assert [outcome.reason for outcome in outcomes] == [
        Reason.TRANSACTION_LOST,
        Reason.UNKNOWN_KEY,
    ]
    assert not closed
    assert made.servers['e1'].log == []


def test_a_statement_that_runs_when_its_key_is_withdrawn_finishes():
    async def main():
        async with world() as made:
            configure_keys(made, TWO_KEYS)
            await asyncio.sleep(0.2)
            async with connected(made, 'second-key') as connection:
                made.servers['e1'].service_time = 0.6
                task = asyncio.create_task(connection.run('WRITE a 1'))
                await asyncio.sleep(0.1)
                configure_keys(made, ONE_KEY)
                await asyncio.sleep(0.2)
                early = connection.closed
                outcome = await task
                await asyncio.sleep(0.2)
                return early, outcome, connection.closed

    early, outcome, closed = run(main())
    assert not early
    assert isinstance(outcome, Done)
    assert closed


def test_a_transaction_is_rolled_back_once_its_statement_has_finished():
    """Guards against an open transaction of a key that was withdrawn."""

    async def main():
        async with world() as made:
            configure_keys(made, TWO_KEYS)
            await asyncio.sleep(0.2)
            async with connected(made, 'second-key') as connection:
                await connection.run('BEGIN')
                made.servers['e1'].service_time = 0.6
                task = asyncio.create_task(connection.run('WRITE a 1'))
                await asyncio.sleep(0.1)
                configure_keys(made, ONE_KEY)
                outcome = await task
                await asyncio.sleep(0.2)
                state = connection.session.state
                return made, outcome, state, await connection.run('COMMIT')

    made, outcome, state, commit = run(main())
    assert isinstance(outcome, Done)
    assert state is SessionState.FAILED_TRANSACTION
    assert commit.reason is Reason.TRANSACTION_LOST
    assert made.servers['e1'].log == []


def test_a_failing_rollback_leaves_other_connections_closed(caplog):
    """Guards against one error that ends the node's background tasks."""

    async def main():
        async with world() as made:
            configure_keys(made, TWO_KEYS)
            await asyncio.sleep(0.2)
            async with (
                connected(made, 'second-key') as broken,
                connected(made, 'second-key') as other,
            ):
                await broken.run('BEGIN')

                async def fail():
                    raise OSError('no rollback')

                broken.session._transaction.end = fail
                configure_keys(made, ONE_KEY)
                await asyncio.sleep(0.2)
                broken.session._transaction = None
                session = await made.session(key='first-key')
                done = await session.run(statement('WRITE a 1'))
                return other.closed, done

    closed, done = run(main())
    assert closed
    assert isinstance(done, Done)
    assert 'withdrawal_failed' in caplog.text


def test_a_statement_that_waits_for_admission_is_not_sent():
    """Guards against a key that is withdrawn while its statement waits."""

    async def main():
        async with world() as made:
            configure_keys(made, TWO_KEYS)
            await asyncio.sleep(0.2)
            node = made.nodes['n1']
            given_back = []

            async def wait(_):
                await asyncio.sleep(0.5)

            def give_back(workspace, _):
                given_back.append(workspace)

            node._session_context = replace(
                node._session_context,
                admission=SimpleNamespace(admit=wait, give_back=give_back),
            )
            session = await made.session(key='second-key')
            task = asyncio.create_task(session.run(statement('WRITE a 1')))
            await asyncio.sleep(0.1)
            configure_keys(made, ONE_KEY)
            return made, await task, given_back

    made, outcome, given_back = run(main())
    assert outcome.reason is Reason.UNKNOWN_KEY
    assert made.servers['e1'].statements == []
    assert given_back == ['w']


def test_a_key_that_returns_is_accepted_again():
    async def main():
        async with world() as made:
            configure_keys(made, TWO_KEYS)
            await asyncio.sleep(0.2)
            session = await made.session(key='second-key')
            configure_keys(made, ONE_KEY)
            await asyncio.sleep(0.2)
            refused = await session.run(statement('WRITE a 1'))
            configure_keys(made, TWO_KEYS)
            await asyncio.sleep(0.2)
            return refused, await session.run(statement('WRITE a 1'))

    refused, done = run(main())
    assert refused.reason is Reason.UNKNOWN_KEY
    assert isinstance(done, Done)


def test_an_older_configuration_brings_no_key_back():
    async def main():
        async with world() as made:
            configure_keys(made, TWO_KEYS)
            configure_keys(made, ONE_KEY)
            await asyncio.sleep(0.2)
            made.configure(revision=made.revision - 1, workspaces=TWO_KEYS)
            await asyncio.sleep(0.2)
            return await made.session(key='second-key')

    assert run(main()).reason is Reason.UNKNOWN_KEY


def test_a_restored_store_brings_no_key_back():
    async def main():
        async with world() as made:
            configure_keys(made, TWO_KEYS)
            await asyncio.sleep(0.2)
            copy = made.store.copy()
            configure_keys(made, ONE_KEY)
            await asyncio.sleep(0.2)
            made.store.restore(copy)
            outcomes = []
            for _ in range(10):
                await asyncio.sleep(0.5)
                outcomes.append(await made.session(key='second-key'))
            return outcomes

    outcomes = run(main())
    assert {outcome.reason for outcome in outcomes} == {Reason.UNKNOWN_KEY}


def test_a_restarted_node_knows_what_the_store_holds():
    async def main():
        async with world() as made:
            configure_keys(made, TWO_KEYS)
            configure_keys(made, ONE_KEY)
            await made.kill_node('n1')
            made.start_node('n1')
            return await made.session(key='second-key')

    assert run(main()).reason is Reason.UNKNOWN_KEY


def test_a_node_started_on_an_older_copy_needs_the_configuration_again():
    """States the limit: such a node can't know that the key was withdrawn."""

    async def main():
        async with world() as made:
            configure_keys(made, TWO_KEYS)
            await asyncio.sleep(0.2)
            copy = made.store.copy()
            configure_keys(made, ONE_KEY)
            await asyncio.sleep(0.2)
            await made.kill_node('n1')
            made.store.restore(copy)
            made.start_node('n1')
            early = await made.session(key='second-key')
            await asyncio.sleep(SETTLE_TIME + 1)
            settled = await made.session(key='second-key')
            configure_keys(made, ONE_KEY)
            await asyncio.sleep(0.2)
            return early, settled, await made.session(key='second-key')

    early, settled, after = run(main())
    assert early.reason is Reason.NOT_CURRENT
    assert not isinstance(settled, NotRun)
    assert after.reason is Reason.UNKNOWN_KEY


def test_an_unreadable_configuration_keeps_the_keys_in_force():
    async def main():
        made = World()
        configure_keys(made)
        decode = made.store_schema().decode_configuration

        def decode_or_fail(content):
            if b'broken' in content:
                return Error(CowslipforkError('broken'))
            return decode(content)

        schema = replace(
            made.store_schema(), decode_configuration=decode_or_fail
        )
        made.store_schema = lambda: schema
        made.start_node()
        try:
            await asyncio.sleep(1)
            made.store.put('op/config', b'broken')
            await asyncio.sleep(0.5)
            made.store.put('op/config', None)
            await asyncio.sleep(0.5)
            return await made.session(key='first-key'), await made.session()
        finally:
            await made.close()

    known, unknown = run(main())
    assert not isinstance(known, NotRun)
    assert unknown.reason is Reason.UNKNOWN_KEY


@pytest.mark.parametrize('fail_closed', [True, False])
def test_a_node_that_cannot_reach_the_store_fails_as_it_is_set(fail_closed):
    async def main():
        made = World()
        made.revocation = Revocation(APPLY, fail_closed=fail_closed)
        configure_keys(made, TWO_KEYS)
        made.start_node()
        try:
            await asyncio.sleep(1)
            session = await made.session(key='first-key')
            inside = await made.session(key='first-key')
            await inside.run(statement('BEGIN'))
            made.stores['n1'].blocked = True
            configure_keys(made, {})
            made.store.put('wake', b'')
            await asyncio.sleep(APPLY + 1)
            cut_off = [
                await session.run(statement('WRITE a 1')),
                await inside.run(statement('WRITE a 1')),
                await made.session(key='first-key'),
            ]
            made.stores['n1'].blocked = False
            await asyncio.sleep(APPLY)
            return cut_off, await session.run(statement('WRITE a 2'))
        finally:
            await made.close()

    cut_off, after = run(main())
    expected = (
        [Reason.NOT_CURRENT, Reason.TRANSACTION_LOST, Reason.NOT_CURRENT]
        if fail_closed
        else [None, None, None]
    )
    assert [reason_of(outcome) for outcome in cut_off] == expected
    assert after.reason is Reason.UNKNOWN_KEY


@pytest.mark.parametrize('seed', range(3))
def test_no_withdrawn_key_runs_through_random_changes(seed):
    """Changes keys under load; a removed key runs nothing APPLY later."""

    async def main():
        draw = random.Random(seed)
        keys = [f'key-{number}' for number in range(6)]
        allowed_until = {}
        violations, done = [], 0
        async with world(nodes=2) as made:
            for _ in range(25):
                chosen = draw.sample(keys, 3)
                now = asyncio.get_running_loop().time()
                for key in keys:
                    held = key in chosen
                    if held:
                        allowed_until[key] = float('inf')
                    elif allowed_until.get(key) == float('inf'):
                        allowed_until[key] = now + 1
                configure_keys(made, {'w': chosen})
                if draw.random() < 0.3:
                    made.configure(
                        revision=made.revision - 1, workspaces={'w': keys}
                    )
                    made.revision += 1
                    configure_keys(made, {'w': chosen})
                await asyncio.sleep(draw.uniform(0.05, 1.5))
                for key in keys:
                    node = draw.choice(['n1', 'n2'])
                    begun = asyncio.get_running_loop().time()
                    session = await made.session(FRESH, node, key)
                    if isinstance(session, NotRun):
                        continue
                    outcome = await session.run(statement('READ a'))
                    done += isinstance(outcome, Done)
                    if begun > allowed_until.get(key, 0):
                        violations.append(key)
        return violations, done

    violations, done = run(main())
    assert violations == []
    assert done > 25


def test_no_key_is_written_to_logs_metrics_or_representations(caplog):
    caplog.set_level(logging.DEBUG)
    secret = 'top-secret-key'

    async def main():
        async with world() as made:
            configure_keys(made, {'w': [secret]})
            await asyncio.sleep(0.2)
            node = made.nodes['n1']
            async with connected(made, secret) as connection:
                await connection.run('BEGIN')
                await connection.run('WRITE a 1')
                texts = [
                    *map(repr, vars(connection.session).values()),
                    *map(repr, vars(connection.caller).values()),
                    *map(repr, vars(node._workspaces).values()),
                    repr(node._view.table),
                ]
                configure_keys(made, {'w': ['other']})
                await asyncio.sleep(0.2)
                await connection.run('WRITE a 1')
                await connection.run('WRITE a 1')
                await made.session(key=secret)
            texts.append(node.metrics.text().decode())
            return texts

    texts = run(main())
    formatter = KeyValueFormatter('vm')
    lines = [formatter.format(record) for record in caplog.records]
    assert not any(secret in text for text in (*texts, *lines))
    prefix = digest_prefix(digest_of(secret))
    full = digest_of(secret).hex()
    assert not any(full[:9] in line for line in lines)
    refused = [line for line in lines if f'key={prefix}' in line]
    assert any('event=caller_refused' in line for line in refused)
    assert any('not_run_unknown_key' in line for line in refused)
    refusals = 'cowslipfork_refused_keys_total{reason="unknown_key"} 2.0'
    assert refusals in texts[-1]


def test_changed_workspaces_are_logged_with_counts(caplog):
    caplog.set_level(logging.INFO)

    async def main():
        async with world() as made:
            configure_keys(made, TWO_KEYS)
            await asyncio.sleep(0.2)
            configure_keys(made, {'w': ['second-key', 'x', 'y']})
            await asyncio.sleep(0.2)
            configure_keys(made, {'w': ['second-key', 'x', 'y']})
            await asyncio.sleep(0.2)

    run(main())
    lines = [
        (line.added, line.removed)
        for line in caplog.records
        if line.getMessage() == 'workspaces_changed'
    ]
    assert lines == [(2, 0), (2, 1)]
