"""Timeout of an endpoint's status requests, learnt from its own answers.

A request that is given up on costs the endpoint a connection. With a constant
timeout, an endpoint that is slower than that would never answer, and each new
request would make it slower still.
"""

from __future__ import annotations

from typing import Final

#: Least and greatest seconds that a status request may take.
MIN_TIMEOUT: Final = 0.25
MAX_TIMEOUT: Final = 2.0

#: An answer may take this many times as long as the one before it.
TOLERANCE: Final = 2


class StatusTimeout:
    """Seconds that the next status request of an endpoint may take."""

    def __init__(self) -> None:
        """Starts with the least timeout."""
        self._seconds = MIN_TIMEOUT

    @property
    def seconds(self) -> float:
        """Seconds that the next request may take."""
        return self._seconds

    def record_answer(self, seconds: float) -> None:
        """Adapts the timeout to an answer.

        Args:
            seconds: how long the answer took.
        """
        usual = TOLERANCE * seconds
        self._seconds = min(max(usual, MIN_TIMEOUT), MAX_TIMEOUT)

    def record_timeout(self, seconds: float) -> None:
        """Doubles the timeout after a request that was given up on.

        Args:
            seconds: timeout of that request; those sent at the same time
                count once.
        """
        doubled = min(2 * seconds, MAX_TIMEOUT)
        self._seconds = max(self._seconds, doubled)
