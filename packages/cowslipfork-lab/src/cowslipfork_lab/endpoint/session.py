"""Statements of one connection to an endpoint."""

from __future__ import annotations

import asyncio
from types import MappingProxyType
from typing import TYPE_CHECKING

from mysql_mimic.results import ResultSet
from mysql_mimic.session import BaseSession
from mysql_mimic.types import ServerStatus
from mysql_mimic.variables import GlobalVariables, SessionVariables

from cowslipfork.groups import EndpointRole
from cowslipfork_lab.endpoint.database import Outcome
from cowslipfork_lab.endpoint.dialect import Statement, parse_statement
from cowslipfork_lab.endpoint.failures import ErrorNumber, StatementFailed
from cowslipfork_lab.endpoint.group_statements import run_group_statement
from cowslipfork_lab.endpoint.session_variables import read_variables

if TYPE_CHECKING:
    from cowslipfork_lab.endpoint.state import EndpointState

_GLOBAL_VARIABLES = GlobalVariables()


class EndpointSession(BaseSession):
    """One client's connection: its transaction, term and variables."""

    def __init__(self, state: EndpointState) -> None:
        """Starts outside a transaction, bound to no term.

        Args:
            state: the endpoint.
        """
        self.variables = SessionVariables(_GLOBAL_VARIABLES)
        self.username: str | None = None
        self.database: str | None = None
        self.settings: dict[str, str] = {'autocommit': '1'}
        self.term: int | None = None
        self._state = state
        self._in_transaction = False
        self._aborted = False
        self._last = Outcome()

    @property
    def last(self) -> Outcome:
        """Outcome of the latest statement, for the OK packet."""
        return self._last

    @property
    def status_flags(self) -> ServerStatus:
        """Transaction state, for the OK packet."""
        flags = ServerStatus(0)
        if self.settings['autocommit'] == '1':
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self._in_transaction:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        return flags

    async def use(self, database: str) -> None:
        """Selects a database; the endpoint has only one."""
        self.database = database

    async def reset(self) -> None:
        """Forgets transaction and term."""
        self._rollback()
        self.term = None

    async def close(self) -> None:
        """Rolls back what the client left open."""
        self._rollback()

    async def handle_query(
        self,
        sql: str,
        attrs: dict[str, str],
    ) -> ResultSet | None:
        """Runs one statement.

        Args:
            sql: statement.
            attrs: query attributes, unused.

        Returns:
            A result set, or None for a statement without one.

        Raises:
            StatementFailed: it ends in an error packet.
        """
        self._last = Outcome()
        answer = await run_group_statement(sql, self._state, self)
        if answer is not None:
            return answer
        self.check_term()
        statement = parse_statement(sql)
        step = _STEPS.get(statement.verb)
        if step is not None:
            await step(self, statement)
            return None
        outcome = read_variables(statement.text, self)
        if outcome is None:
            outcome = await self._run_in_slot(statement)
        self._last = outcome
        if not outcome.columns:
            return None
        schema = self._state.member.database.schema
        columns = schema.describe(
            statement.shape, outcome.columns, outcome.rows
        )
        return ResultSet(list(outcome.rows), columns)

    def check_term(self) -> None:
        """Refuses a statement once the endpoint's term differs.

        Raises:
            StatementFailed: the connection is bound to another term.
        """
        member = self._state.member
        if self.term is None or self.term == member.term:
            return
        self._state.counters.terms_refused += 1
        member.require(permitted=False)

    def abort(self) -> None:
        """Forgets the transaction that a fence has rolled back."""
        if self._in_transaction:
            self._in_transaction = False
            self._aborted = True
        self._release()

    async def _run_in_slot(self, statement: Statement) -> Outcome:
        state = self._state
        state.take_slot()
        try:
            return await self._run(statement)
        finally:
            state.counters.slots_used -= 1

    async def _run(self, statement: Statement) -> Outcome:
        state = self._state
        await self._serve()
        self._check_aborted()
        if statement.is_read and not statement.locks:
            replica = state.member.role != EndpointRole.PRIMARY
            state.counters.count_read(replica=replica)
            inside = state.writer is self
            return state.member.database.read(statement, inside=inside)
        if statement.is_schema_change:
            self._commit()
        await self._lock()
        state.counters.writes += 1
        try:
            return self._write(statement)
        finally:
            if not self._in_transaction:
                self._rollback()

    def _write(self, statement: Statement) -> Outcome:
        member = self._state.member
        if statement.is_read:
            return member.database.read(statement, inside=True)
        try:
            outcome = member.write(statement)
        except StatementFailed as failure:
            if failure.code == ErrorNumber.READ_ONLY:
                self._state.counters.writes_refused += 1
            raise
        if self.settings['autocommit'] != '1':
            self._in_transaction = not statement.is_schema_change
        if not self._in_transaction:
            self._commit()
        return outcome

    async def _serve(self) -> None:
        seconds = self._state.faults.service_seconds
        if seconds:
            await asyncio.sleep(seconds)
            self.check_term()
        self._state.counters.statements += 1

    async def _lock(self) -> None:
        state = self._state
        if state.writer is self:
            return
        limit = state.faults.lock_wait_seconds
        try:
            async with asyncio.timeout(limit):
                await state.lock.acquire()
        except TimeoutError as error:
            state.counters.lock_timeouts += 1
            raise StatementFailed(
                ErrorNumber.LOCK_WAIT_TIMEOUT,
                'Lock wait timeout exceeded; try restarting transaction',
            ) from error
        state.writer = self
        try:
            self.check_term()
        except StatementFailed:
            self._release()
            raise
        if self._aborted:
            self._release()
            self._check_aborted()

    async def _begin(self, _statement: Statement) -> None:
        self._commit()
        self._aborted = False
        self._in_transaction = True

    async def _end(self, _statement: Statement) -> None:
        state = self._state
        state.take_slot()
        try:
            await self._serve()
        finally:
            state.counters.slots_used -= 1
        self._check_aborted()
        self._commit()

    async def _drop(self, _statement: Statement) -> None:
        self._aborted = False
        self._rollback()

    async def _set(self, statement: Statement) -> None:
        """Accepts other variables without effect, as drivers set many."""
        text = statement.text.lower().replace(' ', '')
        if 'autocommit=' in text:
            value = text.partition('autocommit=')[2][:2]
            on = value[:1] == '1' or value == 'on'
            self.settings['autocommit'] = '1' if on else '0'
            if on:
                self._commit()

    async def _use(self, statement: Statement) -> None:
        self.database = statement.text.split()[-1].strip('`')

    def _check_aborted(self) -> None:
        if self._aborted:
            self._aborted = False
            raise StatementFailed(
                ErrorNumber.ROLLED_BACK,
                'transaction was rolled back when the endpoint was fenced',
            )

    def _commit(self) -> None:
        self._in_transaction = False
        if self._state.writer is self:
            self._state.member.commit()
            self._release()

    def _rollback(self) -> None:
        self._in_transaction = False
        if self._state.writer is self:
            self._state.member.database.rollback()
            self._release()

    def _release(self) -> None:
        if self._state.writer is self:
            self._state.writer = None
            self._state.lock.release()


_STEPS = MappingProxyType(
    {
        'BEGIN': EndpointSession._begin,
        'START': EndpointSession._begin,
        'COMMIT': EndpointSession._end,
        'ROLLBACK': EndpointSession._drop,
        'SET': EndpointSession._set,
        'USE': EndpointSession._use,
    }
)
