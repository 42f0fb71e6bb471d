"""How long an endpoint usually takes, learnt from its own answers."""

from __future__ import annotations

from typing import Final

#: Weights of a new answer in the moving mean and deviation, as TCP takes them
#: for its retransmission time-out.
MEAN_WEIGHT: Final = 1 / 8
DEVIATION_WEIGHT: Final = 1 / 4

#: Deviations above the mean that still count as usual.
USUAL_DEVIATIONS: Final = 6

#: Bounds of the patience, in seconds.
MIN_SLOW_THRESHOLD: Final = 0.08
INITIAL_SLOW_THRESHOLD: Final = 0.15


class LatencyEstimator:
    """Moving mean and deviation of an endpoint's answers."""

    def __init__(self) -> None:
        """Starts without an answer."""
        self._mean: float | None = None
        self._deviation: float = 0

    @property
    def slow_threshold(self) -> float:
        """Seconds after which an answer takes longer than usual."""
        if self._mean is None:
            return INITIAL_SLOW_THRESHOLD
        usual = self._mean + USUAL_DEVIATIONS * self._deviation
        return max(MIN_SLOW_THRESHOLD, usual)

    @property
    def mean(self) -> float:
        """Seconds that an answer usually takes; 0 before the first one."""
        return self._mean or 0

    def add_sample(self, seconds: float) -> None:
        """Takes an answer in.

        Args:
            seconds: from the sending to the whole answer.
        """
        if self._mean is None:
            self._mean = seconds
            self._deviation = seconds / 2
            return
        off = seconds - self._mean
        self._mean += MEAN_WEIGHT * off
        self._deviation += DEVIATION_WEIGHT * (abs(off) - self._deviation)
