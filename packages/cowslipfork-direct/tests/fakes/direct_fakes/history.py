"""What callers and servers saw of a run, and which promises it broke."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from cowslipfork.outcomes import Done, NotRun


@dataclass(frozen=True)
class WriteAttempt:
    """A write of a caller."""

    text: str
    session: int
    begun: float
    ended: float
    outcome: object


@dataclass(frozen=True)
class CompletedRead:
    """A read of a caller."""

    session: int
    begun: float
    rows: tuple[str, ...]
    max_age: float


class History:
    """Collects what happens and finds broken promises."""

    def __init__(self, database):
        self._database = database
        self._writes = []
        self._reads = []
        #: Every commit that ever was, with the server that made it.
        self._commits = []
        committing = database.commit

        def commit(server, writes):
            now = asyncio.get_running_loop().time()
            self._commits.append((now, server.term, tuple(writes)))
            committing(server, writes)

        database.commit = commit

    @property
    def done(self):
        return sum(isinstance(w.outcome, Done) for w in self._writes)

    @property
    def reads(self):
        return len(self._reads)

    def wrote(self, *fields):
        self._writes.append(WriteAttempt(*fields))

    def read(self, *fields):
        self._reads.append(CompletedRead(*fields))

    def find_violations(self):
        """Names every broken promise."""
        return [
            *self._twice(),
            *self._untrue_refusals(),
            *self._two_primaries(),
            *self._stale(),
        ]

    def _runs(self, text):
        return [commit for commit in self._commits if text in commit[2]]

    def _twice(self):
        return [
            ('twice', write.text)
            for write in self._writes
            if len(self._runs(write.text)) > 1
        ]

    def _untrue_refusals(self):
        return [
            ('refused but run', write.text, write.outcome)
            for write in self._writes
            if isinstance(write.outcome, NotRun) and self._runs(write.text)
        ]

    def _two_primaries(self):
        terms = self._database.terms
        return [
            ('acknowledged by a replaced primary', write.text)
            for write in self._writes
            if isinstance(write.outcome, Done)
            for at, term, _ in self._runs(write.text)
            if any(begun < at and later > term for later, _, begun in terms)
        ]

    def _stale(self):
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
