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
from cowslipfork.limits import Place, Shed
from cowslipfork_direct.checkout import Loan, borrow
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
    if group.accepting is None:
        return last
    now = asyncio.get_running_loop().time()
    return min(last, now + max(work.route.goal, LEAST_WAIT))


async def borrow_for(
    work: Work,
    candidates: Candidates,
) -> Loan | Shed | LinkRefused:
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
        place = Place(work.request_class, candidates, until)
        loan = await borrow(group, place, work.values)
        if not isinstance(loan, Shed) or not loan.late:
            return loan
        # A primary that was lost meanwhile is worth waiting for.
        if group.accepting is not None or wait_until(work) <= loop.time():
            return loan
