"""The entry's end of the stream to one carrier node."""

from __future__ import annotations

import asyncio
import logging
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Final

import grpc

from cowslipfork.errors import CowslipforkError
from cowslipfork.outcomes import NotRun, Outcome, Reason, Unknown
from cowslipfork.requests import Answer, Operation, Request
from cowslipfork.requests.answer import Rows
from cowslipfork.wire import node_pb2, node_pb2_grpc
from cowslipfork_proxy.forwarding._codec import (
    outcome_of,
    rows_of,
    statement_of,
)

#: Row batches that a carrier may send ahead of the caller's reading.
ROW_CREDITS: Final = 4

#: Operations that leave nothing behind if their carrier drops them.
_HARMLESS: Final = frozenset((Operation.READ, Operation.BEGIN))

#: Milliseconds until another carrier is likely to be known.
_RETRY_AFTER_MS: Final = 200


log = logging.getLogger(__name__)


class RowsLost(CowslipforkError):
    """The rest of a streamed answer will not come."""

    def __init__(self, source: str) -> None:
        """Remembers whose rows they were.

        Args:
            source: name of the carrier's node or of the endpoint.
        """
        super().__init__(f'rows from {source} were lost')
        self.source = source


@dataclass(slots=True, eq=False)
class _Pending:
    """A statement without its last frame."""

    request: Request
    sent: bool = False
    frames: asyncio.Queue[node_pb2.AnswerFrame | None] = field(
        default_factory=asyncio.Queue,
    )


class CarrierLink:
    """Sends statements of many callers over one stream.

    When the stream breaks, statements that may have reached the carrier end
    as unknown (reads: not run), those that were never written as not run.
    """

    def __init__(self, channel: grpc.aio.Channel) -> None:
        """Remembers the channel; the stream opens with the first statement.

        Args:
            channel: gRPC channel to the carrier node.
        """
        self._channel = channel
        self._numbers = count(1)
        self._pending: dict[int, _Pending] = {}
        self._outbox = node_pb2.StatementBatch()
        self._wake = asyncio.Event()
        self._stream: asyncio.Task[None] | None = None
        self._closed = False

    @property
    def in_flight(self) -> int:
        """Statements without their last frame."""
        return len(self._pending)

    async def close(self) -> None:
        """Closes the stream and the channel; pending statements end."""
        self._closed = True
        if self._stream is not None:
            self._stream.cancel()
            with suppress(asyncio.CancelledError):
                await self._stream
        await self._channel.close()

    async def run(self, request: Request) -> Outcome[Answer]:
        """Has a statement run by the carrier.

        Args:
            request: the statement.

        Returns:
            Its outcome; rows follow as they are read.
        """
        if self._closed:
            return NotRun(Reason.NO_CARRIER, _RETRY_AFTER_MS, 'link closed')
        loop = asyncio.get_running_loop()
        number = next(self._numbers)
        pending = _Pending(request)
        self._pending[number] = pending
        self._outbox.statements.append(
            statement_of(request, number, loop.time()),
        )
        self._ensure_stream()
        self._wake.set()
        return await self._head(number, pending)

    async def _head(
        self,
        number: int,
        pending: _Pending,
    ) -> Outcome[Answer]:
        streaming = False
        try:
            async with asyncio.timeout_at(pending.request.deadline):
                frame = await pending.frames.get()
            if frame is None:
                return self._broken(pending)
            streaming = not frame.last
            return outcome_of(frame, self._rows(number, pending, frame))
        except TimeoutError:
            return self._broken(pending)
        finally:
            if not streaming:
                self._forget(number)

    def _broken(self, pending: _Pending) -> NotRun | Unknown:
        """Judges a statement whose answer will not come."""
        request = pending.request
        if not pending.sent or request.operation in _HARMLESS:
            return NotRun(
                Reason.NO_CARRIER,
                _RETRY_AFTER_MS,
                'the carrier did not answer',
            )
        return Unknown(
            request.request_id,
            _RETRY_AFTER_MS,
            'the carrier did not answer',
        )

    async def _rows(
        self,
        number: int,
        pending: _Pending,
        frame: node_pb2.AnswerFrame,
    ) -> Rows:
        current: node_pb2.AnswerFrame | None = frame
        try:
            while current is not None and not current.lost:
                if current.HasField('rows'):
                    yield rows_of(current.rows)
                if current.last:
                    return
                self._credit(number)
                current = await pending.frames.get()
            raise RowsLost('the carrier')
        finally:
            self._forget(number)

    def _credit(self, number: int) -> None:
        self._outbox.credits.append(node_pb2.Credit(number=number, batches=1))
        self._wake.set()

    def _forget(self, number: int) -> None:
        """Drops a statement; the carrier hears of it unless it has ended."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        if pending.sent:
            self._outbox.cancelled.append(number)
            self._wake.set()
            return
        unsent = [
            statement
            for statement in self._outbox.statements
            if statement.number != number
        ]
        self._outbox.ClearField('statements')
        self._outbox.statements.extend(unsent)

    def _ensure_stream(self) -> None:
        if self._stream is None or self._stream.done():
            self._stream = asyncio.create_task(self._exchange())

    async def _exchange(self) -> None:
        """Runs one stream to its end and fails what is pending then."""
        stub: Any = node_pb2_grpc.CarrierStub(self._channel)
        call = stub.Exchange()
        try:
            # A statement counts as sent from here on only.
            await call.wait_for_connection()
            writer = asyncio.create_task(self._write(call))
            try:
                async for batch in call:
                    self._deliver(batch)
            finally:
                writer.cancel()
        except grpc.aio.AioRpcError as error:
            log.info('carrier stream ended', extra={'code': error.code().name})
        finally:
            call.cancel()
            self._fail_pending()

    async def _write(self, call: Any) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            outbox = self._outbox
            self._outbox = node_pb2.StatementBatch()
            for statement in outbox.statements:
                self._pending[statement.number].sent = True
            await call.write(outbox)

    def _deliver(self, batch: node_pb2.AnswerBatch) -> None:
        for frame in batch.frames:
            pending = self._pending.get(frame.number)
            if pending is not None:
                pending.frames.put_nowait(frame)
                if frame.last:
                    # Ended at the carrier: nothing to cancel there.
                    del self._pending[frame.number]

    def _fail_pending(self) -> None:
        for pending in self._pending.values():
            pending.frames.put_nowait(None)
        self._pending.clear()
        self._outbox = node_pb2.StatementBatch()
