import asyncio
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipfork.configuration import RequestClass
from cowslipfork.ids import ClassName, EndpointId
from cowslipfork.limits import QueuedRequest, QueueRejection, SlotQueue

A = EndpointId('a')
B = EndpointId('b')
LONG = 1000.0


def request_class(name, weight=1, queue=100):
    return RequestClass(ClassName(name), weight, queue, deadline=5)


def queued_request(for_class, *endpoints, in_transaction=False, deadline=LONG):
    # Deadlines are loop times, and the loop's clock has an arbitrary origin.
    return QueuedRequest(
        for_class,
        lambda: endpoints,
        asyncio.get_running_loop().time() + deadline,
        in_transaction,
    )


async def start_acquiring(queue, *places):
    tasks = [asyncio.ensure_future(queue.acquire(queued)) for queued in places]
    await asyncio.sleep(0)
    return tasks


async def test_no_more_requests_run_than_there_are_slots():
    queue = SlotQueue({A: 2})
    lookup = request_class('lookup')
    tasks = await start_acquiring(
        queue, *[queued_request(lookup, A) for _ in range(3)]
    )

    assert [task.done() for task in tasks] == [True, True, False]

    queue.release(A, 0.001)
    assert await tasks[2] == A


async def test_a_free_slot_goes_to_a_request_that_can_use_it():
    queue = SlotQueue({A: 1, B: 1})
    lookup = request_class('lookup')
    await queue.acquire(queued_request(lookup, A))
    (blocked,) = await start_acquiring(queue, queued_request(lookup, A))

    assert await queue.acquire(queued_request(lookup, A, B)) == B
    assert not blocked.done()
    blocked.cancel()


async def test_classes_share_slots_by_weight():
    queue = SlotQueue({A: 1})
    heavy, light = request_class('heavy', 3), request_class('light', 1)
    await queue.acquire(queued_request(light, A))
    waiting = {}
    for _ in range(40):
        for requested in (heavy, light):
            (task,) = await start_acquiring(queue, queued_request(requested, A))
            waiting[task] = requested.name
    served = Counter()
    for _ in range(40):
        queue.release(A, 0.001)
        await asyncio.sleep(0)
        done = [task for task in waiting if task.done()]
        served.update(waiting.pop(task) for task in done)

    assert served == {'heavy': 30, 'light': 10}
    for task in waiting:
        task.cancel()


async def test_only_requests_of_a_full_class_are_rejected_at_once():
    queue = SlotQueue({A: 1})
    lookup = request_class('lookup', queue=1)
    confirmation = request_class('confirmation', weight=100)
    await queue.acquire(queued_request(lookup, A))
    first, second, urgent = await start_acquiring(
        queue,
        queued_request(lookup, A),
        queued_request(lookup, A),
        queued_request(confirmation, A),
    )

    rejection = second.result()
    assert isinstance(rejection, QueueRejection)
    assert not rejection.timed_out
    assert rejection.retry_after_ms >= 1

    queue.release(A, 0.001)
    assert await urgent == A
    assert not first.done()
    first.cancel()


async def test_statements_of_a_transaction_go_first():
    queue = SlotQueue({A: 1})
    confirmation = request_class('confirmation', weight=100)
    await queue.acquire(queued_request(confirmation, A))
    waiting, urgent = await start_acquiring(
        queue,
        queued_request(confirmation, A),
        queued_request(confirmation, A, in_transaction=True),
    )

    queue.release(A, 0.001)

    assert await urgent == A
    assert not waiting.done()
    waiting.cancel()


async def test_a_request_times_out_at_its_deadline():
    queue = SlotQueue({A: 1})
    lookup = request_class('lookup')
    await queue.acquire(queued_request(lookup, A))

    rejection = await queue.acquire(queued_request(lookup, A, deadline=0))

    assert isinstance(rejection, QueueRejection)
    assert rejection.timed_out
    assert queue.waiting == 0


@pytest.mark.parametrize('granted_first', [True, False])
async def test_a_cancelled_waiter_holds_no_slot_or_queue_entry(granted_first):
    queue = SlotQueue({A: 1})
    lookup = request_class('lookup')
    await queue.acquire(queued_request(lookup, A))
    (task,) = await start_acquiring(queue, queued_request(lookup, A))
    if granted_first:
        queue.release(A, 0.001)
        task.cancel()
    else:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        queue.release(A, 0.001)
    await asyncio.gather(task, return_exceptions=True)

    assert queue.free == {A: 1}
    assert queue.waiting == 0


@settings(derandomize=True, max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(['enter', 'transaction', 'leave', 'cancel']),
            st.integers(0, 3),
        ),
        max_size=60,
    ),
)
def test_the_number_of_slots_stays_constant(actions):
    asyncio.run(_random_run(actions))


async def _random_run(actions):
    slots = {A: 2, B: 1}
    queue = SlotQueue(slots)
    classes = [request_class(str(index), index + 1, 5) for index in range(4)]
    tasks = []
    held = []
    for action, number in actions:
        if action in {'enter', 'transaction'}:
            tasks += await start_acquiring(
                queue,
                queued_request(
                    classes[number],
                    *([A, B], [B], [A], [B, A])[number],
                    in_transaction=action == 'transaction',
                ),
            )
        elif action == 'leave' and held:
            queue.release(held.pop(number % len(held)), 0.001)
        elif action == 'cancel' and tasks:
            task = tasks.pop(number % len(tasks))
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0)
        done = [task for task in tasks if task.done()]
        tasks = [task for task in tasks if not task.done()]
        held += [
            task.result()
            for task in done
            if not isinstance(task.result(), QueueRejection)
        ]
        in_use = Counter(held)
        assert {
            name: in_use[name] + queue.free[name] for name in slots
        } == slots
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_suspending_frees_slots_up_to_the_spare_connections():
    queue = SlotQueue({A: 1}, spare_connections=1)
    lookup = request_class('lookup')
    await queue.acquire(queued_request(lookup, A))
    second, third = await start_acquiring(
        queue, queued_request(lookup, A), queued_request(lookup, A)
    )
    assert not second.done()

    queue.suspend(A)
    assert await second == A
    queue.suspend(A)
    await asyncio.sleep(0)
    assert not third.done()

    queue.resume(A)
    queue.release(A, 0.001)
    assert await third == A


async def test_a_resumed_transaction_gets_its_slot_at_once():
    queue = SlotQueue({A: 1}, spare_connections=1)
    lookup = request_class('lookup')
    await queue.acquire(queued_request(lookup, A))
    queue.suspend(A)
    await queue.acquire(queued_request(lookup, A))
    queue.resume(A)
    (waiting,) = await start_acquiring(queue, queued_request(lookup, A))
    queue.release(A, 0.001)
    await asyncio.sleep(0)
    assert not waiting.done()
    queue.release(A, 0.001)
    assert await waiting == A


async def test_a_slot_is_not_given_to_a_request_that_was_just_cancelled():
    """Guards against a lost slot and an error at the task that released it."""
    queue = SlotQueue({A: 1})
    lookup = request_class('lookup')
    await queue.acquire(queued_request(lookup, A))
    cancelled, following = await start_acquiring(
        queue, queued_request(lookup, A), queued_request(lookup, A)
    )
    cancelled.cancel()
    queue.release(A, 0.001)

    assert await following == A
    queue.release(A, 0.001)
    assert queue.free[A] == 1
