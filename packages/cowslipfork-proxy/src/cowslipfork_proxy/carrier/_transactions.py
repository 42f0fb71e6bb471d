"""Transactions: one connection of the primary from BEGIN to the end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from cowslipfork.ids import TransactionId
from cowslipfork.outcomes import Done, NotRun, Outcome, Reason, Refused, Unknown
from cowslipfork.requests import Answer, Operation, Request
from cowslipfork_proxy.carrier._grants import Grant, Grants, Wanted
from cowslipfork_proxy.carrier._jobs import (
    WHOLE_TRANSACTION,
    JobTable,
    begin_recorded,
    commit,
)
from cowslipfork_proxy.carrier._writes import (
    Acknowledge,
    confirmed,
    refusal,
    remaining,
)
from cowslipfork_proxy.endpoints import ConnectionBroken, EndpointRefused


@dataclass(slots=True, eq=False)
class _Open:
    """A transaction that has not ended.

    Attributes:
        wrote: whether a statement may have changed something.
        idle: ends the transaction when its caller stays idle.
    """

    grant: Grant
    wrote: bool = False
    idle: asyncio.TimerHandle | None = None
    busy: asyncio.Lock = field(default_factory=asyncio.Lock)


class Transactions:
    """Open transactions of one group."""

    def __init__(
        self,
        grants: Grants,
        table: JobTable,
        idle_seconds: Callable[[], float],
    ) -> None:
        """Starts with none open.

        Args:
            grants: slots and connections.
            table: the table of request ids.
            idle_seconds: how long a caller may pause inside a transaction.
        """
        self._grants = grants
        self._table = table
        self._idle_seconds = idle_seconds
        self._open: dict[TransactionId, _Open] = {}

    @property
    def count(self) -> int:
        """Transactions that have not ended."""
        return len(self._open)

    def has(self, transaction: TransactionId) -> bool:
        """Tells whether a transaction is open.

        Args:
            transaction: its id.

        Returns:
            Whether it has begun and not ended.
        """
        return transaction in self._open

    async def begin(
        self,
        request: Request,
        grant: Grant,
    ) -> Outcome[Answer]:
        """Opens a transaction, under its ``request_id`` if there is one.

        Args:
            request: the BEGIN.
            grant: connection of the primary; kept until the end.

        Returns:
            Done; or why no transaction is open.
        """
        refused: NotRun | Refused | None
        begun = False
        try:
            refused = await self._begin(request, grant)
            begun = refused is None and request.transaction is not None
        except EndpointRefused as error:
            grant.connection.close()
            refused = refusal(error)
        except ConnectionBroken as broken:
            refused = NotRun(Reason.CONNECTION_LOST, detail=broken.cause)
        finally:
            if not begun:
                grant.release()
        if refused is not None or request.transaction is None:
            return refused or NotRun(Reason.BAD_REQUEST, detail='no id')
        opened = _Open(grant)
        self._open[request.transaction] = opened
        self._start_idle_timer(request.transaction, opened)
        return Done(Answer(endpoint=grant.connection.endpoint))

    async def run(
        self,
        request: Request,
        wanted: Wanted,
        acknowledge: Acknowledge,
    ) -> Outcome[Answer]:
        """Runs a statement of an open transaction, or ends it.

        Args:
            request: the statement.
            wanted: the slot that it needs.
            acknowledge: waits until the commit is majority-held.

        Returns:
            Its outcome; not run once the transaction was lost.
        """
        opened = self._open.get(request.transaction or TransactionId(''))
        if opened is None:
            if request.operation is Operation.ROLLBACK:
                return Done(Answer())
            return NotRun(
                Reason.TRANSACTION_LOST,
                detail='the transaction was rolled back',
            )
        async with opened.busy:
            return await self._turn(request, wanted, opened, acknowledge)

    def close(self) -> None:
        """Rolls every transaction back by closing its connection."""
        for transaction in tuple(self._open):
            self._lose(transaction)

    async def _begin(self, request: Request, grant: Grant) -> NotRun | None:
        connection = grant.connection
        if request.request_id is None:
            await connection.command('BEGIN', remaining(request))
            return None
        await self._table.ensure(connection, remaining(request))
        found = await begin_recorded(request, connection, WHOLE_TRANSACTION)
        if found is None or isinstance(found, NotRun):
            return found
        return NotRun(
            Reason.ALREADY_RECORDED,
            detail=f'transaction {request.request_id} is recorded',
        )

    async def _turn(
        self,
        request: Request,
        wanted: Wanted,
        opened: _Open,
        acknowledge: Acknowledge,
    ) -> Outcome[Answer]:
        """Runs one statement while no other of the transaction runs."""
        if opened.idle is not None:
            opened.idle.cancel()
        match request.operation:
            case Operation.COMMIT:
                return await self._commit(request, opened, acknowledge)
            case Operation.ROLLBACK:
                return await self._roll_back(request, opened)
            case _:
                return await self._statement(request, wanted, opened)

    async def _statement(
        self,
        request: Request,
        wanted: Wanted,
        opened: _Open,
    ) -> Outcome[Answer]:
        async with self._grants.statement_slot(wanted) as slot:
            if isinstance(slot, NotRun):
                self._start_idle_timer(request.transaction, opened)
                return slot
            outcome = await self._execute(request, opened)
        if isinstance(outcome, Unknown):
            # Only COMMIT makes anything last, and it was not sent.
            self._lose(request.transaction)
            return NotRun(Reason.TRANSACTION_LOST, detail=outcome.detail)
        self._start_idle_timer(request.transaction, opened)
        return outcome

    async def _execute(
        self,
        request: Request,
        opened: _Open,
    ) -> Outcome[Answer]:
        connection = opened.grant.connection
        opened.wrote |= request.operation is Operation.WRITE
        whole = False
        try:
            answer = await connection.stream(request.sql, remaining(request))
            whole = True
        except EndpointRefused as refused:
            whole = True
            return refusal(refused)
        except ConnectionBroken as broken:
            return Unknown(None, detail=broken.cause)
        finally:
            if not whole:
                self._lose(request.transaction)
        return Done(answer)

    async def _commit(
        self,
        request: Request,
        opened: _Open,
        acknowledge: Acknowledge,
    ) -> Outcome[Answer]:
        self._open.pop(request.transaction or TransactionId(''), None)
        connection = opened.grant.connection
        figures = Answer(endpoint=connection.endpoint)
        try:
            result = await commit(request, connection, figures)
            if not isinstance(result, Answer):
                connection.close()
        finally:
            opened.grant.release()
        if not isinstance(result, Answer):
            return result
        if not opened.wrote:
            return Done(result)
        return await confirmed(request, result, opened.grant, acknowledge)

    async def _roll_back(
        self,
        request: Request,
        opened: _Open,
    ) -> Outcome[Answer]:
        self._open.pop(request.transaction or TransactionId(''), None)
        connection = opened.grant.connection
        try:
            await connection.command('ROLLBACK', remaining(request))
        except (EndpointRefused, ConnectionBroken):
            connection.close()
        finally:
            opened.grant.release()
        return Done(Answer(endpoint=connection.endpoint))

    def _start_idle_timer(
        self,
        transaction: TransactionId | None,
        opened: _Open,
    ) -> None:
        """Starts the time that the caller may pause."""
        opened.idle = asyncio.get_running_loop().call_later(
            self._idle_seconds(),
            self._lose,
            transaction,
        )

    def _lose(self, transaction: TransactionId | None) -> None:
        """Ends a transaction by closing its connection."""
        opened = self._open.pop(transaction or TransactionId(''), None)
        if opened is None:
            return
        if opened.idle is not None:
            opened.idle.cancel()
        opened.grant.connection.close()
        opened.grant.release()
