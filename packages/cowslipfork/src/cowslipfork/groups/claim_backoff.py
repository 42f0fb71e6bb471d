"""Delays between consecutive failed claims."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial

from cowslipfork.store import backoff_delays

#: Upper bounds of the first and of every later delay, in seconds. A group waits
#: no longer than that once the store is available again.
MAX_FIRST_DELAY = 0.25
MAX_DELAY = 2.0

_claim_delays = partial(backoff_delays, MAX_FIRST_DELAY, MAX_DELAY)


class ClaimBackoff:
    """Growing delays, so that many groups do not overload a failing store."""

    def __init__(
        self,
        delays: Callable[[], Iterator[float]] = _claim_delays,
    ) -> None:
        """Starts with the first delay.

        Args:
            delays: returns an iterator over consecutive delays in seconds.
        """
        self._delays = delays
        self._remaining = delays()

    def next_delay(self) -> float:
        """Returns the next delay in seconds."""
        return next(self._remaining)

    def reset(self) -> None:
        """Starts again with the first delay, after a success."""
        self._remaining = self._delays()
