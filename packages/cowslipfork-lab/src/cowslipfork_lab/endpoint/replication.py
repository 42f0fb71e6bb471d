"""Task of a replica that pulls the primary's log and applies it."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Sequence
from typing import Any

import asyncmy
from asyncmy.errors import MySQLError

from cowslipfork.groups import EndpointRole
from cowslipfork.ids import Mark, Position, Term
from cowslipfork_lab.endpoint.faults import NEVER_BLOCKED
from cowslipfork_lab.endpoint.group_statements import LOG_WAIT_SECONDS
from cowslipfork_lab.endpoint.log import Entry, decode_changes
from cowslipfork_lab.endpoint.state import EndpointState

#: Login of replicas; its connections count for no limit.
REPLICATION_USER = 'replication'
#: Pause before a broken link is opened anew.
RETRY_SECONDS = 0.05
#: A link that stays silent for longer is opened anew.
SILENCE_SECONDS = LOG_WAIT_SECONDS + 1

_log = logging.getLogger(__name__)


async def replicate(state: EndpointState) -> None:
    """Follows whatever primary the endpoint is told to follow.

    Args:
        state: the endpoint.
    """
    member = state.member
    while True:
        target = (member.term, member.following)
        follower = asyncio.create_task(_follow(state, *target))
        while (member.term, member.following) == target:
            await member.state_changed.wait()
        follower.cancel()
        await asyncio.gather(follower, return_exceptions=True)


async def _follow(state: EndpointState, term: Term, primary: str) -> None:
    while primary:
        try:
            await _pull(state, primary, term)
        except (OSError, TimeoutError, MySQLError) as error:
            _log.info('event=replication_broken error=%r', error)
            _raise_if_cancelled()
        await asyncio.sleep(RETRY_SECONDS)


def _raise_if_cancelled() -> None:
    """Restores a cancellation that the driver lost in a refused connect."""
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError


async def _pull(state: EndpointState, primary: str, term: Term) -> None:
    host, _, port = primary.rpartition(':')
    await state.faults.wait_while_blocked(NEVER_BLOCKED, peer=True)
    async with asyncio.timeout(SILENCE_SECONDS):
        connection = await asyncmy.connect(
            host=host,
            port=int(port),
            user=REPLICATION_USER,
        )
    try:
        await _pull_over(connection, state, term)
    finally:
        connection.close()


async def _pull_over(
    connection: Any,
    state: EndpointState,
    term: Term,
) -> None:
    await _ask(connection, f'SET SESSION group_term = {term}')
    if state.member.role == EndpointRole.FENCED:
        ends = await _ask(connection, 'SHOW GROUP LOG TERMS')
        state.member.agree([_mark(*end) for end in ends])
    waiting: deque[tuple[float, Entry]] = deque()
    received = asyncio.Event()
    applier = asyncio.create_task(_apply(state, waiting, received))
    try:
        await _receive(connection, state, waiting, received)
    finally:
        applier.cancel()
        await asyncio.gather(applier, return_exceptions=True)


async def _receive(
    connection: Any,
    state: EndpointState,
    waiting: deque[tuple[float, Entry]],
    received: asyncio.Event,
) -> None:
    clock = asyncio.get_running_loop()
    log = state.member.log
    while True:
        position = len(log.entries) + len(waiting)
        rows = await _ask(connection, f'SHOW GROUP LOG AFTER {position}')
        await state.faults.wait_while_blocked(NEVER_BLOCKED, peer=True)
        arrived = clock.time()
        waiting.extend(
            (arrived, Entry(_mark(*row[:2]), decode_changes(row[2])))
            for row in rows
        )
        received.set()


async def _apply(
    state: EndpointState,
    waiting: deque[tuple[float, Entry]],
    received: asyncio.Event,
) -> None:
    clock = asyncio.get_running_loop()
    while True:
        await received.wait()
        received.clear()
        while waiting:
            age = clock.time() - waiting[0][0]
            if age < state.faults.lag_seconds:
                await asyncio.sleep(_lag_step(state, age))
                continue
            state.member.apply(waiting.popleft()[1])


def _lag_step(state: EndpointState, age: float) -> float:
    """Sleeps in short steps, so that a shorter lag takes effect at once."""
    return min(state.faults.lag_seconds - age, RETRY_SECONDS)


async def _ask(connection: Any, sql: str) -> Sequence[Sequence[Any]]:
    async with asyncio.timeout(SILENCE_SECONDS):
        async with connection.cursor() as cursor:
            await cursor.execute(sql)
            return await cursor.fetchall()


def _mark(term: int, position: int) -> Mark:
    return Mark(Term(term), Position(position))
