"""A budget that keeps retries to a share of first tries."""

from __future__ import annotations

from typing import Final

#: Retries that are always allowed in a burst, however few first tries.
BURST: Final = 10.0


class RetryBudget:
    """Counts first tries and retries; refuses retries beyond a share."""

    def __init__(self, retry_ratio: float) -> None:
        """Starts with a full burst.

        Args:
            retry_ratio: retries allowed per first try.
        """
        self._retry_ratio = retry_ratio
        self._remaining = BURST

    @property
    def remaining(self) -> float:
        """Retries that may be made now."""
        return self._remaining

    def record_first_try(self) -> None:
        """Counts a first try, which earns its share of a retry."""
        self._remaining = min(BURST, self._remaining + self._retry_ratio)

    def try_spend(self) -> bool:
        """Spends one retry if there is one left.

        Returns:
            Whether the retry may be made.
        """
        allowed = self._remaining >= 1
        if allowed:
            self._remaining -= 1
        return allowed
