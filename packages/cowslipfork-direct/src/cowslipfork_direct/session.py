"""A caller's session: its values, prepared statements and transaction."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from cowslipfork.ids import Mark
from cowslipfork.outcomes import Done, NotRun, Reason
from cowslipfork_direct.answers import (
    ACCEPTED,
    DirectOutcome,
    SessionState,
    outcome_detail,
    outcome_name,
)
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.routes import DatabaseName, Route
from cowslipfork_direct.single import SingleStatement
from cowslipfork_direct.statements import Prepared, Statement, Verb
from cowslipfork_direct.transaction import Transaction
from cowslipfork_direct.work import ServedStatement, Service

#: Returns the current route of a database and the service of its group.
RouteResolver = Callable[[DatabaseName], tuple[Route, Service] | None]

log = logging.getLogger(__name__)

_DATA_VERBS: Final = frozenset(
    (Verb.READ, Verb.WRITE, Verb.EXECUTE, Verb.COMMIT)
)


class Session:
    """Runs a caller's statements and keeps its state between them."""

    def __init__(
        self,
        resolve: RouteResolver,
        idle_limit: Callable[[], float],
        database: DatabaseName,
    ) -> None:
        """Starts outside of a transaction, without values or statements.

        Args:
            resolve: finds the route, once for each transaction or single
                statement.
            idle_limit: returns the longest idle time of a transaction in
                seconds.
            database: database that the caller connected to.
        """
        self._resolve = resolve
        self._idle_limit = idle_limit
        self._database = database
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Prepared] = {}
        self._mark: Mark | None = None
        self._transaction: Transaction | None = None
        self._resolved: tuple[Route, Service] | None = None
        self._abort_cause: str | None = None

    @property
    def mark(self) -> Mark | None:
        """Highest mark of the session's writes; None before the first."""
        return self._mark

    @property
    def transaction_idle(self) -> float:
        """Seconds after which an idle transaction must be aborted."""
        return self._idle_limit()

    @property
    def state(self) -> SessionState:
        """Transaction state of the session."""
        if self._transaction is None:
            return SessionState.IDLE
        if self._transaction.failed:
            return SessionState.FAILED_TRANSACTION
        return SessionState.IN_TRANSACTION

    async def run(self, statement: Statement) -> DirectOutcome:
        """Runs one statement and logs its outcome.

        Args:
            statement: the caller's statement.

        Returns:
            Its outcome.
        """
        if self.state is SessionState.FAILED_TRANSACTION:
            outcome = self._run_in_failed_transaction(statement)
        elif statement.verb in _DATA_VERBS:
            return await self._run_data(statement)
        else:
            outcome = await self._run_locally(statement)
        if isinstance(outcome, NotRun):
            self._log_refusal(statement, outcome)
        return outcome

    async def abort(self, cause: str) -> None:
        """Rolls an open transaction back; the next statement is refused.

        Args:
            cause: detail of that refusal.
        """
        transaction = self._transaction
        if transaction is not None and not transaction.failed:
            self._abort_cause = cause
            await transaction.fail()

    async def close(self) -> None:
        """Ends the session; an open transaction is rolled back."""
        await self._end_transaction()

    def _run_in_failed_transaction(self, statement: Statement) -> DirectOutcome:
        cause = self._abort_cause
        self._abort_cause = None
        if statement.verb is Verb.ROLLBACK:
            self._transaction = None
            return ACCEPTED
        if statement.verb is Verb.COMMIT:
            self._transaction = None
            return NotRun(
                Reason.TRANSACTION_LOST, detail='transaction was rolled back'
            )
        if cause is not None:
            return NotRun(Reason.TRANSACTION_LOST, detail=cause)
        return _bad_request('transaction failed; expected COMMIT or ROLLBACK')

    async def _run_locally(self, statement: Statement) -> DirectOutcome:
        """Runs a statement that needs no endpoint."""
        match statement.verb:
            case Verb.SET:
                self._values[statement.name] = statement.argument
            case Verb.PREPARE if statement.prepared is not None:
                self._prepared[statement.name] = statement.prepared
            case Verb.FORGET:
                self._prepared.pop(statement.name, None)
            case Verb.ROLLBACK:
                await self._end_transaction()
            case _:
                return self._begin(statement)
        return ACCEPTED

    def _begin(self, statement: Statement) -> DirectOutcome:
        if self._transaction is not None:
            return _bad_request('a transaction is already open')
        resolved = self._resolve(self._database)
        if resolved is None:
            return self._no_route()
        read_only = statement.verb is Verb.BEGIN_READ_ONLY
        self._resolved = resolved
        self._transaction = Transaction(read_only=read_only)
        return ACCEPTED

    async def _run_data(self, statement: Statement) -> DirectOutcome:
        transaction = self._transaction
        if transaction is None:
            if statement.verb is Verb.COMMIT:
                refusal = _bad_request('no transaction is open')
                return self._log_refusal(statement, refusal)
            self._resolved = self._resolve(self._database)
        prepared = self._prepared.get(statement.name)
        if self._resolved is None:
            return self._log_refusal(statement, self._no_route())
        if statement.verb is Verb.EXECUTE and prepared is None:
            detail = f'prepared statement "{statement.name}" does not exist'
            return self._log_refusal(statement, _bad_request(detail))
        served = self._build_served_statement(
            statement, prepared, *self._resolved
        )
        if transaction is None:
            outcome = await self._run_single(served)
        else:
            outcome = await transaction.run(served)
            if statement.verb is Verb.COMMIT:
                self._after_commit(transaction)
        self._log_outcome(
            served, outcome, in_transaction=transaction is not None
        )
        return outcome

    def _log_refusal(
        self,
        statement: Statement,
        refusal: NotRun,
    ) -> NotRun:
        """Logs a statement that was refused without reaching a group."""
        log.info(
            'request',
            extra={
                'id': statement.id,
                'database': self._database,
                'verb': statement.verb.value,
                'outcome': outcome_name(refusal),
                'detail': refusal.detail,
            },
        )
        return refusal

    def _log_outcome(
        self,
        served: ServedStatement,
        outcome: DirectOutcome,
        *,
        in_transaction: bool,
    ) -> None:
        """Logs and counts an answered statement."""
        verb = served.statement.verb.value
        ended = outcome_name(outcome)
        seconds = boot_time() - served.arrived
        served.service.metrics.count_request(verb, ended, seconds)
        log.info(
            'request',
            extra={
                'id': served.statement.id,
                'database': self._database,
                'revision': served.route.revision,
                'group': served.service.group.name,
                'verb': verb,
                'writes': served.writes,
                'max_age': served.max_age,
                'in_transaction': in_transaction,
                **served.trace.log_fields(),
                'outcome': ended,
                'detail': outcome_detail(outcome),
            },
        )

    def _build_served_statement(
        self,
        statement: Statement,
        prepared: Prepared | None,
        route: Route,
        service: Service,
    ) -> ServedStatement:
        return ServedStatement(
            statement,
            route,
            service,
            self._values,
            prepared if statement.verb is Verb.EXECUTE else None,
            boot_time(),
            asyncio.get_running_loop().time() + route.timeout,
            self._mark,
        )

    async def _run_single(self, served: ServedStatement) -> DirectOutcome:
        single = SingleStatement(served)
        outcome = await single.serve()
        if isinstance(outcome, Done):
            self._advance_mark(single.mark)
        return outcome

    def _after_commit(self, transaction: Transaction) -> None:
        self._advance_mark(transaction.mark)
        self._transaction = None

    def _advance_mark(self, mark: Mark | None) -> None:
        if mark is not None and (self._mark is None or mark > self._mark):
            self._mark = mark

    async def _end_transaction(self) -> None:
        transaction = self._transaction
        self._transaction = None
        if transaction is not None:
            await transaction.end()

    def _no_route(self) -> NotRun:
        detail = f'no route for database "{self._database}"'
        return NotRun(Reason.UNKNOWN_GROUP, detail=detail)


def _bad_request(detail: str) -> NotRun:
    return NotRun(Reason.BAD_REQUEST, detail=detail)
