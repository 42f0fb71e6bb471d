"""Futures ordered by key, resolved in order without a scan of all."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Generic, TypeVar

from expression import Error, Ok, Result

from cowslipfork.groups.check import CheckFailure
from cowslipfork.ids import Mark

CheckResult = Result[Mark, CheckFailure]
_Key = TypeVar('_Key', int, Mark)

#: Number of waiters at which those that are done are removed.
_PURGE_AT = 256


class Waiters(Generic[_Key]):
    """Heap of futures, ordered by the key that each waits for."""

    def __init__(self) -> None:
        """Starts without waiters."""
        self._heap: list[tuple[_Key, int, asyncio.Future[CheckResult]]] = []
        self._numbers = count()
        self._purge_at = _PURGE_AT

    def join(self, key: _Key, waiter: asyncio.Future[CheckResult]) -> None:
        """Adds a future that waits for a key."""
        heappush(self._heap, (key, next(self._numbers), waiter))
        if len(self._heap) >= self._purge_at:
            self._purge()

    def pop_up_to(
        self,
        key: _Key,
        callback: Callable[[asyncio.Future[CheckResult]], None],
    ) -> None:
        """Removes the waiters up to a key and passes each to a function.

        They are passed in the order of their keys; those that are done
        already, as after a time-out, are left out.
        """
        while self._heap and self._heap[0][0] <= key:
            waiter = heappop(self._heap)[2]
            if not waiter.done():
                callback(waiter)

    def fail(self, failure: CheckFailure) -> None:
        """Resolves all waiters with a failure and removes them."""
        for entry in self._heap:
            resolve(entry[2], Error(failure))
        self._heap = []

    def _purge(self) -> None:
        # Removes waiters that timed out or were cancelled. A list that is
        # sorted by key is a heap.
        self._heap = sorted(
            (entry for entry in self._heap if not entry[2].done()),
            key=lambda entry: entry[:2],
        )
        self._purge_at = max(_PURGE_AT, 2 * len(self._heap))


def resolve(waiter: asyncio.Future[CheckResult], result: CheckResult) -> None:
    """Resolves a waiter unless it is done, as after a time-out."""
    if not waiter.done():
        waiter.set_result(result)


def resolver(mark: Mark) -> Callable[[asyncio.Future[CheckResult]], None]:
    """Returns a function that resolves a waiter with a mark."""
    return lambda waiter: resolve(waiter, Ok(mark))


async def wait_for_result(
    waiter: asyncio.Future[CheckResult], deadline: float
) -> CheckResult:
    """Waits until a waiter is resolved.

    Args:
        waiter: a future that was added to ``Waiters``.
        deadline: loop time in seconds.

    Returns:
        The result of the future, or NO_MAJORITY at the deadline.
    """
    try:
        async with asyncio.timeout_at(deadline):
            return await waiter
    except TimeoutError:
        return Error(CheckFailure.NO_MAJORITY)
