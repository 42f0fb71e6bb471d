"""Limits how many requests of one team may be in flight at a node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from cowslipfork.ids import TeamName


class TeamLimits:
    """Counts the requests in flight of each team."""

    def __init__(self) -> None:
        """Starts without requests in flight."""
        self._in_flight: Counter[TeamName] = Counter()

    def in_flight(self, team: TeamName) -> int:
        """Returns the number of a team's requests without an outcome yet.

        Args:
            team: team of the requests.

        Returns:
            Their number; 0 for a team without requests.
        """
        return self._in_flight[team]

    @contextmanager
    def admitted(self, team: TeamName, limit: int) -> Iterator[bool]:
        """Counts a request while it is in flight.

        Args:
            team: team of the request.
            limit: maximum number of the team's requests in flight.

        Yields:
            Whether the request is within the limit; one beyond it is not
            counted.
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
