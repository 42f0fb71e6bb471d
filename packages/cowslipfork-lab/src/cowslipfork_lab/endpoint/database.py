"""SQL of an endpoint: committed state and the open transaction beside it."""

from __future__ import annotations

import random
import sqlite3
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

from cowslipfork_lab.endpoint.dialect import (
    Statement,
    translate,
    without_numbers,
)
from cowslipfork_lab.endpoint.failures import failure_of, is_syntax_error
from cowslipfork_lab.endpoint.log import Change, Entry
from cowslipfork_lab.endpoint.schema import Schema, translate_schema_change

_SEED_BITS = 48


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a statement.

    Attributes:
        columns: names of the result columns, empty without a result set.
        rows: rows of the result set.
        affected: rows changed.
        last_id: first id given out by AUTO_INCREMENT.
    """

    columns: Sequence[str] = ()
    rows: Sequence[Sequence[Any]] = ()
    affected: int = 0
    last_id: int = 0


class Database:
    """Two SQLite databases in memory.

    ``committed`` is what readers see and what the log gives; the one open
    writing transaction runs on ``working`` and is repeated on ``committed``
    when it commits, as a replica would repeat it.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._schema = Schema()
        self._now = ''
        self._random = random.Random(0)
        self._committed = self._connect()
        self._working = self._connect()
        self._changes: list[Change] = []

    @property
    def schema(self) -> Schema:
        """Declared columns."""
        return self._schema

    @property
    def writing(self) -> bool:
        """Whether a writing transaction is open."""
        return self._working.in_transaction

    def read(self, statement: Statement, *, inside: bool) -> Outcome:
        """Runs a read.

        Args:
            statement: the read.
            inside: whether it belongs to the open writing transaction.

        Returns:
            Its rows.
        """
        self._tick()
        connection = self._working if inside else self._committed
        _sql, cursor = _run(connection, statement)
        rows = cursor.fetchall()
        columns = [
            _column_name(column[0], statement)
            for column in cursor.description or ()
        ]
        return Outcome(columns, rows)

    def write(self, statement: Statement) -> Outcome:
        """Runs a write in the open transaction, opening one if needed.

        Args:
            statement: the write.

        Returns:
            Rows changed and the id given out.
        """
        if not self._working.in_transaction:
            self._working.execute('BEGIN')
        now, seed = self._tick()
        ddl = statement.text if statement.is_schema_change else ''
        if ddl:
            sql = translate_schema_change(ddl, self._schema)
            statement = Statement(ddl, sql, {}, statement.verb)
        (sql, parameters), cursor = _run(self._working, statement)
        affected = max(cursor.rowcount, 0)
        if affected or ddl:
            self._changes.append(Change(sql, parameters, now, seed, ddl))
        last_id = self._first_id(statement, cursor, affected)
        return Outcome(affected=affected, last_id=last_id)

    def commit(self) -> tuple[Change, ...]:
        """Ends the open transaction and makes it visible.

        Returns:
            What it changed, for the log; empty if nothing.
        """
        changes = tuple(self._changes)
        self._changes.clear()
        if self._working.in_transaction:
            self._working.execute('COMMIT')
        _replay(self, self._committed, changes)
        return changes

    def rollback(self) -> None:
        """Drops the open transaction."""
        self._changes.clear()
        if self._working.in_transaction:
            self._working.execute('ROLLBACK')

    def apply(self, entry: Entry) -> None:
        """Repeats an entry of the log on both databases.

        Args:
            entry: the next entry.
        """
        for change in entry.changes:
            if change.ddl:
                translate_schema_change(change.ddl, self._schema)
        _replay(self, self._working, entry.changes)
        _replay(self, self._committed, entry.changes)

    def set_clock(self, now: str, seed: int) -> None:
        """Fixes clock and random functions for the next statement."""
        self._now = now
        self._random.seed(seed)

    def _tick(self) -> tuple[str, int]:
        now = datetime.now(UTC).strftime('%Y-%m-%d %H:%M:%S')
        seed = random.getrandbits(_SEED_BITS)
        self.set_clock(now, seed)
        return now, seed

    def _first_id(
        self,
        statement: Statement,
        cursor: sqlite3.Cursor,
        affected: int,
    ) -> int:
        if statement.verb != 'INSERT' or not affected:
            return 0
        if not self._schema.counts_ids(statement.shape):
            return 0
        return (cursor.lastrowid or 0) - affected + 1

    def _connect(self) -> sqlite3.Connection:
        connection = sqlite3.connect(':memory:', isolation_level=None)
        functions = (
            ('NOW', lambda: self._now),
            ('UUID', self._uuid),
            ('RAND', self._random.random),
        )
        for name, function in functions:
            connection.create_function(name, 0, function)
        return connection

    def _uuid(self) -> str:
        return str(uuid.UUID(int=self._random.getrandbits(128), version=4))


def _run(
    connection: sqlite3.Connection,
    statement: Statement,
) -> tuple[tuple[str, dict[str, Any]], sqlite3.Cursor]:
    parameters = dict(statement.parameters)
    try:
        return (statement.shape, parameters), connection.execute(
            statement.shape,
            parameters,
        )
    except sqlite3.Error as error:
        if statement.is_schema_change or not is_syntax_error(error):
            raise failure_of(error) from error
    general = without_numbers(statement)
    parameters = dict(general.parameters)
    sql = translate(general.shape)
    try:
        return (sql, parameters), connection.execute(sql, parameters)
    except sqlite3.Error as error:
        raise failure_of(error) from error


def _replay(
    database: Database,
    connection: sqlite3.Connection,
    changes: Sequence[Change],
) -> None:
    if not changes:
        return
    connection.execute('BEGIN')
    for change in changes:
        database.set_clock(change.now, change.seed)
        connection.execute(change.sql, change.parameters)
    connection.execute('COMMIT')


def _column_name(name: str, statement: Statement) -> str:
    if name.startswith(':'):
        return str(statement.parameters.get(name[1:], name))
    return name
