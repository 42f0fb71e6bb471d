"""What an entry node asks and refuses, with a limiter that the test plays."""

import asyncio
from dataclasses import replace

import pytest
from direct_fakes.limited_fleet import LimitedFleet, W
from virtual_time import run_virtual

from cowslipfork.ids import WorkspaceName
from cowslipfork.logs import fields_of
from cowslipfork.outcomes import NotRun, Reason
from cowslipfork_direct.rate_limits import (
    Acquire,
    Acquired,
    Granted,
    NotLimiter,
)
from cowslipfork_direct.rate_limits.client import (
    ACQUIRE_TIMEOUT,
    ASK_AGAIN_AFTER,
    FALLBACK_RETRY,
    LIMITER_WAIT,
)
from cowslipfork_direct.rate_limits.refusals import (
    COUNTED_WORKSPACES,
    OTHER_WORKSPACES,
    Refusals,
)


class Stage:
    """An entry node whose limiter answers as the test says."""

    def __init__(self, rate=10, burst=20, nodes=2):
        self.fleet = LimitedFleet(asyncio.get_running_loop(), nodes)
        self.fleet.configure(rate, burst, lag=0)
        self.asked = []
        self.reply = lambda message: Granted(message.operations)

    async def settle(self):
        await asyncio.sleep(3)
        (limiter,) = self.fleet.limiters()
        others = [name for name in self.fleet.names if name != limiter]
        self.limiter = self.fleet.nodes[limiter]
        self.entry = self.fleet.nodes[others[0]]
        handle = self.limiter.handle

        def answer(message):
            if not isinstance(message, Acquire):
                return handle(message)
            self.asked.append(message)
            return Acquired(self.reply(message))

        self.limiter.handle = answer

    async def admit(self, count=1, workspace=W):
        admit = self.entry.client.admit
        return await asyncio.gather(*(admit(workspace) for _ in range(count)))


def on_stage(play, **fields):
    async def main():
        stage = Stage(**fields)
        await stage.settle()
        await play(stage)

    run_virtual(main())


def test_operations_of_one_iteration_of_the_loop_share_a_message():
    async def play(stage):
        assert await stage.admit(30) == [None] * 30
        (message,) = stage.asked
        assert message.operations == 30
        assert message.revision == 1

    on_stage(play)


def test_a_workspace_without_a_limit_is_admitted_without_a_message():
    async def play(stage):
        begun = stage.fleet.now()
        assert await stage.admit(5, WorkspaceName('free')) == [None] * 5
        assert stage.fleet.now() == begun
        assert stage.asked == []

    on_stage(play)


def test_rejected_operations_get_different_times_to_retry():
    async def play(stage):
        stage.reply = lambda _: Granted(3, 100, 2000)
        ended = await stage.admit(30)
        assert ended[:3] == [None] * 3
        assert {refusal.reason for refusal in ended[3:]} == {
            Reason.RATE_LIMITED
        }
        times = [refusal.retry_after_ms for refusal in ended[3:]]
        assert 95 <= min(times) < 500
        assert 1500 < max(times) <= 2000

    on_stage(play)


def test_until_the_next_token_nothing_is_asked_again():
    """Each rejected caller that comes back early would cost a message."""

    async def play(stage):
        stage.reply = lambda _: Granted(0, 500, 600)
        await stage.admit()
        begun = stage.fleet.now()
        ended = await stage.admit(100)
        assert stage.fleet.now() == begun
        assert len(stage.asked) == 1
        assert all(460 < refusal.retry_after_ms <= 600 for refusal in ended)
        await asyncio.sleep(0.5)
        await stage.admit()
        assert len(stage.asked) == 2
        assert stage.asked[-1].refused == 100

    on_stage(play)


def test_without_an_answer_the_node_falls_back_in_time():
    async def play(stage):
        stage.limiter.frozen = True
        begun = stage.fleet.now()
        await stage.admit()
        assert stage.fleet.now() - begun <= ACQUIRE_TIMEOUT + 0.001

    on_stage(play)


def test_operations_wait_for_a_limiter_that_is_due():
    """After a hand-over a refusal would come just before the next limiter."""

    async def play(stage):
        await stage.admit()
        replies = [NotLimiter(), NotLimiter()]

        def reply(message):
            return replies.pop() if replies else Granted(message.operations)

        stage.reply = reply
        assert await stage.admit() == [None]

    on_stage(play)


def test_operations_wait_for_a_limiter_only_for_a_while():
    async def play(stage):
        await stage.admit()
        stage.reply = lambda _: NotLimiter()
        begun = stage.fleet.now()
        refusals = await stage.admit()
        waited = stage.fleet.now() - begun
        assert refusals[0].reason is Reason.RATE_LIMITED
        assert waited <= LIMITER_WAIT + ASK_AGAIN_AFTER + ACQUIRE_TIMEOUT

    on_stage(play)


def test_no_operation_waits_forever_after_an_unexpected_error():
    async def play(stage):
        def fail(_):
            raise ValueError('unexpected')

        stage.entry.client._ask_each = fail
        refusals = await stage.admit()
        assert refusals[0].reason is Reason.RATE_LIMITED

    on_stage(play)


def test_a_node_that_falls_back_grants_half_of_its_share():
    async def play(stage):
        stage.reply = lambda _: NotLimiter()
        granted = 0
        begun = stage.fleet.now()
        while stage.fleet.now() < begun + 10:
            granted += (await stage.admit()).count(None)
            await asyncio.sleep(0.01)
        # Ten a second over two nodes, for ten seconds.
        assert 23 <= granted <= 26
        assert stage.entry.client.refusals.fallback_grants == granted

    on_stage(play)


def test_falling_back_starts_without_saved_tokens_each_time():
    """Saved tokens of all nodes would add up to half of the burst."""

    async def play(stage):
        for _ in range(20):
            stage.reply = lambda _: NotLimiter()
            assert all(await stage.admit(5))
            stage.reply = lambda message: Granted(message.operations)
            await stage.admit()
            await asyncio.sleep(0.9)

    on_stage(play, burst=2000)


def test_a_refusal_of_the_fallback_says_when_to_retry():
    async def play(stage):
        stage.reply = lambda _: NotLimiter()
        (refusal,) = await stage.admit()
        assert 350 <= refusal.retry_after_ms <= 1000 * FALLBACK_RETRY

    on_stage(play)


def test_the_limiter_is_asked_again_right_after_the_fallback_refused():
    async def play(stage):
        stage.reply = lambda _: NotLimiter()
        assert isinstance((await stage.admit())[0], NotRun)
        stage.reply = lambda message: Granted(message.operations)
        assert await stage.admit() == [None]

    on_stage(play)


def test_tokens_of_operations_that_did_not_run_are_returned():
    async def play(stage):
        await stage.admit(3)
        admitted_at = stage.fleet.now()
        client = stage.entry.client
        client.give_back(W, admitted_at)
        await asyncio.sleep(0.2)
        client.give_back(W, stage.fleet.now())
        await stage.admit()
        message = stage.asked[-1]
        assert message.returned == 2
        assert message.returned_age_ms == pytest.approx(200, abs=2)
        await stage.admit()
        assert stage.asked[-1].returned == 0

    on_stage(play)


def test_tokens_that_the_fallback_granted_are_not_returned_to_the_limiter():
    async def play(stage):
        stage.reply = lambda _: NotLimiter()
        await stage.admit()
        await asyncio.sleep(0.9)
        assert await stage.admit() == [None]
        stage.entry.client.give_back(W, stage.fleet.now())
        await stage.admit()
        assert stage.asked[-1].returned == 0

    on_stage(play)


def test_the_token_of_a_cancelled_operation_is_returned():
    async def play(stage):
        task = asyncio.create_task(stage.entry.client.admit(W))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.sleep(0.1)
        await stage.admit()
        assert stage.asked[-1].returned == 1

    on_stage(play)


def test_a_limiter_without_a_limit_in_force_admits():
    async def play(stage):
        stage.entry.in_force = {
            W: replace(stage.entry.in_force[W], limit=None),
        }
        assert await stage.admit(3) == [None] * 3

    on_stage(play)


def test_each_refusal_is_logged_with_its_limit(caplog):
    caplog.set_level('INFO')

    async def play(stage):
        stage.reply = lambda _: Granted(0, 100, 200)
        await stage.admit(2)
        stage.reply = lambda _: NotLimiter()
        await asyncio.sleep(0.2)
        await stage.admit()

    on_stage(play)
    lines = [
        fields_of(line)
        for line in caplog.records
        if line.getMessage() == 'rate_limited'
    ]
    assert [line['by'] for line in lines] == ['limiter', 'limiter', 'fallback']
    assert all(line['workspace'] == W for line in lines)
    assert {(line['rate'], line['burst']) for line in lines} == {(10, 20)}
    assert {line['revision'] for line in lines} == {1}
    assert all(line['retry_after_ms'] >= 95 for line in lines)


def test_a_change_of_the_limiters_is_logged_once(caplog):
    caplog.set_level('INFO')

    async def play(stage):
        caplog.clear()
        stage.fleet.kill(stage.limiter.name)
        await stage.admit()
        await asyncio.sleep(2)

    on_stage(play, nodes=5)
    lines = [
        fields_of(line)['limiters']
        for line in caplog.records
        if line.getMessage() == 'limiters_changed'
    ]
    assert len(lines) == 4
    assert len(set(lines)) == 1


def test_refused_operations_are_counted_for_the_largest_workspaces():
    """A label for each of many workspaces would make the metrics too long."""
    refusals = Refusals()
    for number in range(30):
        name = WorkspaceName(f'w{number}')
        refusals._refused[name] = 10 + number
    counts = refusals.by_workspace
    assert len(counts) == COUNTED_WORKSPACES + 1
    assert counts['w29'] == 39
    assert counts[OTHER_WORKSPACES] == sum(range(10, 20))


def test_a_new_limit_is_in_force_before_the_next_token_of_the_old_one():
    """Guards against refusals below a limit that was raised."""

    async def play(stage):
        stage.reply = lambda _: Granted(0, 5000, 5000)
        await stage.admit()
        stage.fleet.configure(0, 0, lag=0)
        await asyncio.sleep(0.01)
        assert isinstance((await stage.admit())[0], NotRun)
        asked = len(stage.asked)
        stage.reply = lambda message: Granted(message.operations)
        stage.fleet.configure(100, 100, lag=0)
        await asyncio.sleep(0.01)
        assert await stage.admit() == [None]
        assert len(stage.asked) == asked + 1
        assert await stage.admit() == [None]

    on_stage(play, rate=0, burst=0)
