"""How long a statement waits until it is sent.

Under load it waits for a connection as long as its goal allows, since its
caller may find another node with room. While the primary changes it may wait
to its deadline: nobody else would serve it sooner.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from cowslipfork.ids import EndpointId
from cowslipfork.limits import QueuedRequest, QueueRejection
from cowslipfork_direct.checkout import Checkout, borrow
from cowslipfork_direct.link import LinkRefused
from cowslipfork_direct.work import Work

#: Seconds before the deadline at which nothing is sent any more: it would only
#: end in doubt.
LEAST_TIME: Final = 0.1

#: Seconds that every statement may wait.
LEAST_WAIT: Final = 0.1

#: Gives the endpoints that may serve a statement now, best first.
Candidates = Callable[[], Iterable[EndpointId]]


def in_time(work: Work) -> bool:
    """Tells whether it still makes sense to send a statement.

    Args:
        work: the statement.
    """
    last = work.deadline - LEAST_TIME
    return asyncio.get_running_loop().time() < last


def wait_until(work: Work) -> float:
    """Gives the loop time up to which a statement waits for a connection.

    Args:
        work: the statement.
    """
    group = work.service.group
    last = min(work.deadline - LEAST_TIME, group.worth_waiting_until())
    if group.accepting_leader is None:
        return last
    now = asyncio.get_running_loop().time()
    return min(last, now + max(work.route.latency_goal, LEAST_WAIT))


async def borrow_for(
    work: Work,
    candidates: Candidates,
) -> Checkout | QueueRejection | LinkRefused:
    """Waits for a connection for as long as that is worth it.

    Args:
        work: the statement.
        candidates: gives the endpoints that may serve it, best first.

    Returns:
        The loan; or why there is none: nothing was sent.
    """
    group = work.service.group
    loop = asyncio.get_running_loop()
    while True:
        until = wait_until(work)
        queued_request = QueuedRequest(work.request_class, candidates, until)
        checkout = await borrow(group, queued_request, work.values)
        if not isinstance(checkout, QueueRejection) or not checkout.timed_out:
            return checkout
        # A primary that was lost meanwhile is worth waiting for.
        if (
            group.accepting_leader is not None
            or wait_until(work) <= loop.time()
        ):
            return checkout
