"""Completed checks, kept to prove the maximum age of an endpoint's data."""

from __future__ import annotations

from bisect import bisect_right

from cowslipfork.groups.check import CheckPoint
from cowslipfork.ids import Mark

#: Maximum number of checks kept for endpoints that lag. Beyond it every second
#: check is dropped, which can only overstate an age.
POINTS_KEPT = 512


class ProvedPoints:
    """Completed checks in order; both their start times and marks only grow.

    Checks that found the same mark are kept as one: the first gives the time
    since when the mark is known, the last is the strongest proof of age.
    """

    def __init__(self) -> None:
        """Starts without checks."""
        self._marks: list[Mark] = []
        self._since: list[float] = []
        self._points: list[CheckPoint] = []

    @property
    def latest(self) -> CheckPoint | None:
        """The newest check; None before the first one."""
        return self._points[-1] if self._points else None

    def add(self, point: CheckPoint) -> bool:
        """Adds a check if it is newer than the newest one.

        Returns:
            Whether the check was newer and has been added.
        """
        latest = self.latest
        if latest is not None and point.ordinal <= latest.ordinal:
            return False
        since = point.begun
        # A newer check with an equal or lower mark proves more. The mark is
        # lower after a promotion that discarded an unacknowledged tail.
        while self._marks and self._marks[-1] >= point.mark:
            if self._marks.pop() == point.mark:
                since = self._since[-1]
            self._since.pop()
            self._points.pop()
        self._marks.append(point.mark)
        self._since.append(since)
        self._points.append(point)
        if len(self._points) > POINTS_KEPT:
            self._thin()
        return True

    def holding(self, mark: Mark) -> CheckPoint | None:
        """Returns the newest check whose mark is at or below a mark, if any."""
        index = bisect_right(self._marks, mark)
        return self._points[index - 1] if index else None

    def lacking_since(self, mark: Mark) -> float | None:
        """Returns the time since when a higher mark than the given is known.

        Returns:
            Loop time in seconds, or None if no check found a higher mark.
        """
        index = bisect_right(self._marks, mark)
        return self._since[index] if index < len(self._since) else None

    def _thin(self) -> None:
        # The newest check stays; a dropped one can only overstate an age.
        newest = len(self._points) - 1
        kept = [
            index for index in range(newest + 1) if (newest - index) % 2 == 0
        ]
        self._marks = [self._marks[index] for index in kept]
        self._since = [self._since[index] for index in kept]
        self._points = [self._points[index] for index in kept]
