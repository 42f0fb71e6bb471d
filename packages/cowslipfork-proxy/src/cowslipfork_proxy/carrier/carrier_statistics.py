"""Figures that carriers keep: reads by who served them, failover gaps."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from enum import Enum, unique


@unique
class ServedBy(Enum):
    """Who served a read."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


class FailoverGapTimer:
    """Times the failover gaps of one group.

    A gap runs from the first write that is held for want of a primary to the
    next acknowledged write.
    """

    def __init__(self, record: Callable[[float], None]) -> None:
        """Starts with no gap.

        Args:
            record: takes the seconds of each gap.
        """
        self._record = record
        self._since: float | None = None

    def write_waiting(self, now: float) -> None:
        """Notes that a write waits for a primary.

        Args:
            now: loop time in seconds.
        """
        if self._since is None:
            self._since = now

    def write_acknowledged(self, now: float) -> None:
        """Notes an acknowledged write, which ends a gap.

        Args:
            now: loop time in seconds.
        """
        if self._since is not None:
            self._record(now - self._since)
            self._since = None


class CarrierStatistics:
    """Figures of all groups that a node has carried."""

    def __init__(self, record_gap: Callable[[float], None]) -> None:
        """Starts at nothing.

        Args:
            record_gap: takes the seconds of each gap.
        """
        self._record_gap = record_gap
        self._reads: Counter[str] = Counter()

    def reads(self) -> Mapping[str, int]:
        """Copies the number of reads by who served them.

        Returns:
            Counts by ``primary`` and ``replica``.
        """
        return dict(self._reads)

    def count_read(self, served_by: ServedBy) -> None:
        """Counts a read that is done.

        Args:
            served_by: who served it.
        """
        self._reads[served_by.value] += 1

    def new_gap_timer(self) -> FailoverGapTimer:
        """Makes the clock of one group.

        Returns:
            A clock without a gap.
        """
        return FailoverGapTimer(self._record_gap)
