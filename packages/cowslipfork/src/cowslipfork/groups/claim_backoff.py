"""Pauses between claims that fail in a row."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial

from cowslipfork.store import backoff_delays

#: Bounds of the first and of every later pause, in seconds. A group waits no
#: longer than that after the store is back.
FIRST_PAUSE = 0.25
LONGEST_PAUSE = 2.0

_claim_delays = partial(backoff_delays, FIRST_PAUSE, LONGEST_PAUSE)


class ClaimBackoff:
    """Growing pauses, so that many groups do not herd at a store in need."""

    def __init__(
        self,
        delays: Callable[[], Iterator[float]] = _claim_delays,
    ) -> None:
        """Starts with the first pause.

        Args:
            delays: gives the seconds of pauses in a row.
        """
        self._delays = delays
        self._left = delays()

    def next_delay(self) -> float:
        """Gives the next pause in seconds."""
        return next(self._left)

    def reset(self) -> None:
        """Starts again with the first pause, after a success."""
        self._left = self._delays()
