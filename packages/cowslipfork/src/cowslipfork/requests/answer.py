"""An endpoint's answer: columns and a stream of rows, or a write's figures."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import TypeAlias

from cowslipfork.ids import EndpointId, Mark

#: A value as the MySQL text protocol carries it; None is NULL.
Cell: TypeAlias = str | bytes | None
Row: TypeAlias = tuple[Cell, ...]

#: Batches of rows; a large result is never held whole. Whoever stops reading
#: early closes it (``contextlib.aclosing``), since it holds a connection.
Rows: TypeAlias = AsyncGenerator[list[Row], None]


@dataclass(frozen=True, slots=True)
class Column:
    """A result column as the endpoint described it.

    Attributes:
        name: column name.
        type_code: MySQL column type number.
        charset: MySQL collation id; 63 is binary.
        flags: MySQL column flags.
    """

    name: str
    type_code: int
    charset: int
    flags: int = 0


async def _no_rows() -> Rows:
    nothing: list[list[Row]] = []
    for batch in nothing:
        yield batch


@dataclass(slots=True)
class Answer:
    """A whole answer of an endpoint.

    Attributes:
        columns: empty for statements without a result set.
        rows: batches of rows, to be read once and to the end.
        affected_rows: the endpoint's own figure.
        last_insert_id: the endpoint's own figure.
        mark: highest mark that a write reached; None for reads.
        endpoint: who answered.
    """

    columns: tuple[Column, ...] = ()
    rows: Rows = field(default_factory=_no_rows)
    affected_rows: int = 0
    last_insert_id: int = 0
    mark: Mark | None = None
    endpoint: EndpointId | None = None
