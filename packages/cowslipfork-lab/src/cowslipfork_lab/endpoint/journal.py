"""File that keeps an endpoint's log and term over restarts."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

from cowslipfork.ids import Mark, Position, Term
from cowslipfork_lab.endpoint.log import Entry, decode_changes, encode_changes


class Journal:
    """Append-only file of JSON lines; without a path it keeps nothing.

    A line is written through to the operating system before the endpoint
    answers, so it survives the end of the process, as a disk would.
    """

    def __init__(self, path: str) -> None:
        """Names the file.

        Args:
            path: file; empty to keep nothing.
        """
        self._path = Path(path) if path else None

    def load(self) -> tuple[Term, Sequence[Entry]]:
        """Reads term and entries."""
        documents = [json.loads(line) for line in self._lines()]
        terms = [one['term'] for one in documents if 'term' in one]
        entries = [_entry(one) for one in documents if 'mark' in one]
        return Term(terms[-1] if terms else 0), entries

    def move(self, term: Term) -> None:
        """Records a change of term."""
        self._write(json.dumps({'term': term}))

    def append(self, entry: Entry) -> None:
        """Records an entry."""
        if self._path:
            self._write(_line(entry))

    def rewrite(self, term: Term, entries: Iterable[Entry]) -> None:
        """Replaces everything after entries were dropped."""
        if self._path is None:
            return
        lines = [json.dumps({'term': term}), *map(_line, entries)]
        self._path.write_text(''.join(f'{line}\n' for line in lines))

    def _write(self, line: str) -> None:
        if self._path:
            with self._path.open('a') as journal:
                journal.write(f'{line}\n')

    def _lines(self) -> Iterator[str]:
        if self._path and self._path.exists():
            yield from self._path.read_text().splitlines()


def _line(entry: Entry) -> str:
    return json.dumps(
        {
            'mark': [entry.mark.term, entry.mark.position],
            'changes': encode_changes(entry.changes),
        },
    )


def _entry(document: dict[str, Any]) -> Entry:
    term, position = document['mark']
    changes = decode_changes(document['changes'])
    return Entry(Mark(Term(term), Position(position)), changes)
