"""Limits on what one team may have in flight at a node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from cowslipfork.ids import TeamName


class TeamLimits:
    """Requests in flight by team."""

    def __init__(self) -> None:
        """Starts with nothing in flight."""
        self._in_flight: Counter[TeamName] = Counter()

    def in_flight(self, team: TeamName) -> int:
        """Counts requests of a team that have no outcome yet.

        Args:
            team: the team.

        Returns:
            Their number.
        """
        return self._in_flight[team]

    @contextmanager
    def admitted(self, team: TeamName, limit: int) -> Iterator[bool]:
        """Counts a request while it is in flight.

        Args:
            team: whose request it is.
            limit: most requests of the team in flight.

        Yields:
            Whether the request is within the limit.
        """
        admitted = self._in_flight[team] < limit
        if not admitted:
            yield False
            return
        self._in_flight[team] += 1
        try:
            yield True
        finally:
            self._in_flight[team] -= 1
            if not self._in_flight[team]:
                del self._in_flight[team]
