"""A budget that keeps retries to a share of first tries."""

from __future__ import annotations

from typing import Final

#: Retries that are always allowed in a burst, however few first tries.
BURST: Final = 10.0


class RetryBudget:
    """Counts first tries and retries; refuses retries beyond a share."""

    def __init__(self, share: float) -> None:
        """Starts with a full burst.

        Args:
            share: retries allowed per first try.
        """
        self._share = share
        self._left = BURST

    @property
    def left(self) -> float:
        """Retries that may be made now."""
        return self._left

    def first_try(self) -> None:
        """Counts a first try, which earns its share of a retry."""
        self._left = min(BURST, self._left + self._share)

    def may_retry(self) -> bool:
        """Spends one retry if there is one left.

        Returns:
            Whether the retry may be made.
        """
        allowed = self._left >= 1
        if allowed:
            self._left -= 1
        return allowed
