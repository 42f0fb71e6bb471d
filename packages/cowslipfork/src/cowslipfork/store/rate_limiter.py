"""A budget of store calls: a token bucket that makes callers wait."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from cowslipfork.store.port import StoreDown

#: Calls a second that a node may make for long.
CALLS_PER_SECOND = 20

#: Calls that a node may make at once after a quiet time.
BURST = 40

#: Longest wait for the budget, in seconds; later calls are refused unsent.
LONGEST_WAIT = 1.0


class CallRateLimiter:
    """Bounds the calls of one node, whatever the node is about to do."""

    def __init__(
        self,
        rate: float = CALLS_PER_SECOND,
        burst: float = BURST,
        now: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """Starts full.

        Args:
            rate: calls a second.
            burst: calls at once.
            now: clock in seconds.
            sleep: waits for seconds.
        """
        self._rate = rate
        self._burst = burst
        self._now = now
        self._sleep = sleep
        self._tokens = burst
        self._filled_at = now()

    @property
    def tokens(self) -> float:
        """Calls that could be made now; negative while callers wait."""
        self._refill()
        return self._tokens

    async def acquire(self, operation: str) -> None:
        """Waits until the budget allows a call.

        Args:
            operation: name of the call.

        Raises:
            StoreDown: the wait would be too long; nothing was sent.
        """
        self._refill()
        wait = max(0, (1 - self._tokens) / self._rate)
        if wait > LONGEST_WAIT:
            raise StoreDown(operation, 'call budget is used up')
        self._tokens -= 1
        if wait:
            await self._sleep(wait)

    def _refill(self) -> None:
        now = self._now()
        gained = (now - self._filled_at) * self._rate
        self._filled_at = now
        self._tokens = min(self._burst, self._tokens + gained)
