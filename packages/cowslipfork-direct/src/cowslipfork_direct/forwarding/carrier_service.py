"""Executes statements that other nodes forward to this one."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, Final

from cowslipfork.ids import GroupName, TransactionId
from cowslipfork.outcomes import NotRun, Reason
from cowslipfork_direct.attempt import RETRY_AFTER_MS
from cowslipfork_direct.execution import Executed, StatementExecutor
from cowslipfork_direct.forwarding.encoding import received, reply_of
from cowslipfork_direct.forwarding.messages import (
    EndTransaction,
    Ran,
    RunInTransaction,
    RunSingle,
)
from cowslipfork_direct.forwarding.open_transaction import (
    OpenTransaction,
    transaction_lost,
)
from cowslipfork_direct.peers import Acknowledged, PeerServer, PeerSession

log = logging.getLogger(__name__)

#: Most transactions of other nodes that are open at once. Each holds a
#: connection to an endpoint, of which a carrier has far fewer.
MAX_TRANSACTIONS: Final = 500

#: Why a statement that waited for a connection was not sent.
_NO_CONNECTION: Final = frozenset((Reason.NO_FREE_SLOT, Reason.QUEUE_FULL))

#: Returns what executes statements of a group on this node's connections; None
#: if its configuration has no such group.
FindExecutor = Callable[[GroupName], StatementExecutor | None]


class CarrierService:
    """Runs forwarded statements on this node's connections."""

    def __init__(
        self,
        find_executor: FindExecutor,
        configured: Callable[[], bool],
        max_transactions: int = MAX_TRANSACTIONS,
    ) -> None:
        """Starts without work.

        Args:
            find_executor: finds what executes the statements of a group.
            configured: whether a configuration is in force.
            max_transactions: most open transactions.
        """
        self._find_executor = find_executor
        self._configured = configured
        self._max_transactions = max_transactions
        self._transactions: dict[
            PeerSession, dict[TransactionId, OpenTransaction]
        ] = {}
        #: Functions that end the watch for the end of a link.
        self._unwatch: dict[PeerSession, Callable[[], None]] = {}
        self._running = 0
        self._leaving = False
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def running_statements(self) -> int:
        """Number of statements of other nodes that run."""
        return self._running

    @property
    def open_transactions(self) -> int:
        """Number of open transactions of other nodes."""
        return sum(map(len, self._transactions.values()))

    @property
    def open_work(self) -> int:
        """Number of statements that run and of open transactions."""
        return self.running_statements + self.open_transactions

    def register(self, server: PeerServer) -> None:
        """Registers what answers the requests of other nodes.

        Args:
            server: receives the requests.
        """
        server.handle(RunSingle, self._run_single)
        server.handle(RunInTransaction, self._run_in_transaction)
        server.handle(EndTransaction, self._end_transaction)

    def leave(self, server: PeerServer) -> None:
        """Takes no new work; open transactions may go on.

        Args:
            server: tells the other nodes.
        """
        self._leaving = True
        server.announce_leaving()

    async def roll_back(self) -> None:
        """Rolls back all open transactions."""
        remaining = self.open_transactions
        await asyncio.gather(
            *(self._close(session) for session in tuple(self._transactions))
        )
        log.info('carrier_drained', extra={'rolled_back': remaining})

    async def _run_single(self, message: RunSingle, _: PeerSession) -> Ran:
        executor = self._executor_of(message.request.route.group)
        if isinstance(executor, NotRun):
            return reply_of(Executed(executor))
        with self._counted():
            executed = await executor.run_single(received(message.request))
        return reply_of(self._declined_if_leaving(executed))

    async def _run_in_transaction(
        self, message: RunInTransaction, session: PeerSession
    ) -> Ran:
        transaction = (
            self._begin(message, session)
            if message.begins
            else self._find(message.transaction, session)
        )
        if isinstance(transaction, NotRun):
            return reply_of(Executed(transaction))
        with self._counted():
            try:
                executed = await transaction.run(received(message.request))
            finally:
                if transaction.ended:
                    self._forget(message.transaction, session)
        return reply_of(
            self._declined_if_leaving(executed) if message.begins else executed
        )

    async def _end_transaction(
        self, message: EndTransaction, session: PeerSession
    ) -> Acknowledged:
        transaction = self._find(message.transaction, session)
        if isinstance(transaction, OpenTransaction):
            self._forget(message.transaction, session)
            await transaction.end()
        return Acknowledged()

    def _executor_of(self, group: GroupName) -> StatementExecutor | NotRun:
        if self._leaving:
            return _no_carrier('node is leaving')
        if not self._configured():
            return _no_carrier('node has no configuration')
        executor = self._find_executor(group)
        if executor is None:
            return _no_carrier(f'node does not know the group "{group}"')
        return executor

    def _declined_if_leaving(self, executed: Executed) -> Executed:
        """Declines a statement that got no connection while the node leaves.

        A node that leaves keeps few connections, and another carrier may have
        free ones. The statement must have left nothing open here.
        """
        if self._leaving and _got_no_connection(executed):
            return Executed(_no_carrier('node is leaving'))
        return executed

    def _begin(
        self, message: RunInTransaction, session: PeerSession
    ) -> OpenTransaction | NotRun:
        executor = self._executor_of(message.request.route.group)
        if isinstance(executor, NotRun):
            return executor
        if self.open_transactions >= self._max_transactions:
            detail = 'too many open transactions'
            return NotRun(Reason.NO_FREE_SLOT, RETRY_AFTER_MS, detail)
        opened = OpenTransaction(executor.begin(read_only=message.read_only))
        if session not in self._transactions:
            self._transactions[session] = {}
            self._unwatch[session] = session.on_close(
                lambda: self._start(self._close(session))
            )
        self._transactions[session][message.transaction] = opened
        return opened

    def _find(
        self, transaction: TransactionId, session: PeerSession
    ) -> OpenTransaction | NotRun:
        known = self._transactions.get(session, {}).get(transaction)
        return known or transaction_lost('transaction is not open here')

    def _forget(self, transaction: TransactionId, session: PeerSession) -> None:
        known = self._transactions.get(session, {})
        known.pop(transaction, None)
        if not known:
            self._stop_watching(session)

    def _stop_watching(self, session: PeerSession) -> None:
        self._transactions.pop(session, None)
        unwatch = self._unwatch.pop(session, None)
        if unwatch is not None:
            unwatch()

    async def _close(self, session: PeerSession) -> None:
        """Rolls back the open transactions of a link."""
        transactions = self._transactions.get(session, {})
        self._stop_watching(session)
        if transactions:
            log.info(
                'forwarded_rolled_back',
                extra={'transactions': len(transactions)},
            )
        await asyncio.gather(
            *(transaction.end() for transaction in transactions.values())
        )

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @contextmanager
    def _counted(self) -> Iterator[None]:
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1


def _got_no_connection(executed: Executed) -> bool:
    outcome = executed.outcome
    return isinstance(outcome, NotRun) and outcome.reason in _NO_CONNECTION


def _no_carrier(detail: str) -> NotRun:
    return NotRun(Reason.NO_CARRIER, RETRY_AFTER_MS, detail)
