"""How long a statement waits before it is sent.

Under load it waits for a connection as long as its latency goal allows, since
its caller may find another node with free connections. While the primary
changes it may wait until its deadline: no other node would serve it sooner.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from cowslipfork.ids import EndpointId
from cowslipfork.limits import QueuedRequest, QueueRejection
from cowslipfork.outcomes import NotRun, Reason
from cowslipfork_direct.checkout import Checkout, check_out
from cowslipfork_direct.link import LinkRefused
from cowslipfork_direct.pool_policy import Wanted
from cowslipfork_direct.work import ServedStatement

#: Seconds before the deadline from which nothing is sent any more: the outcome
#: would most likely be unknown.
MIN_TIME_TO_SEND: Final = 0.1

#: Seconds that every statement may wait, whatever its latency goal.
MIN_WAIT: Final = 0.1

#: Milliseconds after which a caller that waited in vain for a primary should
#: retry: most changes of primary are over by then.
PRIMARY_RETRY_AFTER_MS: Final = 500

#: Returns the endpoints that may serve a statement now, best first.
Candidates = Callable[[], Iterable[EndpointId]]


def has_time_to_send(served: ServedStatement) -> bool:
    """Returns whether there is enough time left to send a statement.

    Args:
        served: the statement.
    """
    latest = served.deadline - MIN_TIME_TO_SEND
    return asyncio.get_running_loop().time() < latest


def wait_deadline(served: ServedStatement) -> float:
    """Returns the loop time until which a statement waits for a connection.

    Args:
        served: the statement.
    """
    group = served.service.group
    latest = min(served.deadline - MIN_TIME_TO_SEND, group.max_wait_until())
    if group.accepting_leader is None:
        return latest
    now = asyncio.get_running_loop().time()
    return min(latest, now + max(served.route.latency_goal, MIN_WAIT))


def refusal_of(
    served: ServedStatement,
    candidates: Candidates,
    rejection: QueueRejection,
) -> NotRun:
    """Returns the outcome of a statement that got no connection.

    Args:
        served: the statement, which was not sent.
        candidates: returns the endpoints that may serve it now.
        rejection: the queue's answer.
    """
    primary = served.service.group.accepting_leader
    if primary is None and not any(candidates()):
        return NotRun(Reason.NO_PRIMARY, PRIMARY_RETRY_AFTER_MS)
    reason = Reason.NO_FREE_SLOT if rejection.timed_out else Reason.QUEUE_FULL
    return NotRun(reason, rejection.retry_after_ms)


async def check_out_for(
    served: ServedStatement,
    candidates: Candidates,
) -> Checkout | QueueRejection | LinkRefused:
    """Waits for a connection for as long as that makes sense.

    Args:
        served: the statement.
        candidates: returns the endpoints that may serve it, best first.

    Returns:
        The checkout, or the reason why there is none; then nothing was sent.
    """
    group = served.service.group
    loop = asyncio.get_running_loop()
    wanted = Wanted(served.values, served.workspace)
    while True:
        until = wait_deadline(served)
        queued_request = QueuedRequest(
            served.request_class,
            candidates,
            until,
            workspace=served.workspace,
        )
        checkout = await check_out(group, queued_request, wanted)
        if not isinstance(checkout, QueueRejection) or not checkout.timed_out:
            return checkout
        # If the primary was lost meanwhile, waiting for a new one makes sense.
        if (
            group.accepting_leader is not None
            or wait_deadline(served) <= loop.time()
        ):
            return checkout
