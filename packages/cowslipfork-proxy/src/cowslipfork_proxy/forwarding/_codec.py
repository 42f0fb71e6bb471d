"""Translation between domain values and messages of ``node.proto``."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain, repeat
from types import MappingProxyType
from typing import Final

from cowslipfork.ids import (
    EndpointId,
    GroupName,
    KindName,
    Mark,
    Position,
    RequestId,
    SessionId,
    TeamName,
    Term,
    TransactionId,
)
from cowslipfork.outcomes import Done, NotRun, Outcome, Reason, Refused, Unknown
from cowslipfork.requests import Answer, Cell, Column, Operation, Request, Row
from cowslipfork.requests.answer import Rows
from cowslipfork.wire import node_pb2

_MS_PER_SECOND: Final = 1000

_OPERATIONS: Final = MappingProxyType(
    {
        Operation.READ: node_pb2.OPERATION_READ,
        Operation.WRITE: node_pb2.OPERATION_WRITE,
        Operation.BEGIN: node_pb2.OPERATION_BEGIN,
        Operation.COMMIT: node_pb2.OPERATION_COMMIT,
        Operation.ROLLBACK: node_pb2.OPERATION_ROLLBACK,
    }
)
_OPERATIONS_BACK: Final = MappingProxyType(
    {number: operation for operation, number in _OPERATIONS.items()},
)


def statement_of(
    request: Request,
    number: int,
    now: float,
) -> node_pb2.Statement:
    """Packs a request.

    Args:
        request: the request.
        number: its number within the stream.
        now: loop time in seconds; only the time left travels.

    Returns:
        The message.
    """
    return node_pb2.Statement(
        number=number,
        group=request.group,
        kind=request.kind or '',
        operation=_OPERATIONS[request.operation],
        sql=request.sql,
        team=request.team,
        remaining_ms=int((request.deadline - now) * _MS_PER_SECOND),
        session=request.session or '',
        has_token=request.marks is not None,
        marks={
            group: mark_message(mark)
            for group, mark in (request.marks or {}).items()
        },
        request_id=request.request_id or '',
        transaction=request.transaction or '',
    )


def request_of(statement: node_pb2.Statement, now: float) -> Request:
    """Unpacks a request.

    Args:
        statement: the message.
        now: loop time in seconds of this node.

    Returns:
        The request, its deadline on this node's clock.
    """
    marks = {
        GroupName(group): mark_of(mark)
        for group, mark in statement.marks.items()
    }
    return Request(
        group=GroupName(statement.group),
        kind=KindName(statement.kind) if statement.kind else None,
        operation=_OPERATIONS_BACK[statement.operation],
        sql=statement.sql,
        team=TeamName(statement.team),
        deadline=now + statement.remaining_ms / _MS_PER_SECOND,
        session=SessionId(statement.session) if statement.session else None,
        marks=marks if statement.has_token else None,
        request_id=(
            RequestId(statement.request_id) if statement.request_id else None
        ),
        transaction=(
            TransactionId(statement.transaction)
            if statement.transaction
            else None
        ),
    )


def mark_message(mark: Mark) -> node_pb2.MarkMessage:
    """Packs a mark.

    Args:
        mark: the mark.

    Returns:
        The message.
    """
    return node_pb2.MarkMessage(term=mark.term, position=mark.position)


def mark_of(message: node_pb2.MarkMessage) -> Mark:
    """Unpacks a mark.

    Args:
        message: the message.

    Returns:
        The mark.
    """
    return Mark(Term(message.term), Position(message.position))


def head_of(
    outcome: Outcome[Answer],
    number: int,
) -> node_pb2.AnswerFrame:
    """Packs all of an outcome but its rows.

    Args:
        outcome: the outcome.
        number: number of its statement.

    Returns:
        The first frame of the answer.
    """
    match outcome:
        case Done(answer):
            return node_pb2.AnswerFrame(number=number, done=_done(answer))
        case Refused():
            return node_pb2.AnswerFrame(
                number=number,
                refused=node_pb2.RefusedHead(
                    errno=outcome.errno,
                    sqlstate=outcome.sqlstate,
                    text=outcome.text,
                ),
            )
        case NotRun():
            return node_pb2.AnswerFrame(
                number=number,
                not_run=node_pb2.NotRunHead(
                    reason=outcome.reason.value,
                    retry_after_ms=outcome.retry_after_ms,
                    detail=outcome.detail,
                ),
            )
    return node_pb2.AnswerFrame(
        number=number,
        unknown=node_pb2.UnknownHead(
            request_id=outcome.request_id or '',
            retry_after_ms=outcome.retry_after_ms,
            detail=outcome.detail,
            reason=outcome.reason.value,
        ),
    )


def outcome_of(
    frame: node_pb2.AnswerFrame,
    rows: Rows,
) -> Outcome[Answer]:
    """Unpacks an outcome from its first frame.

    Args:
        frame: the first frame.
        rows: where the rows will come from.

    Returns:
        The outcome.
    """
    match frame.WhichOneof('head'):
        case 'done':
            return Done(_answer(frame.done, rows))
        case 'refused':
            refused = frame.refused
            return Refused(refused.errno, refused.sqlstate, refused.text)
        case 'not_run':
            not_run = frame.not_run
            return NotRun(
                Reason(not_run.reason),
                not_run.retry_after_ms,
                not_run.detail,
            )
        case _:
            unknown = frame.unknown
            return Unknown(
                RequestId(unknown.request_id) if unknown.request_id else None,
                unknown.retry_after_ms,
                unknown.detail,
                Reason(unknown.reason or Reason.OUTCOME_UNKNOWN.value),
            )


def batch_of(rows: list[Row]) -> node_pb2.RowBatch:
    """Packs rows.

    Args:
        rows: rows of one width.

    Returns:
        The message.
    """
    cells = list(chain.from_iterable(rows))
    return node_pb2.RowBatch(
        width=len(rows[0]),
        cells=map(_binary, cells),
        missing=[index for index, cell in enumerate(cells) if cell is None],
    )


def rows_of(batch: node_pb2.RowBatch) -> list[Row]:
    """Unpacks rows; every cell but NULL comes as bytes.

    Args:
        batch: the message.

    Returns:
        The rows.
    """
    cells: list[Cell] = list(batch.cells)
    for index in batch.missing:
        cells[index] = None
    return list(_rows(cells, batch.width))


def _rows(cells: Iterable[Cell], width: int) -> Iterable[Row]:
    # zip over one iterator taken `width` times cuts it into rows.
    return zip(*repeat(iter(cells), width), strict=True)


def _binary(cell: Cell) -> bytes:
    if cell is None:
        return b''
    return cell if isinstance(cell, bytes) else cell.encode()


def _done(answer: Answer) -> node_pb2.DoneHead:
    return node_pb2.DoneHead(
        columns=[
            node_pb2.ColumnMessage(
                name=column.name,
                type_code=column.type_code,
                charset=column.charset,
                flags=column.flags,
            )
            for column in answer.columns
        ],
        affected_rows=answer.affected_rows,
        last_insert_id=answer.last_insert_id,
        mark=mark_message(answer.mark) if answer.mark else None,
        endpoint=answer.endpoint or '',
    )


def _answer(done: node_pb2.DoneHead, rows: Rows) -> Answer:
    return Answer(
        columns=tuple(
            Column(
                column.name,
                column.type_code,
                column.charset,
                column.flags,
            )
            for column in done.columns
        ),
        rows=rows,
        affected_rows=done.affected_rows,
        last_insert_id=done.last_insert_id,
        mark=mark_of(done.mark) if done.HasField('mark') else None,
        endpoint=EndpointId(done.endpoint) if done.endpoint else None,
    )
