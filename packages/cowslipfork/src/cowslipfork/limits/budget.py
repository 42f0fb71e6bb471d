"""Limits retries to a fraction of first tries."""

from __future__ import annotations

from typing import Final

#: Retries that a burst may use even after few or no first tries.
BURST: Final = 10.0


class RetryBudget:
    """Token bucket for retries, refilled by a fraction per first try."""

    def __init__(self, retry_ratio: float) -> None:
        """Starts with the budget of a full burst.

        Args:
            retry_ratio: retries allowed per first try.
        """
        self._retry_ratio = retry_ratio
        self._remaining = BURST

    @property
    def remaining(self) -> float:
        """Retries left in the budget; only whole ones can be spent."""
        return self._remaining

    def record_first_try(self) -> None:
        """Adds a first try's fraction of a retry, up to a full burst."""
        self._remaining = min(BURST, self._remaining + self._retry_ratio)

    def try_spend(self) -> bool:
        """Takes one retry from the budget if at least one is left.

        Returns:
            Whether the retry may be made.
        """
        allowed = self._remaining >= 1
        if allowed:
            self._remaining -= 1
        return allowed
