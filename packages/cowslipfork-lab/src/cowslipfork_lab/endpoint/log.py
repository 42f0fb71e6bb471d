"""The log of an endpoint: one entry per committed transaction."""

from __future__ import annotations

import base64
import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from cowslipfork.ids import INITIAL_MARK, Mark, Position, Term


@dataclass(frozen=True, slots=True)
class Change:
    """A statement as it ran, with what made it deterministic.

    Attributes:
        sql: statement for SQLite.
        parameters: literals by placeholder name.
        now: value of the clock functions.
        seed: seed of the random functions.
        ddl: original text of a schema change, otherwise empty.
    """

    sql: str
    parameters: dict[str, Any]
    now: str
    seed: int
    ddl: str = ''


@dataclass(frozen=True, slots=True)
class Entry:
    """A committed transaction.

    Attributes:
        mark: term of the primary that wrote it and its position.
        changes: statements of the transaction in order.
    """

    mark: Mark
    changes: tuple[Change, ...]


@dataclass(slots=True)
class Log:
    """Entries in order; positions count from 1 without gaps."""

    entries: list[Entry] = field(default_factory=list)

    @property
    def last(self) -> Mark:
        """Mark of the last entry."""
        return self.entries[-1].mark if self.entries else INITIAL_MARK

    def after(self, position: int, limit: int) -> Sequence[Entry]:
        """Gives the entries behind a position, at most ``limit``."""
        return self.entries[position : position + limit]

    def next_mark(self, term: Term) -> Mark:
        """Gives the mark for the next entry written in a term."""
        return Mark(term, Position(len(self.entries) + 1))

    def term_ends(self) -> list[Mark]:
        """Gives the last mark of each term, in order."""
        ends = {entry.mark.term: entry.mark for entry in self.entries}
        return list(ends.values())

    def shared_with(self, ends: Iterable[Mark]) -> Position:
        """Finds the last entry that another log has too.

        Args:
            ends: last mark of each term in the other log.

        Returns:
            Position of that entry; 0 if nothing is shared.
        """
        limits = {end.term: end.position for end in ends}
        shared = (
            entry.mark.position
            for entry in reversed(self.entries)
            if limits.get(entry.mark.term, 0) >= entry.mark.position
        )
        return next(shared, Position(0))


def encode_changes(changes: Iterable[Change]) -> str:
    """Writes the changes of an entry as text."""
    return json.dumps(
        [
            [change.sql, change.parameters, change.now, change.seed, change.ddl]
            for change in changes
        ],
        default=_encode_bytes,
    )


def decode_changes(text: str) -> tuple[Change, ...]:
    """Reads what ``encode_changes`` wrote."""
    return tuple(
        Change(sql, parameters, now, seed, ddl)
        for sql, parameters, now, seed, ddl in json.loads(
            text,
            object_hook=_decode_bytes,
        )
    )


def _encode_bytes(raw: bytes) -> dict[str, str]:
    return {'base64': base64.b64encode(raw).decode()}


def _decode_bytes(document: dict[str, Any]) -> Any:
    if set(document) == {'base64'}:
        return base64.b64decode(document['base64'])
    return document
