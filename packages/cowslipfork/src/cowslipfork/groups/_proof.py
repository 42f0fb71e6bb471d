"""Check points kept to prove how old an endpoint's data is at most."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable

from cowslipfork.groups.check import CheckPoint, Sample
from cowslipfork.groups.port import EndpointRole
from cowslipfork.ids import Mark, Term

#: Points kept for endpoints that lag; beyond it every second one is dropped,
#: which can only over-state an age.
POINTS_KEPT = 512


def majority_of(endpoints: int) -> int:
    """Gives the smallest majority of a number of endpoints."""
    return endpoints // 2 + 1


def check_point(
    term: Term,
    primary: Sample,
    others: Iterable[Sample],
    endpoints: int,
) -> CheckPoint | None:
    """Finds the newest check that the latest samples complete.

    Args:
        term: the term to prove.
        primary: latest sample of the term's primary.
        others: latest samples of the other endpoints.
        endpoints: number of endpoints of the group.

    Returns:
        The check, or None without a majority in the term.
    """
    status = primary.status
    if status.role is not EndpointRole.PRIMARY or status.term != term:
        return None
    samples = sorted(
        (sample for sample in others if sample.status.term == term),
        key=lambda sample: sample.ordinal,
        reverse=True,
    )
    needed = majority_of(endpoints) - 1
    if len(samples) < needed:
        return None
    earliest = min(
        (primary, *samples[:needed]),
        key=lambda sample: sample.ordinal,
    )
    return CheckPoint(earliest.ordinal, earliest.begun, status.mark)


class ProvedPoints:
    """Check points in order; both begins and marks only grow."""

    def __init__(self) -> None:
        """Starts without any proof."""
        self._marks: list[Mark] = []
        self._points: list[CheckPoint] = []

    @property
    def latest(self) -> CheckPoint | None:
        """Gives the newest check."""
        return self._points[-1] if self._points else None

    def add(self, point: CheckPoint) -> bool:
        """Takes a check in unless it is no newer than the newest one.

        Returns:
            Whether the check is newer than all before.
        """
        latest = self.latest
        if latest is not None and point.ordinal <= latest.ordinal:
            return False
        # A newer check with a mark as low proves more. The mark is lower
        # after a promotion that left an unacknowledged tail behind.
        while self._marks and self._marks[-1] >= point.mark:
            self._marks.pop()
            self._points.pop()
        self._marks.append(point.mark)
        self._points.append(point)
        if len(self._points) > POINTS_KEPT:
            self._thin()
        return True

    def holding(self, mark: Mark) -> CheckPoint | None:
        """Gives the newest check whose mark is at or below a mark."""
        index = bisect_right(self._marks, mark)
        return self._points[index - 1] if index else None

    def _thin(self) -> None:
        # The newest point stays.
        newest = len(self._points) - 1
        self._points = [
            point
            for index, point in enumerate(self._points)
            if (newest - index) % 2 == 0
        ]
        self._marks = [point.mark for point in self._points]
