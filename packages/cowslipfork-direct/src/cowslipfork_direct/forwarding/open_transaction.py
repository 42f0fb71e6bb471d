"""A transaction that a carrier executes for another node."""

from __future__ import annotations

import asyncio

from cowslipfork.outcomes import Done, NotRun, Reason
from cowslipfork_direct.attempt import RETRY_AFTER_MS
from cowslipfork_direct.execution import Executed, ExecutedTransaction
from cowslipfork_direct.statements import Verb
from cowslipfork_direct.work import StatementRequest


class OpenTransaction:
    """Runs statements one at a time, also if requests overlap.

    Requests overlap when the entry node stops waiting for a statement and has
    the transaction rolled back.
    """

    def __init__(self, transaction: ExecutedTransaction) -> None:
        """Starts before the first statement.

        Args:
            transaction: the transaction on this node's connections.
        """
        self._transaction = transaction
        self._lock = asyncio.Lock()
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether no further statement may run."""
        return self._ended

    async def run(self, request: StatementRequest) -> Executed:
        """Runs a statement or COMMIT; rolls back if it fails.

        Args:
            request: the statement.
        """
        async with self._lock:
            if self._ended:
                return Executed(transaction_lost('transaction has ended'))
            keep = False
            try:
                executed = await self._transaction.run(request)
                done = isinstance(executed.outcome, Done)
                keep = done and request.statement.verb is not Verb.COMMIT
            finally:
                if not keep:
                    self._ended = True
                    await self._transaction.end()
            return executed

    async def end(self) -> None:
        """Rolls back once a statement that is running has ended."""
        if self._ended:
            return
        self._ended = True
        async with self._lock:
            await self._transaction.end()


def transaction_lost(detail: str) -> NotRun:
    """Returns the outcome of a statement whose transaction has ended.

    Args:
        detail: cause for the caller.
    """
    return NotRun(Reason.TRANSACTION_LOST, RETRY_AFTER_MS, detail)
