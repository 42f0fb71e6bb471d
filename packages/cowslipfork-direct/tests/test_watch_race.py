"""Two watches at a time, of which the first one with an answer stays."""

import asyncio
import gc

import pytest
from direct_fakes.world import run

from cowslipfork.store import HistoryLost, StoreDown
from cowslipfork_direct.watch_race import WatchRace


class Watches:
    """Watches that answer or fail when the test says so."""

    def __init__(self):
        self.outcomes = []
        self.cancelled = []
        #: Called by a watch just before it fails.
        self.before_failure = lambda: None

    async def watch(self, on_answer):
        number = len(self.outcomes)
        self.outcomes.append(asyncio.Queue())
        try:
            while True:
                error = await self.outcomes[number].get()
                if error is not None:
                    self.before_failure()
                    raise error
                on_answer()
        except asyncio.CancelledError:
            self.cancelled.append(number)
            raise

    def answer(self, number):
        self.outcomes[number].put_nowait(None)

    def fail(self, number, error):
        self.outcomes[number].put_nowait(error)


def race_during(steps):
    """Runs the steps; returns the numbers of the watches that were ended."""

    async def main():
        watches = Watches()
        race = WatchRace(watches.watch)
        task = asyncio.create_task(race.run())
        await asyncio.sleep(0.1)
        await steps(watches, race)
        await asyncio.sleep(0.1)
        cancelled = list(watches.cancelled)
        race.cancel()
        await task
        return cancelled

    return run(main())


@pytest.mark.parametrize(('first', 'ended'), [(0, [1]), (1, [0])])
def test_the_watch_that_is_answered_first_stays(first, ended):
    async def steps(watches, race):
        race.start_another()
        await asyncio.sleep(0.1)
        watches.answer(first)

    assert race_during(steps) == ended


def test_the_oldest_watch_is_not_ended_for_new_ones():
    async def steps(_, race):
        for _ in range(4):
            race.start_another()
            await asyncio.sleep(0.1)

    assert race_during(steps) == [1, 2, 3]


def test_a_watch_goes_on_after_the_failure_of_the_other():
    async def steps(watches, race):
        race.start_another()
        await asyncio.sleep(0.1)
        watches.fail(0, StoreDown('watch', 'no answer'))
        await asyncio.sleep(0.1)
        watches.answer(1)

    assert not race_during(steps)


def test_the_failure_of_the_last_watch_is_raised():
    async def steps(watches, _):
        watches.fail(0, StoreDown('watch', 'no answer'))

    with pytest.raises(StoreDown):
        race_during(steps)


def test_a_lost_history_ends_both_watches():
    async def steps(watches, race):
        race.start_another()
        await asyncio.sleep(0.1)
        watches.fail(1, HistoryLost('watch', 'compacted'))

    with pytest.raises(HistoryLost):
        race_during(steps)


@pytest.mark.parametrize('failing', [0, 1])
def test_a_watch_whose_failure_starts_another_leaves_no_unread_error(failing):
    """Guards against an error in the log for each change of the path."""
    unread = []

    async def steps(watches, race):
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: unread.append(context['message'])
        )
        race.start_another()
        await asyncio.sleep(0.1)
        watches.before_failure = race.start_another
        watches.fail(failing, StoreDown('watch', 'no answer'))
        await asyncio.sleep(0.1)
        watches.before_failure = lambda: None
        gc.collect()

    race_during(steps)
    gc.collect()
    assert unread == []
