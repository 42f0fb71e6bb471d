"""Writes outside transactions: run on the primary, held by a majority."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from cowslipfork.ids import Mark, Term
from cowslipfork.outcomes import Done, NotRun, Outcome, Reason, Refused, Unknown
from cowslipfork.requests import Answer, Request
from cowslipfork_proxy.carrier._grants import RECONNECT_MS, Grant
from cowslipfork_proxy.endpoints import ConnectionBroken, EndpointRefused

#: Error numbers with which an endpoint refuses a statement unrun.
_READ_ONLY: Final = 1290
UNRUN: Final = frozenset(
    (_READ_ONLY, Reason.STALE_TERM.value, Reason.NO_FREE_SLOT.value),
)

#: Waits until all that the term's primary has committed is majority-held.
Acknowledge: TypeAlias = Callable[[Term, float], Awaitable[Mark | None]]


def refusal(refused: EndpointRefused) -> NotRun | Refused:
    """Judges an endpoint's error packet.

    Args:
        refused: the error packet.

    Returns:
        Not run if the endpoint says so; otherwise the error as it came.
    """
    if refused.errno in UNRUN:
        reason = (
            Reason.NO_FREE_SLOT
            if refused.errno == Reason.NO_FREE_SLOT.value
            else Reason.STALE_TERM
        )
        return NotRun(reason, RECONNECT_MS, refused.text)
    return Refused(refused.errno, refused.sqlstate, refused.text)


async def run_write(
    request: Request,
    grant: Grant,
    acknowledge: Acknowledge,
) -> Outcome[Answer]:
    """Runs one statement that commits by itself.

    Args:
        request: the statement.
        grant: of the primary; released before the acknowledgement.
        acknowledge: waits until the write is majority-held.

    Returns:
        Done with the write's mark, or what is known.
    """
    try:
        answer = await grant.connection.command(
            request.sql,
            remaining(request),
        )
    except EndpointRefused as refused:
        return refusal(refused)
    except ConnectionBroken as broken:
        return Unknown(request.request_id, RECONNECT_MS, broken.cause)
    finally:
        grant.release()
    return await confirmed(request, answer, grant, acknowledge)


async def confirmed(
    request: Request,
    answer: Answer,
    grant: Grant,
    acknowledge: Acknowledge,
) -> Outcome[Answer]:
    """Holds an answer back until its commit is majority-held.

    Args:
        request: the committed request.
        answer: the endpoint's figures.
        grant: whose connection committed it.
        acknowledge: waits until the write is majority-held.

    Returns:
        Done with the write's mark; unknown if the proof did not come.
    """
    term = grant.connection.term
    mark = None
    if term is not None:
        mark = await acknowledge(term, request.deadline)
    if mark is None:
        return Unknown(
            request.request_id,
            RECONNECT_MS,
            'no majority is known to hold the write',
        )
    answer.mark = mark
    return Done(answer)


def remaining(request: Request) -> float:
    """Tells the time left.

    Args:
        request: whose deadline counts.

    Returns:
        Seconds, never negative.
    """
    return max(0, request.deadline - asyncio.get_running_loop().time())
