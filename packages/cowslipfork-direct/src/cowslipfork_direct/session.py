"""One caller's session: its values, statements and transaction."""

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
    detail_of,
    name_of,
)
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.routes import DatabaseName, Route
from cowslipfork_direct.single import Single
from cowslipfork_direct.statements import Prepared, Statement, Verb
from cowslipfork_direct.transaction import Transaction
from cowslipfork_direct.work import Service, Work

#: Gives the route of a database and what serves it, as now in force.
Resolve = Callable[[DatabaseName], tuple[Route, Service] | None]

log = logging.getLogger(__name__)

_DATA: Final = frozenset((Verb.READ, Verb.WRITE, Verb.EXECUTE, Verb.COMMIT))


class Session:
    """State of a caller between its statements."""

    def __init__(
        self,
        resolve: Resolve,
        idle_limit: Callable[[], float],
        database: DatabaseName,
    ) -> None:
        """Starts outside of a transaction, with nothing set.

        Args:
            resolve: finds the route at the start of each transaction.
            idle_limit: gives the longest idle time of a transaction.
            database: database that the caller connected to.
        """
        self._resolve = resolve
        self._idle_limit = idle_limit
        self._database = database
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Prepared] = {}
        self._seen: Mark | None = None
        self._transaction: Transaction | None = None
        self._resolved: tuple[Route, Service] | None = None
        self._abortion: str | None = None

    @property
    def mark(self) -> Mark | None:
        """Last log entry that the session wrote."""
        return self._seen

    @property
    def transaction_idle(self) -> float:
        """Seconds after which an idle transaction is to be ended."""
        return self._idle_limit()

    @property
    def state(self) -> SessionState:
        """Where the session stands."""
        if self._transaction is None:
            return SessionState.IDLE
        if self._transaction.failed:
            return SessionState.FAILED_TRANSACTION
        return SessionState.IN_TRANSACTION

    async def run(self, statement: Statement) -> DirectOutcome:
        """Runs one statement to its end.

        Args:
            statement: the caller's statement.

        Returns:
            Its outcome.
        """
        if self.state is SessionState.FAILED_TRANSACTION:
            outcome = self._run_failed(statement)
        elif statement.verb in _DATA:
            return await self._run_data(statement)
        else:
            outcome = await self._run_own(statement)
        if isinstance(outcome, NotRun):
            self._report_refusal(statement, outcome)
        return outcome

    async def abort(self, cause: str) -> None:
        """Rolls an open transaction back; the next statement is told.

        Args:
            cause: what the caller is told.
        """
        transaction = self._transaction
        if transaction is not None and not transaction.failed:
            self._abortion = cause
            await transaction.fail()

    async def close(self) -> None:
        """Ends the session; an open transaction is rolled back."""
        await self._end_transaction()

    def _run_failed(self, statement: Statement) -> DirectOutcome:
        cause = self._abortion
        self._abortion = None
        if statement.verb is Verb.ROLLBACK:
            self._transaction = None
            return ACCEPTED
        if statement.verb is Verb.COMMIT:
            self._transaction = None
            return NotRun(Reason.TRANSACTION_LOST, detail='rolled back')
        if cause is not None:
            return NotRun(Reason.TRANSACTION_LOST, detail=cause)
        return _malformed('the transaction has failed; only its end is taken')

    async def _run_own(self, statement: Statement) -> DirectOutcome:
        """Carries out what needs no endpoint."""
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
            return _malformed('a transaction is open already')
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
                refusal = _malformed('no transaction is open')
                return self._report_refusal(statement, refusal)
            self._resolved = self._resolve(self._database)
        prepared = self._prepared.get(statement.name)
        if self._resolved is None:
            return self._report_refusal(statement, self._no_route())
        if statement.verb is Verb.EXECUTE and prepared is None:
            detail = f'no statement "{statement.name}" is prepared'
            return self._report_refusal(statement, _malformed(detail))
        work = self._work(statement, prepared, *self._resolved)
        if transaction is None:
            outcome = await self._run_single(work)
        else:
            outcome = await transaction.run(work)
            if statement.verb is Verb.COMMIT:
                self._committed(transaction)
        self._report(work, outcome, in_transaction=transaction is not None)
        return outcome

    def _report_refusal(
        self,
        statement: Statement,
        refusal: NotRun,
    ) -> NotRun:
        """Writes one line about a statement that was refused here."""
        log.info(
            'request',
            extra={
                'id': statement.id,
                'database': self._database,
                'verb': statement.verb.value,
                'outcome': name_of(refusal),
                'detail': refusal.detail,
            },
        )
        return refusal

    def _report(
        self,
        work: Work,
        outcome: DirectOutcome,
        *,
        in_transaction: bool,
    ) -> None:
        """Writes one line about an answered statement."""
        verb = work.statement.verb.value
        ended = name_of(outcome)
        seconds = boot_time() - work.arrived
        work.service.metrics.count_request(verb, ended, seconds)
        log.info(
            'request',
            extra={
                'id': work.statement.id,
                'database': self._database,
                'revision': work.route.revision,
                'group': work.service.group.name,
                'verb': verb,
                'writes': work.writes,
                'max_age': work.max_age,
                'in_transaction': in_transaction,
                **work.trace.fields(),
                'outcome': ended,
                'detail': detail_of(outcome),
            },
        )

    def _work(
        self,
        statement: Statement,
        prepared: Prepared | None,
        route: Route,
        service: Service,
    ) -> Work:
        return Work(
            statement,
            route,
            service,
            self._values,
            prepared if statement.verb is Verb.EXECUTE else None,
            boot_time(),
            asyncio.get_running_loop().time() + route.timeout,
            self._seen,
        )

    async def _run_single(self, work: Work) -> DirectOutcome:
        single = Single(work)
        outcome = await single.serve()
        if isinstance(outcome, Done):
            self._see(single.mark)
        return outcome

    def _committed(self, transaction: Transaction) -> None:
        self._see(transaction.mark)
        self._transaction = None

    def _see(self, mark: Mark | None) -> None:
        if mark is not None and (self._seen is None or mark > self._seen):
            self._seen = mark

    async def _end_transaction(self) -> None:
        transaction = self._transaction
        self._transaction = None
        if transaction is not None:
            await transaction.end()

    def _no_route(self) -> NotRun:
        detail = f'no route has the name "{self._database}"'
        return NotRun(Reason.UNKNOWN_GROUP, detail=detail)


def _malformed(detail: str) -> NotRun:
    return NotRun(Reason.BAD_REQUEST, detail=detail)
