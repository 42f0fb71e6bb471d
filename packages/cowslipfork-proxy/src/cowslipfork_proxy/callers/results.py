"""Writes answers in the text and in the binary protocol."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import aclosing
from itertools import repeat
from typing import TYPE_CHECKING, TypeAlias

from mysql_mimic.charset import CharacterSet
from mysql_mimic.packets import make_binary_resultrow, make_column_count
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType

from cowslipfork.requests import Answer, Cell, Column, Row, Rows
from cowslipfork_proxy.callers.binary import binary_column
from cowslipfork_proxy.callers.packets import make_column
from cowslipfork_proxy.callers.stream import CallerStream

if TYPE_CHECKING:
    from cowslipfork_proxy.callers.connection import CallerConnection

WriteAnswer: TypeAlias = Callable[
    ['CallerConnection', Answer],
    Awaitable[None],
]

#: Seconds that a caller may leave a batch of rows unread.
WRITE_TIMEOUT = 30.0

#: Cells are text already, whatever the column's type.
_TEXT_CELL = ResultColumn('', ColumnType.VARCHAR)


async def write_text(connection: CallerConnection, answer: Answer) -> None:
    """Writes an answer to a text statement.

    Args:
        connection: of the caller.
        answer: of the endpoint or the node.
    """
    if not answer.columns:
        await _write_figures(connection, answer)
        return
    stream = connection.stream
    _write_head(connection, answer.columns)
    cells = tuple(repeat(_TEXT_CELL, len(answer.columns)))
    charset = connection.results_charset
    async with aclosing(answer.rows) as batches:
        async for batch in _paced(stream, batches):
            if charset is not CharacterSet.utf8mb4:
                batch = [_converted(row, charset.codec) for row in batch]
            stream.write_text_rows(batch, cells)
    await stream.write(connection.end_of_rows())


async def write_binary(connection: CallerConnection, answer: Answer) -> None:
    """Writes an answer to a prepared statement.

    Args:
        connection: of the caller.
        answer: of the endpoint or the node.
    """
    if not answer.columns:
        await _write_figures(connection, answer)
        return
    stream = connection.stream
    _write_head(connection, answer.columns)
    columns = tuple(map(binary_column, answer.columns))
    async with aclosing(answer.rows) as batches:
        async for batch in _paced(stream, batches):
            stream.write_many(
                [make_binary_resultrow(row, columns) for row in batch],
            )
    await stream.write(connection.end_of_rows())


async def _paced(stream: CallerStream, batches: Rows) -> Rows:
    """Waits for a slow reader between batches.

    The last batch stays in the buffer, to be sent with what follows it: a
    short answer is one write. A reader that has stopped is cut off, as its
    rows hold a slot of their endpoint.
    """
    buffered = False
    async for batch in batches:
        if buffered:
            await stream.drain_within(WRITE_TIMEOUT)
        yield batch
        buffered = True


async def _write_figures(connection: CallerConnection, answer: Answer) -> None:
    packet = connection.ok(
        affected_rows=answer.affected_rows,
        last_insert_id=answer.last_insert_id,
    )
    await connection.stream.write(packet)


def _write_head(
    connection: CallerConnection,
    columns: tuple[Column, ...],
) -> None:
    count = make_column_count(
        capabilities=connection.capabilities,
        column_count=len(columns),
    )
    head = [count, *map(make_column, columns)]
    if not connection.deprecate_eof():
        head.append(connection.eof())
    connection.stream.write_many(head)


def _converted(row: Row, codec: str) -> Row:
    return tuple(_encoded(cell, codec) for cell in row)


def _encoded(cell: Cell, codec: str) -> Cell:
    return cell.encode(codec, 'replace') if isinstance(cell, str) else cell
