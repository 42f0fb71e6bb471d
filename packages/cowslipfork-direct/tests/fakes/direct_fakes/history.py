"""Recorded writes, reads and commits of a run, checked for violations."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from cowslipfork.outcomes import Done, NotRun


@dataclass(frozen=True)
class WriteAttempt:
    """A caller's write, its times on the loop's clock and its outcome."""

    text: str
    session: int
    begun: float
    ended: float
    outcome: object


@dataclass(frozen=True)
class CompletedRead:
    """A caller's read, its start on the loop's clock and its greatest age."""

    session: int
    begun: float
    rows: tuple[str, ...]
    max_age: float


class History:
    """Records writes, reads and commits, and finds violated guarantees."""

    def __init__(self, database):
        self._database = database
        self._writes = []
        self._reads = []
        #: All commits so far: loop time, term of the server, and writes.
        self._commits = []
        original_commit = database.commit

        def commit(server, writes):
            now = asyncio.get_running_loop().time()
            self._commits.append((now, server.term, tuple(writes)))
            original_commit(server, writes)

        database.commit = commit

    @property
    def done(self):
        return sum(isinstance(w.outcome, Done) for w in self._writes)

    @property
    def reads(self):
        return len(self._reads)

    def record_write(self, *fields):
        self._writes.append(WriteAttempt(*fields))

    def record_read(self, *fields):
        self._reads.append(CompletedRead(*fields))

    def find_violations(self):
        """Returns a tuple for each violated guarantee, its kind first."""
        return [
            *self._ran_twice(),
            *self._ran_although_refused(),
            *self._acknowledged_after_replacement(),
            *self._stale_reads(),
        ]

    def _commits_of(self, text):
        return [commit for commit in self._commits if text in commit[2]]

    def _ran_twice(self):
        return [
            ('ran twice', write.text)
            for write in self._writes
            if len(self._commits_of(write.text)) > 1
        ]

    def _ran_although_refused(self):
        return [
            ('refused but ran', write.text, write.outcome)
            for write in self._writes
            if isinstance(write.outcome, NotRun)
            and self._commits_of(write.text)
        ]

    def _acknowledged_after_replacement(self):
        terms = self._database.terms
        return [
            ('acknowledged by a replaced primary', write.text)
            for write in self._writes
            if isinstance(write.outcome, Done)
            for at, term, _ in self._commits_of(write.text)
            if any(begun < at and later > term for later, _, begun in terms)
        ]

    def _stale_reads(self):
        kept = {
            text
            for commit in self._database.primary.log
            for text in commit.writes
        }
        acknowledged = [
            write
            for write in self._writes
            if isinstance(write.outcome, Done) and write.text in kept
        ]
        return [
            ('stale', read.begun, read.max_age, write.text, write.ended)
            for read in self._reads
            for write in acknowledged
            if write.text not in read.rows and _must_show(read, write)
        ]


def _must_show(read, write):
    if write.session == read.session and write.ended <= read.begun:
        return True
    return write.ended <= read.begun - read.max_age
