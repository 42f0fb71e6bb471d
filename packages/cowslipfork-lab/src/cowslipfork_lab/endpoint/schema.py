"""Declared column types of the tables, by MySQL's names."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

import sqlglot
from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType
from sqlglot import expressions as exp

from cowslipfork_lab.endpoint.failures import ErrorNumber, StatementFailed

_TYPES = MappingProxyType(
    {
        'TINYINT': ColumnType.TINY,
        'BOOLEAN': ColumnType.TINY,
        'SMALLINT': ColumnType.SHORT,
        'INT': ColumnType.LONG,
        'MEDIUMINT': ColumnType.LONG,
        'BIGINT': ColumnType.LONGLONG,
        'FLOAT': ColumnType.FLOAT,
        'DOUBLE': ColumnType.DOUBLE,
        'DECIMAL': ColumnType.NEWDECIMAL,
        'DATE': ColumnType.DATE,
        'DATETIME': ColumnType.DATETIME,
        'TIMESTAMP': ColumnType.TIMESTAMP,
        'TIMESTAMPTZ': ColumnType.TIMESTAMP,
        'TIME': ColumnType.TIME,
        'JSON': ColumnType.JSON,
        'CHAR': ColumnType.STRING,
        'TEXT': ColumnType.BLOB,
        'MEDIUMTEXT': ColumnType.BLOB,
        'LONGTEXT': ColumnType.BLOB,
        'BINARY': ColumnType.STRING,
        'VARBINARY': ColumnType.VAR_STRING,
        'BLOB': ColumnType.BLOB,
        'TINYBLOB': ColumnType.BLOB,
        'MEDIUMBLOB': ColumnType.BLOB,
        'LONGBLOB': ColumnType.BLOB,
    }
)
_BINARY_NAMES = frozenset(
    ('BINARY', 'VARBINARY', 'BLOB', 'TINYBLOB', 'MEDIUMBLOB', 'LONGBLOB'),
)
_VALUE_TYPES: Sequence[tuple[type, ColumnType]] = (
    (int, ColumnType.LONGLONG),
    (float, ColumnType.DOUBLE),
    (bytes, ColumnType.BLOB),
)
_NUMERIC = frozenset(
    (
        ColumnType.TINY,
        ColumnType.SHORT,
        ColumnType.LONG,
        ColumnType.LONGLONG,
        ColumnType.FLOAT,
        ColumnType.DOUBLE,
        ColumnType.NEWDECIMAL,
    ),
)
_TABLE_NAME = re.compile(
    r'\b(?:FROM|JOIN|INTO|UPDATE)\s+(?:`?\w+`?\.)?[`"]?(\w+)',
    re.IGNORECASE,
)
_DEFAULT_SCALE = 0


@dataclass(frozen=True, slots=True)
class ColumnSpec:
    """Declared type of a column.

    Attributes:
        kind: type in MySQL's protocol.
        binary: whether values are bytes.
        scale: digits behind the point of a DECIMAL.
    """

    kind: ColumnType
    binary: bool = False
    scale: int = _DEFAULT_SCALE


class Schema:
    """Tables with their declared columns."""

    def __init__(self) -> None:
        """Starts without tables."""
        self._columns: dict[str, dict[str, ColumnSpec]] = {}
        self._counted: set[str] = set()

    def counts_ids(self, sql: str) -> bool:
        """Tells whether the statement's table has an AUTO_INCREMENT column."""
        return any(name.lower() in self._counted for name in tables_of(sql))

    def create(self, tree: Any) -> None:
        """Remembers the column types of a CREATE or ALTER TABLE.

        Args:
            tree: parsed statement.
        """
        table = tree.find(exp.Table)
        if table is None:
            return
        columns = self._columns.setdefault(table.name.lower(), {})
        for column in tree.find_all(exp.ColumnDef):
            columns[column.name.lower()] = _spec(column)
            if column.find(exp.AutoIncrementColumnConstraint):
                self._counted.add(table.name.lower())

    def describe(
        self,
        sql: str,
        names: Sequence[str],
        rows: Sequence[Sequence[Any]],
    ) -> list[ResultColumn]:
        """Gives the result columns of a query.

        Args:
            sql: the query, for its tables.
            names: column names of the result.
            rows: rows of the result, to type expressions by value.

        Returns:
            One result column for each name.
        """
        tables = [
            self._columns.get(table.lower(), {}) for table in tables_of(sql)
        ]
        return [
            _column(name, self._find(tables, name), _first(rows, index))
            for index, name in enumerate(names)
        ]

    def _find(
        self,
        tables: Sequence[dict[str, ColumnSpec]],
        name: str,
    ) -> ColumnSpec | None:
        found = (table.get(name.lower()) for table in tables)
        return next((spec for spec in found if spec), None)


def tables_of(sql: str) -> list[str]:
    """Names the tables that a statement mentions."""
    return _TABLE_NAME.findall(sql)


def translate_schema_change(text: str, schema: Schema) -> str:
    """Translates a schema change and remembers its column types.

    Args:
        text: DDL of MySQL.
        schema: where types are remembered.

    Returns:
        DDL of SQLite.

    Raises:
        StatementFailed: the statement is not understood.
    """
    try:
        tree = sqlglot.parse_one(text, read='mysql')
    except sqlglot.errors.SqlglotError as error:
        raise StatementFailed(ErrorNumber.SYNTAX, str(error)) from error
    schema.create(tree)
    tree.set('properties', None)
    for dropped in list(tree.find_all(exp.IndexColumnConstraint)):
        dropped.pop()
    for unique in tree.find_all(exp.UniqueColumnConstraint):
        if isinstance(unique.this, exp.Schema):
            unique.this.set('this', None)
    for constraint in list(tree.find_all(exp.ColumnConstraint)):
        if isinstance(constraint.kind, _IGNORED_CONSTRAINTS):
            constraint.pop()
    sql = tree.sql('sqlite', unsupported_level=sqlglot.ErrorLevel.IGNORE)
    return _CLOCK_DEFAULT.sub('DEFAULT (NOW())', sql)


_IGNORED_CONSTRAINTS = (
    exp.CharacterSetColumnConstraint,
    exp.CollateColumnConstraint,
    exp.OnUpdateColumnConstraint,
)
_CLOCK_DEFAULT = re.compile(
    r'DEFAULT \(?(?:CURRENT_TIMESTAMP(?:\(\d*\))?|NOW\(\d*\))\)?',
    re.IGNORECASE,
)


def _spec(column: exp.ColumnDef) -> ColumnSpec:
    declared = column.args.get('kind')
    name = declared.this.name if declared else 'VARCHAR'
    arguments = declared.expressions if declared else []
    scales = [int(part.name) for part in arguments[1:2]]
    return ColumnSpec(
        _TYPES.get(name.lstrip('U'), ColumnType.VAR_STRING),
        name in _BINARY_NAMES,
        scales[0] if scales else _DEFAULT_SCALE,
    )


def _first(rows: Sequence[Sequence[Any]], index: int) -> Any:
    cells = (row[index] for row in rows)
    return next((cell for cell in cells if cell is not None), None)


def _column(name: str, spec: ColumnSpec | None, sample: Any) -> ResultColumn:
    if spec is None or (spec.kind in _NUMERIC and isinstance(sample, str)):
        kind = next(
            (
                kind
                for python, kind in _VALUE_TYPES
                if isinstance(sample, python)
            ),
            ColumnType.VAR_STRING,
        )
        spec = ColumnSpec(kind, isinstance(sample, bytes))
    if spec.binary:
        return ResultColumn(name, spec.kind, CharacterSet.binary, _bytes_text)
    if spec.kind == ColumnType.NEWDECIMAL:
        encode = _decimal_text(spec.scale)
        return ResultColumn(name, spec.kind, text_encoder=encode)
    return ResultColumn(name, spec.kind)


def _bytes_text(_column: ResultColumn, cell: Any) -> bytes:
    # The library has no codec of the binary character set.
    return cell if isinstance(cell, bytes) else str(cell).encode()


def _decimal_text(scale: int) -> Any:
    def encode(_column: ResultColumn, number: Any) -> bytes:
        return f'{float(number):.{scale}f}'.encode()

    return encode
