"""Where a statement is executed: interface to the local and remote ways.

A session hands each statement to the executor of its group. The local one
sends it to an endpoint from this node's connection pools; the remote one
forwards it to a carrier, a node that holds connections to the group.
"""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Protocol

from cowslipfork.ids import Mark
from cowslipfork_direct.answers import DirectOutcome
from cowslipfork_direct.single import SingleStatement
from cowslipfork_direct.transaction import Transaction
from cowslipfork_direct.work import ServedStatement, Service, StatementRequest


@dataclass(frozen=True, slots=True)
class Executed:
    """The result of a statement.

    Attributes:
        outcome: outcome for the caller.
        mark: mark of a completed write or COMMIT; None otherwise.
        log_fields: details for the statement's line in the log.
        may_have_run: for ``NotRun``, whether an endpoint may have run the
            statement in a transaction of which it keeps nothing.
    """

    outcome: DirectOutcome
    mark: Mark | None = None
    log_fields: Mapping[str, object] = field(default_factory=dict)
    may_have_run: bool = False


class ExecutedTransaction(Protocol):
    """A transaction at an executor, used by one task at a time."""

    async def run(self, request: StatementRequest) -> Executed:
        """Runs a statement or the COMMIT of the transaction.

        Args:
            request: the statement.

        Returns:
            Its result. With any outcome but ``Done`` the transaction has been
            rolled back and must not be used any more.
        """

    async def end(self) -> None:
        """Rolls back what is not committed; must be called in any case."""


class StatementExecutor(Protocol):
    """Executes the statements of one group."""

    async def run_single(self, request: StatementRequest) -> Executed:
        """Runs a statement outside of a transaction.

        Args:
            request: the statement.

        Returns:
            Its result, no later than the statement's deadline.
        """

    def begin(self, *, read_only: bool) -> ExecutedTransaction:
        """Returns a transaction that begins with its first statement.

        Args:
            read_only: whether it must not write.
        """


class LocalExecutor:
    """Executes statements on connections of this node."""

    def __init__(self, service: Service) -> None:
        """Executes nothing by itself.

        Args:
            service: objects that serve the group.
        """
        self._service = service

    async def run_single(self, request: StatementRequest) -> Executed:
        """Runs a statement outside of a transaction."""
        served = ServedStatement(request, self._service)
        single = SingleStatement(served)
        with self._service.group.activity.in_use():
            outcome = await single.serve()
        return Executed(outcome, single.mark, served.trace.log_fields())

    def begin(self, *, read_only: bool) -> LocalTransaction:
        """Returns a transaction that begins with its first statement."""
        return LocalTransaction(self._service, read_only=read_only)


class LocalTransaction:
    """A transaction on a connection of this node."""

    def __init__(self, service: Service, *, read_only: bool) -> None:
        """Starts without a connection.

        Args:
            service: objects that serve the group.
            read_only: whether it must not write.
        """
        self._service = service
        self._transaction = Transaction(read_only=read_only)
        # An inactive node forgets the primary, which aborts its transactions.
        self._use = ExitStack()
        self._used = False

    async def run(self, request: StatementRequest) -> Executed:
        """Runs a statement or the COMMIT of the transaction."""
        if not self._used:
            self._used = True
            self._use.enter_context(self._service.group.activity.in_use())
        served = ServedStatement(request, self._service)
        outcome = await self._transaction.run(served)
        fields = served.trace.log_fields()
        transaction = self._transaction
        return Executed(
            outcome, transaction.mark, fields, transaction.may_have_run
        )

    async def end(self) -> None:
        """Rolls back what is not committed."""
        with self._use:
            await self._transaction.end()
