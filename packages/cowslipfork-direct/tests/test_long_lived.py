import asyncio

import pytest
from direct_fakes.world import FRESH, run, statement, world

from cowslipfork.outcomes import Done
from cowslipfork_direct.long_lived import RESTART_DELAY, keep_running


def test_a_part_that_fails_runs_again(caplog):
    async def main():
        failures = []
        runs = []

        async def part():
            runs.append(asyncio.get_running_loop().time())
            if len(runs) < 3:
                raise ValueError('unexpected')

        await keep_running('part', part, failures.append)
        return runs, failures

    runs, failures = run(main())
    assert failures == ['part', 'part']
    assert runs[2] - runs[0] == pytest.approx(2 * RESTART_DELAY)
    assert [record.task for record in caplog.records] == ['part', 'part']


def test_cancelling_ends_a_part():
    async def main():
        task = asyncio.create_task(
            keep_running('part', asyncio.Event().wait, lambda _: None)
        )
        await asyncio.sleep(1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return task.cancelled()

    assert run(main())


def test_an_unexpected_error_does_not_end_the_watch_of_the_store():
    """The node takes the next configuration after an error in a listener."""

    async def main():
        async with world() as cluster:
            node = cluster.nodes['n1']
            update = node._placement.update
            errors = iter([RuntimeError('unexpected')])

            def fail_once():
                for error in errors:
                    raise error
                update()

            node._placement.update = fail_once
            cluster.configure()
            await asyncio.sleep(1)
            cluster.configure()
            await asyncio.sleep(1)
            session = await cluster.session(FRESH)
            outcome = await session.run(statement('WRITE a 1'))
            return node._view.table.revision, cluster.revision, outcome

    in_force, written, outcome = run(main())
    assert in_force == written
    assert isinstance(outcome, Done)
