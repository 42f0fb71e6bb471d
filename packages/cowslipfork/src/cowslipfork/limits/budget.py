"""Limits retries to a fraction of first tries."""

from __future__ import annotations

from typing import Final

#: Retries that a burst may use even after few or no first tries.
BURST: Final = 10.0


class RetryBudget:
    """Token bucket for retries, refilled by a fraction per first try."""

    def __init__(self, share: float) -> None:
        """Starts with the budget of a full burst.

        Args:
            share: retries allowed per first try.
        """
        self._share = share
        self._left = BURST

    @property
    def left(self) -> float:
        """Retries left in the budget; only whole ones can be spent."""
        return self._left

    def first_try(self) -> None:
        """Adds a first try's fraction of a retry, up to a full burst."""
        self._left = min(BURST, self._left + self._share)

    def may_retry(self) -> bool:
        """Takes one retry from the budget if at least one is left.

        Returns:
            Whether the retry may be made.
        """
        allowed = self._left >= 1
        if allowed:
            self._left -= 1
        return allowed
