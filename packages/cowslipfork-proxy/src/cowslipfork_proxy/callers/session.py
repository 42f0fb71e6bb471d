"""State of one caller between its statements."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable, Mapping

from mysql_mimic.session import BaseSession
from mysql_mimic.variables import (
    SYSTEM_VARIABLES,
    GlobalVariables,
    SessionVariables,
)

from cowslipfork.configuration import Configuration
from cowslipfork.ids import (
    GroupName,
    KindName,
    Mark,
    RequestId,
    SessionId,
    TeamName,
    TransactionId,
)
from cowslipfork.outcomes import Done, Outcome
from cowslipfork.requests import Answer, Operation, Request, Run
from cowslipfork_proxy.callers.failures import Fault, fault

_DEFAULT_DEADLINE_SECONDS = 10.0
_MS_PER_SECOND = 1000

_GLOBALS = GlobalVariables(
    {
        **SYSTEM_VARIABLES,
        'version': (str, '8.0.29-cowslipfork', False),
        'version_comment': (str, 'cowslipfork', False),
        'sql_mode': (str, 'STRICT_TRANS_TABLES', True),
    },
)


class CallerSession(BaseSession):
    """Builds a caller's requests and keeps its transaction and marks."""

    def __init__(
        self,
        run: Run,
        configuration: Callable[[], Configuration],
    ) -> None:
        """Starts without a login.

        Args:
            run: serves requests.
            configuration: gives the configuration in force.
        """
        self.variables = SessionVariables(_GLOBALS)
        self.username: str | None = None
        self.database: str | None = None
        self._run = run
        self._configuration = configuration
        self._transaction: TransactionId | None = None
        self._marks: dict[GroupName, Mark] = {}

    @property
    def in_transaction(self) -> bool:
        """Whether statements belong to an open transaction."""
        return self._transaction is not None

    async def serve(
        self,
        sql: str,
        operation: Operation,
        attributes: Mapping[str, str],
    ) -> Outcome[Answer]:
        """Runs one statement of the caller.

        Args:
            sql: the statement.
            operation: what it does.
            attributes: query attributes.

        Returns:
            How it ended.
        """
        if operation is Operation.BEGIN:
            self._transaction = TransactionId(uuid.uuid4().hex)
        outcome = await self._run(self._request(sql, operation, attributes))
        if operation in {Operation.COMMIT, Operation.ROLLBACK}:
            self._transaction = None
        if isinstance(outcome, Done) and outcome.answer.mark:
            self._remember(outcome.answer.mark)
        return outcome

    async def close(self) -> None:
        """Rolls back what the caller left open."""
        if self._transaction is not None:
            await self.serve('ROLLBACK', Operation.ROLLBACK, {})

    def _remember(self, mark: Mark) -> None:
        group = self._group()
        known = self._marks.get(group)
        self._marks[group] = max(known, mark) if known else mark

    def _group(self) -> GroupName:
        if not self.database:
            raise fault(Fault.NO_DATABASE, 'No database selected')
        for group in self._configuration().groups.values():
            if self.database in {group.name, group.database}:
                return group.name
        raise fault(
            Fault.UNKNOWN_DATABASE,
            f"Unknown database '{self.database}'",
        )

    def _request(
        self,
        sql: str,
        operation: Operation,
        attributes: Mapping[str, str],
    ) -> Request:
        kind = attributes.get('kind')
        session = attributes.get('session')
        request_id = attributes.get('request_id')
        return Request(
            group=self._group(),
            kind=KindName(kind) if kind else None,
            operation=operation,
            sql=sql,
            team=TeamName(self.username or ''),
            deadline=self._deadline(attributes),
            session=SessionId(session) if session else None,
            marks=None if session else dict(self._marks),
            request_id=RequestId(request_id) if request_id else None,
            transaction=self._transaction,
        )

    def _deadline(self, attributes: Mapping[str, str]) -> float:
        limit = attributes.get('deadline_ms')
        seconds = _DEFAULT_DEADLINE_SECONDS
        if limit:
            seconds = int(limit) / _MS_PER_SECOND
        return asyncio.get_running_loop().time() + seconds
