"""Completed checks, kept to prove the maximum age of an endpoint's data."""

from __future__ import annotations

from bisect import bisect_right

from cowslipfork.groups.check import CompletedCheck
from cowslipfork.ids import Mark

#: Maximum number of checks kept for endpoints that lag. Beyond it every second
#: check is dropped, which can only overstate an age.
MAX_CHECKS = 512


class CheckHistory:
    """Completed checks in order; both their start times and marks only grow.

    Checks that found the same mark are kept as one: the first gives the time
    since when the mark is known, the last is the strongest proof of age.
    """

    def __init__(self) -> None:
        """Starts without checks."""
        self._marks: list[Mark] = []
        self._since: list[float] = []
        self._checks: list[CompletedCheck] = []

    @property
    def latest(self) -> CompletedCheck | None:
        """The newest check; None before the first one."""
        return self._checks[-1] if self._checks else None

    def add(self, check: CompletedCheck) -> bool:
        """Adds a check if it is newer than the newest one.

        Returns:
            Whether the check was newer and has been added.
        """
        latest = self.latest
        if latest is not None and check.ordinal <= latest.ordinal:
            return False
        since = check.begun
        # A newer check with an equal or lower mark proves more. The mark is
        # lower after a promotion that discarded an unacknowledged tail.
        while self._marks and self._marks[-1] >= check.mark:
            if self._marks.pop() == check.mark:
                since = self._since[-1]
            self._since.pop()
            self._checks.pop()
        self._marks.append(check.mark)
        self._since.append(since)
        self._checks.append(check)
        if len(self._checks) > MAX_CHECKS:
            self._thin()
        return True

    def latest_at_or_below(self, mark: Mark) -> CompletedCheck | None:
        """Returns the newest check whose mark is at or below a mark, if any."""
        index = bisect_right(self._marks, mark)
        return self._checks[index - 1] if index else None

    def higher_mark_since(self, mark: Mark) -> float | None:
        """Returns the time since when a higher mark than the given is known.

        Returns:
            Loop time in seconds, or None if no check found a higher mark.
        """
        index = bisect_right(self._marks, mark)
        return self._since[index] if index < len(self._since) else None

    def _thin(self) -> None:
        # The newest check stays; a dropped one can only overstate an age.
        newest = len(self._checks) - 1
        kept = [
            index for index in range(newest + 1) if (newest - index) % 2 == 0
        ]
        self._marks = [self._marks[index] for index in kept]
        self._since = [self._since[index] for index in kept]
        self._checks = [self._checks[index] for index in kept]
