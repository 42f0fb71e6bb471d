"""For how long a node that failed to answer is not asked again."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

#: Seconds of the first suspicion, and the most that doubling leads to.
FIRST_SUSPICION: Final = 1.0
MAX_SUSPICION: Final = 8.0


class Suspicion:
    """Whether a node is suspected of not answering."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Starts without suspicion.

        Args:
            clock: returns the time in seconds.
        """
        self._clock = clock
        self._seconds: float = 0
        self._until: float = 0

    @property
    def active(self) -> bool:
        """Whether the node is suspected now."""
        return self._clock() < self._until

    def record_failure(self) -> None:
        """Suspects the node, for twice as long as after the last failure.

        Failures during a suspicion have the same cause and do not add to it.
        """
        if self.active:
            return
        self._seconds = min(
            max(FIRST_SUSPICION, 2 * self._seconds), MAX_SUSPICION
        )
        self._until = self._clock() + self._seconds

    def record_answer(self) -> None:
        """Ends the suspicion; the next one is short again."""
        self._seconds = 0
        self._until = 0
