"""The carrier's end of the streams from entry nodes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing, suppress
from dataclasses import replace
from typing import Any, Final

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import TransactionId
from cowslipfork.outcomes import Done, Outcome
from cowslipfork.requests import Answer, Operation, Request, RequestHandler
from cowslipfork.requests.answer import Rows
from cowslipfork.wire import node_pb2, node_pb2_grpc
from cowslipfork_proxy.forwarding._codec import batch_of, head_of, request_of
from cowslipfork_proxy.forwarding.link import ROW_CREDITS

_ENDING: Final = frozenset((Operation.COMMIT, Operation.ROLLBACK))


class CarrierService(node_pb2_grpc.CarrierServicer):
    """Serves statements that entry nodes forward."""

    def __init__(self, run: RequestHandler) -> None:
        """Remembers how statements are run here.

        Args:
            run: runs a statement of a group that this node carries.
        """
        self._run = run

    async def Exchange(
        self,
        request_iterator: AsyncIterator[node_pb2.StatementBatch],
        context: Any,
    ) -> AsyncIterator[node_pb2.AnswerBatch]:
        """Runs the statements of one entry node.

        Args:
            request_iterator: batches of statements.
            context: of gRPC.

        Yields:
            Batches of answers, in the order in which they are ready.
        """
        exchange = _Exchange(self._run)
        reader = asyncio.create_task(exchange.read(request_iterator))
        try:
            async for batch in exchange.batches():
                yield batch
        finally:
            reader.cancel()
            await exchange.close()


class _Exchange:
    """Statements of one entry node that have not ended."""

    def __init__(self, run: RequestHandler) -> None:
        self._run = run
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._credits: dict[int, asyncio.Semaphore] = {}
        self._transactions: dict[TransactionId, Request] = {}
        self._outbox = node_pb2.AnswerBatch()
        self._wake = asyncio.Event()
        self._ended = False

    async def read(
        self,
        incoming: AsyncIterator[node_pb2.StatementBatch],
    ) -> None:
        """Starts a task for each statement until the entry goes away."""
        try:
            async for batch in incoming:
                self._take(batch)
        finally:
            self._ended = True
            self._wake.set()

    async def batches(self) -> AsyncIterator[node_pb2.AnswerBatch]:
        """Yields what is ready, as one batch each time."""
        while not self._ended:
            await self._wake.wait()
            self._wake.clear()
            outbox = self._outbox
            self._outbox = node_pb2.AnswerBatch()
            if outbox.frames:
                yield outbox

    async def close(self) -> None:
        """Ends what the entry left: its statements and its transactions."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        for begun in self._transactions.values():
            await self._run(
                replace(begun, operation=Operation.ROLLBACK, sql='ROLLBACK'),
            )

    def _take(self, batch: node_pb2.StatementBatch) -> None:
        for statement in batch.statements:
            self._credits[statement.number] = asyncio.Semaphore(ROW_CREDITS)
            self._tasks[statement.number] = asyncio.create_task(
                self._serve(statement),
            )
        for credit in batch.credits:
            room = self._credits.get(credit.number)
            if room is not None:
                room.release()
        for number in batch.cancelled:
            task = self._tasks.get(number)
            if task is not None:
                task.cancel()

    async def _serve(self, statement: node_pb2.Statement) -> None:
        number = statement.number
        now = asyncio.get_running_loop().time()
        request = request_of(statement, now)
        self._follow(request)
        try:
            outcome = await self._run(request)
            await self._answer(number, outcome)
        finally:
            del self._tasks[number]
            del self._credits[number]

    def _follow(self, request: Request) -> None:
        """Remembers which transactions the entry has open."""
        if request.transaction is None:
            return
        if request.operation is Operation.BEGIN:
            self._transactions[request.transaction] = request
        elif request.operation in _ENDING:
            self._transactions.pop(request.transaction, None)

    async def _answer(self, number: int, outcome: Outcome[Answer]) -> None:
        frame = head_of(outcome, number)
        if not (isinstance(outcome, Done) and outcome.answer.columns):
            frame.last = True
            self._send(frame)
            return
        async with aclosing(outcome.answer.rows) as rows:
            with suppress(CowslipforkError):
                await self._stream(number, frame, rows)
                return
        # Rows were lost half-way: the entry hears of a broken answer.
        self._send(node_pb2.AnswerFrame(number=number, lost=True, last=True))

    async def _stream(
        self,
        number: int,
        frame: node_pb2.AnswerFrame,
        rows: Rows,
    ) -> None:
        """Sends rows a batch behind, so that the last one is marked."""
        async for batch in rows:
            if frame.HasField('rows'):
                self._send(frame)
                frame = node_pb2.AnswerFrame(number=number)
                await self._credits[number].acquire()
            frame.rows.CopyFrom(batch_of(batch))
        frame.last = True
        self._send(frame)

    def _send(self, frame: node_pb2.AnswerFrame) -> None:
        self._outbox.frames.append(frame)
        self._wake.set()
