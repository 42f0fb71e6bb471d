"""State of one caller between its statements."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from mysql_mimic.session import BaseSession

from cowslipfork.configuration import Configuration
from cowslipfork.ids import TeamName
from cowslipfork.outcomes import Done, NotRun, Outcome, Reason, Unknown
from cowslipfork.requests import (
    NO_ATTRIBUTES,
    Answer,
    Operation,
    QueryAttributes,
    Request,
    RequestHandler,
    Statement,
    check_attributes,
)
from cowslipfork.sessions import encode_token
from cowslipfork_proxy.callers.admission import Admission, admit
from cowslipfork_proxy.callers.failures import (
    MysqlErrorCode,
    mysql_failure,
    outcome_failure,
)
from cowslipfork_proxy.callers.marks import CallerMarks
from cowslipfork_proxy.callers.transaction import (
    CallerTransaction,
    TransactionState,
)
from cowslipfork_proxy.callers.variables import CallerVariables

_ENDS = frozenset((Operation.COMMIT, Operation.ROLLBACK))


class CallerSession(BaseSession):
    """Builds a caller's requests and keeps its transaction and marks."""

    variables: CallerVariables

    def __init__(
        self,
        run: RequestHandler,
        configuration: Callable[[], Configuration],
    ) -> None:
        """Starts without a login.

        Args:
            run: serves requests.
            configuration: gives the configuration in force.
        """
        self.variables = CallerVariables()
        self.username: str | None = None
        self.database: str | None = None
        self.last_insert_id = 0
        self.connection_id = 0
        self.reading = False
        self._run = run
        self._configuration = configuration
        self._transaction = CallerTransaction()
        self._marks = CallerMarks()
        self._admission: Admission | None = None
        self._preset = NO_ATTRIBUTES

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction was begun and not ended."""
        return self._transaction.state is not TransactionState.NONE

    @property
    def autocommit(self) -> bool:
        """Whether each statement outside a transaction stands alone."""
        return self.variables.autocommit

    def admission(self) -> Admission:
        """Checks the team's right to the database against the configuration.

        Returns:
            The right, checked again only after a change.

        Raises:
            CallerFailure: there is none.
        """
        known = self._admission
        if known is not None and self.in_transaction:
            return known
        configuration = self._configuration()
        if (
            known is None
            or known.configuration is not configuration
            or known.database != self.database
        ):
            team = TeamName(self.username or '')
            known = admit(configuration, team, self.database)
            self._admission = known
        return known

    async def use(self, database: str) -> None:
        """Selects a database.

        Args:
            database: a group's name or its schema's name.

        Raises:
            CallerFailure: unknown, denied, or inside a transaction.
        """
        if self.in_transaction and database != self.database:
            raise mysql_failure(
                MysqlErrorCode.NOT_SUPPORTED,
                'a transaction stays in its database',
            )
        before = self.database
        self.database = database
        try:
            self.admission()
        except Exception:
            self.database = before
            raise

    def preset(self) -> None:
        """Takes over attributes that were set as session variables.

        Raises:
            CallerFailure: one of them is malformed.
        """
        self._preset = _checked(self.variables.attribute_values())

    def token(self) -> str:
        """Writes what this session has seen acknowledged.

        Returns:
            The session token.

        Raises:
            CallerFailure: the session spans too many groups.
        """
        encoded = encode_token(self._marks.joined(self._preset.marks or {}))
        if encoded.is_error():
            raise _bad_request(str(encoded.error))
        token: str = encoded.ok
        return token

    async def answer(
        self,
        sql: str,
        statement: Statement,
        raw: Mapping[str, object],
    ) -> Outcome[Answer]:
        """Runs one statement of the caller.

        Args:
            sql: the statement.
            statement: its class.
            raw: query attributes.

        Returns:
            How it ended.

        Raises:
            CallerFailure: it can't be asked for like this.
        """
        operation = statement.operation or Operation.READ
        attributes = self._attributes(raw)
        admission = self.admission()
        admission.check(operation)
        if operation is Operation.BEGIN:
            return await self._begin(sql, attributes)
        if operation in _ENDS:
            return await self._end(sql, operation, attributes)
        self._check_place(statement)
        if not self.in_transaction and not self.autocommit:
            begun = await self._begin('BEGIN', attributes)
            if not isinstance(begun, Done):
                return begun
        return await self._inside(sql, operation, attributes)

    async def end_transaction(self, operation: Operation) -> Outcome[Answer]:
        """Commits or rolls back what is open.

        Args:
            operation: COMMIT or ROLLBACK.

        Returns:
            How it ended.
        """
        return await self._end(operation.name, operation, NO_ATTRIBUTES)

    async def close(self) -> None:
        """Rolls back what the caller left open."""
        if self.in_transaction:
            await self.end_transaction(Operation.ROLLBACK)

    async def reset(self) -> None:
        """Forgets all but login and database, as COM_RESET_CONNECTION asks."""
        await self.close()
        self.variables.forget()
        self._preset = NO_ATTRIBUTES
        self._marks.clear()
        self.last_insert_id = 0

    def _check_place(self, statement: Statement) -> None:
        if self._transaction.state is TransactionState.FAILED:
            raise outcome_failure(
                NotRun(
                    Reason.TRANSACTION_LOST,
                    detail='the transaction has failed; send ROLLBACK',
                ),
            )
        inside = self.in_transaction or not self.autocommit
        if statement.connection_bound and not inside:
            raise mysql_failure(
                MysqlErrorCode.NOT_SUPPORTED,
                'this statement needs a transaction: outside one, each'
                ' statement may run on another server connection',
            )
        if statement.implicit_commit and inside:
            raise mysql_failure(
                MysqlErrorCode.NOT_SUPPORTED,
                'this statement would commit the transaction; send COMMIT',
            )

    async def _begin(
        self,
        sql: str,
        attributes: QueryAttributes,
    ) -> Outcome[Answer]:
        if self._transaction.state is TransactionState.OPEN:
            committed = await self._end('COMMIT', Operation.COMMIT, attributes)
            if not isinstance(committed, Done):
                return committed
        elif self.in_transaction:
            await self._release()
        self._transaction.begin()
        outcome = await self._ask(sql, Operation.BEGIN, attributes)
        if isinstance(outcome, Unknown):
            await self._release()
        elif not isinstance(outcome, Done):
            self._transaction.end()
        return outcome

    async def _inside(
        self,
        sql: str,
        operation: Operation,
        attributes: QueryAttributes,
    ) -> Outcome[Answer]:
        try:
            outcome = await self._ask(sql, operation, attributes)
        except BaseException:
            self._transaction.fail()
            raise
        if self.in_transaction:
            self._transaction.note(outcome)
        return outcome

    async def _end(
        self,
        sql: str,
        operation: Operation,
        attributes: QueryAttributes,
    ) -> Outcome[Answer]:
        if not self.in_transaction:
            return Done(Answer())
        if self._transaction.state is TransactionState.FAILED:
            await self._release()
            if operation is Operation.ROLLBACK:
                return Done(Answer())
            return NotRun(
                Reason.TRANSACTION_LOST,
                detail='the transaction had failed and was rolled back',
            )
        try:
            outcome = await self._ask(sql, operation, attributes)
        except BaseException:
            self._transaction.fail()
            raise
        if isinstance(outcome, NotRun):
            await self._release()
        self._transaction.end()
        return outcome

    async def _release(self) -> None:
        """Tells the carrier to drop what it may still hold."""
        await self._ask('ROLLBACK', Operation.ROLLBACK, NO_ATTRIBUTES)
        self._transaction.end()

    def _attributes(self, raw: Mapping[str, object]) -> QueryAttributes:
        if not raw:
            return self._preset
        return _checked({**self.variables.attribute_values(), **raw})

    async def _ask(
        self,
        sql: str,
        operation: Operation,
        attributes: QueryAttributes,
    ) -> Outcome[Answer]:
        admission = self.admission()
        now = asyncio.get_running_loop().time()
        request = Request(
            group=admission.group,
            kind=attributes.kind,
            operation=operation,
            sql=sql,
            team=admission.team.name,
            deadline=now + admission.seconds(attributes),
            session=attributes.session,
            marks=self._marks.known_to(admission.group, attributes),
            request_id=attributes.request_id,
            transaction=self._transaction.identity,
        )
        self.reading = operation is Operation.READ
        try:
            outcome = await self._run(request)
        finally:
            self.reading = False
        self._marks.note(admission.group, outcome)
        if isinstance(outcome, Done) and outcome.answer.last_insert_id:
            self.last_insert_id = outcome.answer.last_insert_id
        return outcome


def _checked(raw: Mapping[str, object]) -> QueryAttributes:
    checked = check_attributes(raw)
    if checked.is_error():
        raise _bad_request(str(checked.error))
    attributes: QueryAttributes = checked.ok
    return attributes


def _bad_request(detail: str) -> Exception:
    return outcome_failure(NotRun(Reason.BAD_REQUEST, detail=detail))
