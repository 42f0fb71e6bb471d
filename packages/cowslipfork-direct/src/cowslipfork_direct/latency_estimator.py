"""Estimate of an endpoint's latency from its own answers."""

from __future__ import annotations

from typing import Final

#: Weights of a new answer in the moving mean and deviation, as in TCP's
#: retransmission time-out.
MEAN_WEIGHT: Final = 1 / 8
DEVIATION_WEIGHT: Final = 1 / 4

#: Deviations above the mean up to which an answer is not slow.
USUAL_DEVIATIONS: Final = 6

#: Least slow threshold and the one before the first answer, in seconds.
MIN_SLOW_THRESHOLD: Final = 0.08
INITIAL_SLOW_THRESHOLD: Final = 0.15


class LatencyEstimator:
    """Moving mean and deviation of the seconds that answers take."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._mean: float | None = None
        self._deviation: float = 0

    @property
    def slow_threshold(self) -> float:
        """Seconds after which an answer counts as slow."""
        if self._mean is None:
            return INITIAL_SLOW_THRESHOLD
        usual = self._mean + USUAL_DEVIATIONS * self._deviation
        return max(MIN_SLOW_THRESHOLD, usual)

    @property
    def mean(self) -> float:
        """Mean seconds of an answer; 0 before the first one."""
        return self._mean or 0

    def add_sample(self, seconds: float) -> None:
        """Updates mean and deviation with an answer.

        Args:
            seconds: from sending the request to the complete answer.
        """
        if self._mean is None:
            self._mean = seconds
            self._deviation = seconds / 2
            return
        difference = seconds - self._mean
        self._mean += MEAN_WEIGHT * difference
        self._deviation += DEVIATION_WEIGHT * (
            abs(difference) - self._deviation
        )
