"""Outlier detection: whether an endpoint fails, judged by its answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

#: Half-life in seconds of the weight of an answer.
HALF_LIFE: Final = 3.0

#: Weight of a slow answer; a failure has weight 1.
SLOW_WEIGHT: Final = 0.5

#: Decayed failures from which an endpoint may count as failing.
MIN_FAILURES: Final = 1.5

#: Failure rate from which an endpoint counts as failing.
FAILING_RATE: Final = 0.3


class Health:
    """Failures and successes of one endpoint, with exponential decay."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts without failures or successes.

        Args:
            now: clock in seconds.
        """
        self._now = now
        self._decayed_at = now()
        self._failures: float = 0
        self._successes: float = 0

    @property
    def failing(self) -> bool:
        """Whether so much fails that other endpoints should be preferred."""
        self._decay()
        if self._failures < MIN_FAILURES:
            return False
        rate = self._failures / (self._failures + self._successes)
        return rate >= FAILING_RATE

    def record_success(self) -> None:
        """Counts a statement that was answered."""
        self._decay()
        self._successes += 1

    def record_failure(self) -> None:
        """Counts a statement that failed or was not answered."""
        self._decay()
        self._failures += 1

    def record_slow(self) -> None:
        """Counts a statement that takes longer than usual."""
        self._decay()
        self._failures += SLOW_WEIGHT

    def _decay(self) -> None:
        now = self._now()
        factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE)
        self._decayed_at = now
        self._failures *= factor
        self._successes *= factor
