"""A token bucket whose limits may change, and when rejected callers retry.

Answers these load patterns: a workspace that sends many times its rate, a rate
or a burst that operators lower while it is used up, operations that were
granted and never ran, and many callers that are rejected within one interval
between two tokens. Those callers get times that are one token apart: if all of
them came back with the next token, all but one would be rejected again.
"""

from __future__ import annotations

import math
from typing import Final

from cowslipfork.limits.admission import SPREAD

#: Seconds of the window over which granted operations are counted.
WINDOW: Final = 5.0

#: Greatest number of seconds after which a rejected caller should retry.
MAX_RETRY_AFTER: Final = 5.0

#: Least capacity of a bucket; one with less would never hold a whole token.
MIN_CAPACITY: Final = 1.0

#: Tokens by which rounding of floats may make a bucket fall short.
_ROUNDING: Final = 1e-6


class TokenBucket:
    """Tokens that accumulate at a rate, up to a burst.

    In any period of s seconds at most burst + rate * s tokens are taken and not
    given back. Times are seconds of one clock and must not decrease; an earlier
    time counts as the latest one.
    """

    def __init__(
        self, rate: float, burst: float, now: float, initial: float = 0
    ) -> None:
        """Starts with the initial tokens.

        Args:
            rate: tokens per second.
            burst: most tokens that accumulate; at least ``MIN_CAPACITY`` is
                used.
            now: time from which tokens accumulate.
            initial: tokens at the start.
        """
        self._rate = rate
        self._capacity = max(MIN_CAPACITY, burst)
        self._tokens = initial
        self._filled_at = now
        self._full_at = now

    @property
    def rate(self) -> float:
        """Tokens per second."""
        return self._rate

    def set_limit(self, rate: float, burst: float, now: float) -> None:
        """Changes the limit, which takes effect at once.

        Tokens beyond the new burst are lost, and a greater burst has to
        accumulate. If the burst falls while the rate rises, tokens that were
        taken under the old burst are subtracted again as far as the new rate
        could return them within ``WINDOW``. So no window that a change falls
        into grants more than the greater of the windows of the two limits.

        Args:
            rate: tokens per second.
            burst: most tokens that accumulate.
            now: time of the change.
        """
        capacity = max(MIN_CAPACITY, burst)
        if (rate, capacity) == (self._rate, self._capacity):
            return
        self._refill(now)
        less_burst = max(0, self._capacity - capacity)
        more_rate = max(0, rate - self._rate)
        owed = min(less_burst, more_rate * WINDOW)
        self._tokens = min(capacity, self._tokens - owed)
        self._rate = rate
        self._capacity = capacity

    def take(self, operations: int, now: float) -> int:
        """Takes tokens for as many operations as there are whole tokens.

        Args:
            operations: number of operations that ask for a token.
            now: current time.

        Returns:
            Number of operations that got one.
        """
        self._refill(now)
        whole = math.floor(self._tokens + _ROUNDING)
        granted = max(0, min(operations, whole))
        self._tokens -= granted
        return granted

    def give_back(self, operations: int, taken_at: float) -> None:
        """Returns the tokens of operations that did not run.

        Tokens that were taken before the bucket was last full are dropped: the
        bucket would have held no more than it did with them.

        Args:
            operations: number of operations.
            taken_at: time at which the first of them took its token.
        """
        if taken_at >= self._full_at:
            self._tokens = min(self._capacity, self._tokens + operations)

    def full(self, now: float) -> bool:
        """Returns whether no more tokens accumulate."""
        self._refill(now)
        return self._tokens >= self._capacity

    def seconds_to_token(self, now: float) -> float:
        """Returns seconds until the next whole token, 0 if there is one."""
        self._refill(now)
        missing = 1 - self._tokens
        if missing <= _ROUNDING:
            return 0
        if self._rate * MAX_RETRY_AFTER <= missing:
            return MAX_RETRY_AFTER
        return missing / self._rate

    def _refill(self, now: float) -> None:
        elapsed = max(0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        self._tokens += elapsed * self._rate
        if self._tokens >= self._capacity:
            self._tokens = self._capacity
            self._full_at = self._filled_at


class RetryQueue:
    """Times at which rejected callers come back, one token apart."""

    def __init__(self) -> None:
        """Starts without rejected callers."""
        self._last_at = -math.inf

    def reserve(
        self, callers: int, wait: float, rate: float, now: float
    ) -> float:
        """Adds rejected callers behind those that were rejected before.

        Args:
            callers: number of callers rejected now.
            wait: seconds until the next token.
            rate: tokens per second.
            now: current time.

        Returns:
            Seconds from now until the last of them should come back, at least
            ``wait``.
        """
        begin = max(self._last_at, now + wait)
        interval = 1 / rate if rate > 0 else MAX_RETRY_AFTER
        latest = now + MAX_RETRY_AFTER
        self._last_at = max(now + wait, min(latest, begin + callers * interval))
        return self._last_at - now


def spread_retry(wait: float, last: float, draw: float) -> float:
    """Returns after how many seconds one of many rejected callers retries.

    Args:
        wait: seconds until the next token.
        last: seconds until the last rejected caller should come back.
        draw: random number from 0 to 1 that spreads the callers.
    """
    return wait + max(0, last - wait) * SPREAD * draw
