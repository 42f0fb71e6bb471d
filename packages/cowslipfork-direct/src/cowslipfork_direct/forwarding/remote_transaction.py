"""A transaction that runs at a carrier, or on this node."""

from __future__ import annotations

from functools import partial

from cowslipfork.ids import VmId
from cowslipfork.outcomes import Done, NotRun, Reason
from cowslipfork_direct.attempt import RETRY_AFTER_MS
from cowslipfork_direct.execution import (
    Executed,
    ExecutedTransaction,
    StatementExecutor,
)
from cowslipfork_direct.forwarding.context import Forwarding
from cowslipfork_direct.forwarding.decisions import (
    FailedTry,
    Failure,
    work_in_transaction,
)
from cowslipfork_direct.forwarding.encoding import forwarded
from cowslipfork_direct.forwarding.messages import (
    EndTransaction,
    Ran,
    RunInTransaction,
)
from cowslipfork_direct.forwarding.search import CarrierSearch
from cowslipfork_direct.statements import Verb
from cowslipfork_direct.work import StatementRequest


class RemoteTransaction:
    """A transaction that stays where its first statement was executed."""

    def __init__(
        self,
        forwarding: Forwarding,
        local: StatementExecutor,
        *,
        read_only: bool,
    ) -> None:
        """Starts without a place.

        Args:
            forwarding: what it uses of the node.
            local: executes statements of the group on this node.
            read_only: whether the transaction must not write.
        """
        self._forwarding = forwarding
        self._local = local
        self._read_only = read_only
        self._here: ExecutedTransaction | None = None
        self._there: _CarrierTransaction | None = None
        self._ended = False

    async def run(self, request: StatementRequest) -> Executed:
        """Runs a statement or the COMMIT of the transaction."""
        if self._ended:
            lost = 'transaction has ended'
            return Executed(
                NotRun(Reason.TRANSACTION_LOST, RETRY_AFTER_MS, lost)
            )
        begins = self._here is None and self._there is None
        work = work_in_transaction(request, first=begins)
        search = CarrierSearch(self._forwarding, request, work)
        executed = await search.run(
            partial(self._run_at, search, request), only=self._place
        )
        done = isinstance(executed.outcome, Done)
        if not done or request.statement.verb is Verb.COMMIT:
            await self.end()
        return executed

    async def end(self) -> None:
        """Rolls back what is not committed."""
        self._ended = True
        if self._here is not None:
            await self._here.end()
        if self._there is not None:
            self._there.end()

    @property
    def _place(self) -> VmId | None:
        """Node of the transaction; None before its first statement."""
        if self._here is not None:
            return self._forwarding.entry
        return None if self._there is None else self._there.node

    async def _run_at(
        self, search: CarrierSearch, request: StatementRequest, node: VmId
    ) -> Executed | FailedTry:
        if node == self._forwarding.entry:
            if self._here is None:
                self._here = self._local.begin(read_only=self._read_only)
            return await self._here.run(request)
        if self._there is not None and self._there.node != node:
            self._there.end()
            self._there = None
        if self._there is None:
            self._there = _CarrierTransaction(
                self._forwarding, node, read_only=self._read_only
            )
        return await self._there.run(search, request)


class _CarrierTransaction:
    """A transaction at one carrier, over one link."""

    def __init__(
        self, forwarding: Forwarding, node: VmId, *, read_only: bool
    ) -> None:
        self._node = node
        self._read_only = read_only
        self._id = forwarding.new_transaction()
        self._link = forwarding.peers.reserve(node)
        self._begins = True
        #: Whether the carrier may hold an open transaction.
        self._open = False

    @property
    def node(self) -> VmId:
        """The carrier."""
        return self._node

    async def run(
        self, search: CarrierSearch, request: StatementRequest
    ) -> Executed | FailedTry:
        """Runs a statement or COMMIT."""
        was_open = self._open
        # Also if this task is cancelled while it waits.
        self._open = True
        result = await search.ask(self._node, partial(self._send, request))
        if isinstance(result, FailedTry):
            self._open = was_open or result.failure is Failure.LOST
        else:
            done = isinstance(result.outcome, Done)
            self._open = done and request.statement.verb is not Verb.COMMIT
        return result

    def end(self) -> None:
        """Has the carrier roll back what it may hold.

        If the link is lost, the carrier does so by itself.
        """
        if self._open:
            self._link.notify(EndTransaction(self._id))
        self._open = False
        self._link.release()

    async def _send(self, request: StatementRequest, timeout: float) -> Ran:
        message = RunInTransaction(
            self._id, self._begins, self._read_only, forwarded(request)
        )
        self._begins = False
        return await self._link.request(message, Ran, timeout)
