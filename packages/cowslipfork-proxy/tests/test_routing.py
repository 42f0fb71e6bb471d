import asyncio

import pytest

from cowslipfork.ids import GroupName, RequestId, TeamName, TransactionId, VmId
from cowslipfork.outcomes import Done, NotRun, Reason, Unknown
from cowslipfork.requests import Answer, Operation, Request
from cowslipfork_proxy.routing import Router

GROUP = GroupName('orders')
A, B = VmId('a'), VmId('b')
DONE = Done(Answer(affected_rows=1))
UNKNOWN = Unknown(None)
NO_CARRIER = NotRun(Reason.NO_CARRIER, 200)
NO_PRIMARY = NotRun(Reason.NO_PRIMARY, 200)
FULL = NotRun(Reason.QUEUE_FULL, 200)


def request(operation=Operation.WRITE, seconds=20.0, **fields):
    return Request(
        GROUP,
        None,
        operation,
        '',
        TeamName('t'),
        deadline=asyncio.get_running_loop().time() + seconds,
        **fields,
    )


def router(outcomes, max_waiting=10, carriers=None):
    """Routes to a carrier that gives outcomes in order, the last for ever."""
    asked = []
    left = list(outcomes)

    def runner_for(vm):
        async def run(sent):
            asked.append(vm)
            return left.pop(0) if len(left) > 1 else left[0]

        return run

    names = iter(carriers or ())
    made = Router(lambda group: next(names, A), runner_for, lambda: max_waiting)
    return made, asked


@pytest.mark.parametrize(
    ('outcomes', 'job', 'expected', 'tries'),
    [
        ([DONE], False, DONE, 1),
        ([NO_CARRIER, NO_PRIMARY, DONE], False, DONE, 3),
        ([FULL, DONE], False, FULL, 1),
        ([UNKNOWN, DONE], False, UNKNOWN, 1),
        ([UNKNOWN, DONE], True, DONE, 2),
        ([UNKNOWN, FULL, DONE], True, DONE, 3),
    ],
)
async def test_only_what_is_safe_is_tried_again(outcomes, job, expected, tries):
    route, asked = router(outcomes)
    request_id = RequestId('r') if job else None

    outcome = await route.run(request(request_id=request_id))

    assert outcome == expected
    assert len(asked) == tries
    assert route.waiting == 0


async def test_a_later_not_run_does_not_hide_an_unknown():
    route, _ = router([UNKNOWN, FULL])

    outcome = await route.run(request(seconds=0.2, request_id=RequestId('r')))

    assert outcome == UNKNOWN


async def test_over_the_bound_nothing_is_held():
    route, asked = router([NO_PRIMARY], max_waiting=0)

    assert await route.run(request()) == NO_PRIMARY
    assert len(asked) == 1


async def test_nothing_is_held_beyond_the_deadline():
    route, _ = router([NO_PRIMARY])

    assert await route.run(request(seconds=0)) == NO_PRIMARY


async def test_a_transaction_stays_with_its_carrier():
    route, asked = router([DONE], carriers=[A, B, B, B])
    name = TransactionId('t')

    for operation in (Operation.BEGIN, Operation.WRITE, Operation.COMMIT):
        await route.run(request(operation, transaction=name))

    assert asked == [A, A, A]
    after = await route.run(request(Operation.WRITE, transaction=name))
    assert after.reason is Reason.TRANSACTION_LOST


async def test_a_begin_is_held_and_its_statements_are_not():
    route, asked = router(
        [NO_CARRIER, DONE, NO_PRIMARY],
        carriers=[A, B],
    )
    name = TransactionId('t')

    begun = await route.run(request(Operation.BEGIN, transaction=name))
    inside = await route.run(request(Operation.WRITE, transaction=name))

    assert begun == DONE
    assert inside == NO_PRIMARY
    assert asked == [A, B, B]
