"""Whether an endpoint does its work, told from its answers alone."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

#: Seconds in which the weight of an answer falls to half.
HALF_LIFE: Final = 3.0

#: Weight of an answer that took longer than usual, against a failure.
SLOW_WEIGHT: Final = 0.5

#: Failures, newer ones counting more, from which an endpoint may be ill.
LEAST_FAILURES: Final = 1.5

#: Share of failures from which it is.
ILL_SHARE: Final = 0.3


class Health:
    """Failures and successes of one endpoint, newer ones counting more."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts well.

        Args:
            now: clock in seconds.
        """
        self._now = now
        self._at = now()
        self._failures: float = 0
        self._successes: float = 0

    @property
    def failing(self) -> bool:
        """Whether so much fails that others should be asked first."""
        self._fade()
        if self._failures < LEAST_FAILURES:
            return False
        share = self._failures / (self._failures + self._successes)
        return share >= ILL_SHARE

    def record_success(self) -> None:
        """Counts a statement that was answered."""
        self._fade()
        self._successes += 1

    def record_failure(self) -> None:
        """Counts a statement that failed or was never answered."""
        self._fade()
        self._failures += 1

    def record_slow(self) -> None:
        """Counts a statement that is not answered as soon as usual."""
        self._fade()
        self._failures += SLOW_WEIGHT

    def _fade(self) -> None:
        now = self._now()
        factor = 0.5 ** ((now - self._at) / HALF_LIFE)
        self._at = now
        self._failures *= factor
        self._successes *= factor
