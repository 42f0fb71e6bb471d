"""Counts of an endpoint: load, maxima and violations of its limits."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Counters:
    """Counts since the start.

    Attributes:
        statements: client statements that ran.
        reads: of these, reads.
        replica_reads: of the reads, those served as a replica.
        writes: of these, writes.
        slots_used: slots in use now.
        slots_maximum: most slots in use at once.
        slots_refused: statements refused with 4702.
        connections: client connections open now.
        connections_maximum: most client connections open at once.
        connections_refused: connections refused with 1040.
        terms_refused: statements refused with 4701.
        writes_refused: writes refused with 1290.
        lock_timeouts: statements refused with 1205.
    """

    statements: int = 0
    reads: int = 0
    replica_reads: int = 0
    writes: int = 0
    slots_used: int = 0
    slots_maximum: int = 0
    slots_refused: int = 0
    connections: int = 0
    connections_maximum: int = 0
    connections_refused: int = 0
    terms_refused: int = 0
    writes_refused: int = 0
    lock_timeouts: int = 0

    def count_read(self, *, replica: bool) -> None:
        """Counts a read that runs."""
        self.reads += 1
        self.replica_reads += int(replica)

    def take_slot(self) -> None:
        """Counts a statement that begins."""
        self.slots_used += 1
        self.slots_maximum = max(self.slots_maximum, self.slots_used)

    def open_connection(self) -> None:
        """Counts a connection that opens."""
        self.connections += 1
        self.connections_maximum = max(
            self.connections_maximum,
            self.connections,
        )
