"""Workspaces before the slots of an endpoint, in replays in virtual time."""

import asyncio
from itertools import groupby

import pytest
from load_pattern import CallerClass, Replay
from virtual_time import run_virtual

from cowslipfork.configuration import RequestClass
from cowslipfork.ids import ClassName, EndpointId, WorkspaceName
from cowslipfork.limits import QueuedRequest, QueueRejection, SlotQueue

A = EndpointId('a')
FLOOD = WorkspaceName('flooding')
OTHER = WorkspaceName('other')

#: Slots of the endpoint and seconds of a request: 278 requests a second.
SLOTS = 5
SERVICE_TIME = 0.018
CAPACITY = SLOTS / SERVICE_TIME

#: Seconds for which callers send requests.
SECONDS = 10

LOOKUP = RequestClass(ClassName('lookup'), 16, 200, deadline=2.5)


def play(load_by_workspace, seed):
    callers = [
        CallerClass(LOOKUP, load * CAPACITY, workspace=workspace)
        for workspace, load in load_by_workspace.items()
    ]

    async def main():
        replay = Replay({A: SLOTS}, SERVICE_TIME, seed)
        await replay.play(callers, SECONDS)
        return replay.tallies

    return run_virtual(main())


def flooded(usual_load, seed):
    """One workspace sends ten times its usual load beside twenty others.

    Args:
        usual_load: load of all of them without the flood.
        seed: seed of the arrivals.
    """
    usual = usual_load / 21
    others = {f'w{number}': usual for number in range(20)}
    return play({**others, FLOOD: 10 * usual}, seed)


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('usual_load', [0.7, 0.8, 0.9])
def test_ten_times_the_usual_load_of_one_workspace_harms_no_other(
    usual_load, seed
):
    """In one line for all, 62% to 78% of the others' answers were in time."""
    tallies = flooded(usual_load, seed)
    tallies.pop(FLOOD)
    in_time = sum(tally.in_time for tally in tallies.values())
    asked = sum(tally.asked for tally in tallies.values())
    assert in_time > 0.95 * asked
    assert all(tally.in_time > 0.9 * tally.asked for tally in tallies.values())


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('usual_load', [0.8, 0.9])
def test_the_flooding_workspace_is_rejected_at_once_and_gets_what_is_left(
    usual_load, seed
):
    tallies = flooded(usual_load, seed)
    flood = tallies[FLOOD]
    at_once = sum(seconds == 0 for seconds in flood.held)
    assert at_once >= 0.9 * len(flood.held)
    assert flood.answered - flood.prompt <= 0.15 * flood.answered
    prompt = sum(tally.prompt for tally in tallies.values())
    assert prompt >= 0.9 * CAPACITY * SECONDS


@pytest.mark.parametrize('load', [1.5, 3])
def test_many_workspaces_above_the_capacity_leave_most_slots_useful(load):
    """Each has few requests waiting, and all together have far too many.

    Those that arrive later may go first here, so that waits vary more than
    within one workspace and more requests are rejected at their deadline.
    """
    tallies = play({f'w{number}': load / 82 for number in range(82)}, seed=1)
    prompt = sum(tally.prompt for tally in tallies.values())
    assert prompt >= 0.9 * CAPACITY * SECONDS
    held = [seconds for tally in tallies.values() for seconds in tally.held]
    assert sum(seconds == 0 for seconds in held) >= 0.8 * len(held)


def queued(workspace, deadline=1.0, candidates=(A,)):
    loop = asyncio.get_running_loop()
    return QueuedRequest(
        LOOKUP,
        lambda: candidates,
        loop.time() + deadline,
        workspace=workspace,
    )


async def start_acquiring(queue, *requests):
    tasks = [asyncio.create_task(queue.acquire(each)) for each in requests]
    await asyncio.sleep(0)
    return tasks


def test_a_rejected_flood_finds_room_at_the_time_it_was_told():
    """The time must follow from its own line, not from that of the class."""

    async def main():
        queue = SlotQueue({A: 1}, draw=lambda: 0)

        async def serve():
            while queue.waiting:
                await asyncio.sleep(SERVICE_TIME)
                queue.release(A, SERVICE_TIME, FLOOD)

        await queue.acquire(queued(FLOOD))
        for _ in range(10):
            await start_acquiring(
                queue, *(queued(FLOOD, deadline=100) for _ in range(40))
            )
            await serve()
        await start_acquiring(
            queue, *(queued(FLOOD, deadline=100) for _ in range(40))
        )
        rejection = await queue.acquire(queued(FLOOD))
        serving = asyncio.create_task(serve())
        early = rejection.retry_after_ms / 1000 - 2 * SERVICE_TIME
        await asyncio.sleep(early)
        too_early = await queue.acquire(queued(FLOOD))
        # A request is served after one service time, not a part of it.
        await asyncio.sleep(3 * SERVICE_TIME)
        (task,) = await start_acquiring(queue, queued(FLOOD))
        waits = not task.done()
        await serving
        return rejection, too_early, waits

    rejection, too_early, waits = run_virtual(main())
    assert isinstance(rejection, QueueRejection)
    assert not rejection.timed_out
    assert isinstance(too_early, QueueRejection)
    assert waits


async def test_workspaces_of_a_class_take_turns():
    queue = SlotQueue({A: 1})
    await queue.acquire(queued(FLOOD))
    names = [FLOOD] * 6 + [OTHER] * 3
    tasks = await start_acquiring(queue, *map(queued, names))
    served = []
    for _ in tasks:
        queue.release(A, SERVICE_TIME, FLOOD)
        await asyncio.sleep(0)
        done = [number for number, task in enumerate(tasks) if task.done()]
        served += [number for number in done if number not in served]
    turns = [names[number] for number in served]
    assert sorted(turns[:6]) == [FLOOD] * 3 + [OTHER] * 3
    assert max(len(list(run)) for _, run in groupby(turns[:6])) <= 2


async def test_a_request_whose_deadline_has_passed_gets_no_slot():
    """A busy event loop may release a slot before it runs the timer."""
    queue = SlotQueue({A: 1})
    await queue.acquire(queued(OTHER))
    late, waiting = await start_acquiring(
        queue, queued(FLOOD, deadline=0.001), queued(OTHER)
    )
    loop = asyncio.get_running_loop()
    passed = loop.time() + 0.005
    while loop.time() < passed:
        pass
    queue.release(A, SERVICE_TIME, OTHER)
    await asyncio.sleep(0)
    assert await waiting == A
    assert (await late).timed_out


async def test_spare_connections_can_be_changed():
    """A node has more connections than statements at once."""
    queue = SlotQueue({A: 1})
    await queue.acquire(queued(OTHER))
    queue.suspend(A)
    (waiting,) = await start_acquiring(queue, queued(OTHER))
    assert not waiting.done()
    queue.resize({A: 1}, 1)
    assert await waiting == A
    queue.suspend(A)
    queue.resize({A: 1}, 0)
    (again,) = await start_acquiring(queue, queued(OTHER))
    assert not again.done()
    again.cancel()


def limited(slots):
    """Returns a queue in which one may use half while others wait."""
    return SlotQueue(
        {A: slots},
        may_use_another=lambda holding: (
            not holding.others_wait or holding.connections < holding.share // 2
        ),
    )


async def test_a_workspace_beyond_its_limit_waits_until_others_are_served():
    queue = limited(slots=4)
    for _ in range(4):
        await queue.acquire(queued(FLOOD))
    more, other = await start_acquiring(queue, queued(FLOOD), queued(OTHER))
    queue.release(A, SERVICE_TIME, FLOOD)
    assert await other == A
    assert not more.done()
    queue.release(A, SERVICE_TIME, FLOOD)
    assert await more == A


@pytest.mark.parametrize('leaves', ['cancelled', 'timed out'])
async def test_a_limit_ends_when_those_that_wait_have_left(leaves):
    """Otherwise a free slot would stay unused until the next release."""
    queue = limited(slots=2)
    endpoints = [A]
    await queue.acquire(queued(FLOOD))
    await queue.acquire(queued(OTHER))
    (other, more) = await start_acquiring(
        queue,
        queued(OTHER, 0.02 if leaves == 'timed out' else 1, endpoints),
        queued(FLOOD),
    )
    endpoints.clear()
    queue.release(A, SERVICE_TIME, OTHER)
    await asyncio.sleep(0)
    assert not more.done()
    if leaves == 'cancelled':
        other.cancel()
    await asyncio.gather(other, return_exceptions=True)
    assert await more == A
