"""A caller's session: its values, prepared statements and transaction."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from cowslipfork.ids import Mark, WorkspaceName
from cowslipfork.outcomes import Done, NotRun, Reason
from cowslipfork_direct.answers import (
    ACCEPTED,
    DirectOutcome,
    SessionState,
    outcome_detail,
    outcome_name,
)
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.execution import (
    Executed,
    ExecutedTransaction,
    StatementExecutor,
)
from cowslipfork_direct.leaving import refusal_of_leaving
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.routes import DatabaseName, KeyDigest, Route
from cowslipfork_direct.statements import Prepared, Statement, Verb
from cowslipfork_direct.work import StatementRequest
from cowslipfork_direct.workspaces import digest_prefix

#: Returns the current route of a database and the executor of its group.
RouteResolver = Callable[[DatabaseName], tuple[Route, StatementExecutor] | None]

#: Returns the workspace of the caller with this key for a route, None if the
#: route needs none, or why the caller may not use the route.
Identify = Callable[[Route, KeyDigest | None], WorkspaceName | NotRun | None]


class Admission(Protocol):
    """Applies the rate limits of workspaces."""

    async def admit(self, workspace: WorkspaceName) -> NotRun | None:
        """Waits until a workspace may start another operation.

        Returns:
            The refusal if its rate limit does not allow that now.
        """

    def give_back(self, workspace: WorkspaceName, admitted_at: float) -> None:
        """Takes back the admission of an operation that did not run.

        Args:
            workspace: workspace of the operation.
            admitted_at: boot time of its admission.
        """


log = logging.getLogger(__name__)

#: Detail of the refusal after a transaction whose key was withdrawn.
KEY_WITHDRAWN: Final = 'the key of the transaction was withdrawn'

#: Detail of the refusal after a transaction whose key another workspace has.
KEY_MOVED: Final = 'the key of the transaction belongs to another workspace'

#: Why the key of a caller is refused, as opposed to a statement of it.
_KEY_REFUSALS: Final = frozenset((Reason.UNKNOWN_KEY, Reason.NOT_CURRENT))

_DATA_VERBS: Final = frozenset(
    (Verb.READ, Verb.WRITE, Verb.EXECUTE, Verb.COMMIT)
)


@dataclass(frozen=True, slots=True)
class SessionContext:
    """What a session uses of its node.

    Attributes:
        resolve: finds the route, once for each transaction or single
            statement.
        idle_limit: returns the longest idle time of a transaction in seconds.
        identify: tells the workspace of the caller; asked again for each
            statement, since keys may be withdrawn.
        priority: returns the priority of a workspace.
        admission: applies the rate limit of a workspace, once for each
            transaction or single statement.
        answer_by: returns the loop time by which everything must be answered;
            infinity unless the node is leaving.
        transactions_until: returns the loop time at which open transactions
            will be rolled back; infinity unless the node is leaving.
        metrics: metrics of the node.
    """

    resolve: RouteResolver
    idle_limit: Callable[[], float]
    identify: Identify
    priority: Callable[[WorkspaceName | None], int]
    admission: Admission
    answer_by: Callable[[], float]
    transactions_until: Callable[[], float]
    metrics: Metrics


class Session:
    """Runs a caller's statements and keeps its state between them."""

    def __init__(
        self,
        context: SessionContext,
        database: DatabaseName,
        digest: KeyDigest | None = None,
    ) -> None:
        """Starts outside of a transaction, without values or statements.

        Args:
            context: what it uses of its node.
            database: database that the caller connected to.
            digest: digest of the caller's key; None if it sent none.
        """
        self._context = context
        self._database = database
        self._digest = digest
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Prepared] = {}
        self._mark: Mark | None = None
        self._transaction: ExecutedTransaction | None = None
        self._transaction_failed = False
        #: Workspace that began the transaction, and in whose name it runs.
        self._transaction_workspace: WorkspaceName | None = None
        self._admitted = False
        #: Boot time of an admission of which nothing has run yet.
        self._unused_since: float | None = None
        self._resolved: tuple[Route, StatementExecutor] | None = None
        self._abort_cause: str | None = None

    @property
    def mark(self) -> Mark | None:
        """Highest mark of the session's writes; None before the first."""
        return self._mark

    @property
    def transaction_idle(self) -> float:
        """Seconds after which an idle transaction must be aborted."""
        return self._context.idle_limit()

    @property
    def key_loss(self) -> str | None:
        """Why the caller's key allows no more what is open; None if it does.

        A key that is not known any more allows nothing. One that belongs to
        another workspace now allows new statements, but not a transaction
        that runs in the name of the former one.
        """
        workspace = self._identify()
        if isinstance(workspace, NotRun):
            unknown = workspace.reason is Reason.UNKNOWN_KEY
            return KEY_WITHDRAWN if unknown else None
        return KEY_MOVED if self._has_moved_to(workspace) else None

    @property
    def state(self) -> SessionState:
        """Transaction state of the session."""
        if self._transaction is None:
            return SessionState.IDLE
        if self._transaction_failed:
            return SessionState.FAILED_TRANSACTION
        return SessionState.IN_TRANSACTION

    async def run(self, statement: Statement) -> DirectOutcome:
        """Runs one statement and logs its outcome.

        Args:
            statement: the caller's statement.

        Returns:
            Its outcome.
        """
        workspace = self._identify()
        if not isinstance(workspace, NotRun) and self._has_moved_to(workspace):
            await self.abort(KEY_MOVED)
        if isinstance(workspace, NotRun):
            outcome = await self._refuse_key(workspace)
        elif self.state is SessionState.FAILED_TRANSACTION:
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
        if self.state is SessionState.IN_TRANSACTION:
            self._abort_cause = cause
            await self._fail_transaction()

    def abandon(self) -> None:
        """Notes that a statement was cancelled, which fails a transaction."""
        self._transaction_failed = self._transaction is not None

    async def close(self) -> None:
        """Ends the session; an open transaction is rolled back."""
        await self._end_transaction()

    def _identify(self) -> WorkspaceName | NotRun | None:
        """Asks who the caller is, by the database's current route."""
        resolved = self._context.resolve(self._database) or self._resolved
        if resolved is None:
            return None
        return self._context.identify(resolved[0], self._digest)

    def _has_moved_to(self, workspace: WorkspaceName | None) -> bool:
        """Returns whether an open transaction is that of another workspace.

        Args:
            workspace: workspace that the caller's key belongs to now.
        """
        in_transaction = self.state is SessionState.IN_TRANSACTION
        return in_transaction and workspace != self._transaction_workspace

    async def _refuse_key(self, refusal: NotRun) -> DirectOutcome:
        """Refuses a statement, the first one after a rollback as aborted.

        Args:
            refusal: why the caller's key is refused.
        """
        await self.abort(refusal.detail)
        cause = self._abort_cause
        self._abort_cause = None
        if cause is None:
            return refusal
        return NotRun(
            Reason.TRANSACTION_LOST, refusal.retry_after_ms, detail=cause
        )

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
        """Opens a transaction in the name of the caller's workspace."""
        if self._transaction is not None:
            return _bad_request('a transaction is already open')
        refusal = refusal_of_leaving(self._context.transactions_until())
        if refusal is not None:
            return refusal
        resolved = self._context.resolve(self._database)
        if resolved is None:
            return self._no_route()
        _, executor = resolved
        read_only = statement.verb is Verb.BEGIN_READ_ONLY
        workspace = self._context.identify(resolved[0], self._digest)
        if isinstance(workspace, NotRun):
            return workspace
        self._resolved = resolved
        self._transaction_workspace = workspace
        self._transaction = executor.begin(read_only=read_only)
        self._transaction_failed = False
        self._admitted = False
        return ACCEPTED

    async def _run_data(self, statement: Statement) -> DirectOutcome:
        transaction = self._transaction
        if transaction is None:
            if statement.verb is Verb.COMMIT:
                refusal = _bad_request('no transaction is open')
                return self._log_refusal(statement, refusal)
            self._resolved = self._context.resolve(self._database)
            self._admitted = False
        if self._resolved is None:
            return self._log_refusal(statement, self._no_route())
        route, executor = self._resolved
        request = await self._admit(statement, route)
        if isinstance(request, NotRun):
            if request.reason is not Reason.BAD_REQUEST:
                await self._fail_transaction()
            return self._log_refusal(statement, request)
        executed = (
            await executor.run_single(request)
            if transaction is None
            else await transaction.run(request)
        )
        self._settle_admission(request.workspace, executed)
        await self._record_executed(statement, executed)
        self._log_outcome(
            request, executed, in_transaction=transaction is not None
        )
        return executed.outcome

    async def _admit(
        self, statement: Statement, route: Route
    ) -> StatementRequest | NotRun:
        """Builds the request of a statement that may run.

        Args:
            statement: the caller's statement.
            route: route of its database.

        Returns:
            The request, or why the statement may not run.
        """
        prepared = self._prepared.get(statement.name)
        if statement.verb is Verb.EXECUTE and prepared is None:
            detail = f'prepared statement "{statement.name}" does not exist'
            return _bad_request(detail)
        answer_by = self._context.answer_by()
        refusal = refusal_of_leaving(answer_by)
        if refusal is not None:
            return refusal
        arrived = boot_time()
        timeout_at = asyncio.get_running_loop().time() + route.timeout
        deadline = min(timeout_at, answer_by)
        workspace = await self._admit_workspace()
        if isinstance(workspace, NotRun):
            return workspace
        return StatementRequest(
            statement,
            route,
            self._values,
            prepared if statement.verb is Verb.EXECUTE else None,
            arrived,
            deadline,
            self._mark,
            workspace,
            self._context.priority(workspace),
        )

    async def _admit_workspace(self) -> WorkspaceName | NotRun | None:
        """Applies the rate limit, once for each operation.

        Returns:
            The caller's workspace, or why the statement may not run.
        """
        workspace = self._identify()
        while not self._admitted and not isinstance(workspace, NotRun):
            refusal = await self._admit_once(workspace)
            if refusal is not None:
                return refusal
            workspace = self._identify()
        if isinstance(workspace, NotRun) or not self._has_moved_to(workspace):
            return workspace
        return NotRun(Reason.TRANSACTION_LOST, detail=KEY_MOVED)

    async def _admit_once(
        self, workspace: WorkspaceName | None
    ) -> NotRun | None:
        """Applies the rate limit of the workspace that the caller is of now.

        Its key may be withdrawn during the wait, or move to another workspace,
        whose rate limit applies then.

        Returns:
            The refusal if the rate limit does not allow the operation.
        """
        if workspace is None:
            self._admitted = True
            return None
        refusal = await self._context.admission.admit(workspace)
        if refusal is not None:
            return refusal
        admitted_at = boot_time()
        if self._identify() == workspace:
            self._unused_since = admitted_at
            self._admitted = True
        else:
            self._context.admission.give_back(workspace, admitted_at)
        return None

    def _settle_admission(
        self, workspace: WorkspaceName | None, executed: Executed
    ) -> None:
        """Gives an admission back if nothing of the operation has run."""
        admitted_at = self._unused_since
        self._unused_since = None
        not_run = (
            isinstance(executed.outcome, NotRun) and not executed.may_have_run
        )
        if admitted_at is not None and workspace is not None and not_run:
            self._context.admission.give_back(workspace, admitted_at)

    async def _record_executed(
        self, statement: Statement, executed: Executed
    ) -> None:
        """Updates the session's mark and transaction."""
        done = isinstance(executed.outcome, Done)
        if done:
            self._advance_mark(executed.mark)
        if self._transaction is None:
            return
        if statement.verb is Verb.COMMIT:
            await self._end_transaction()
        elif not done:
            await self._fail_transaction()

    def _log_refusal(
        self,
        statement: Statement,
        refusal: NotRun,
    ) -> NotRun:
        """Logs a statement that was refused without reaching a group."""
        if refusal.reason in _KEY_REFUSALS:
            self._context.metrics.count_refused_key(refusal.reason.name.lower())
        log.info(
            'request',
            extra={
                'id': statement.id,
                'database': self._database,
                'verb': statement.verb.value,
                **self._caller_fields(),
                'outcome': outcome_name(refusal),
                'detail': refusal.detail,
            },
        )
        return refusal

    def _log_outcome(
        self,
        request: StatementRequest,
        executed: Executed,
        *,
        in_transaction: bool,
    ) -> None:
        """Logs and counts an answered statement."""
        verb = request.statement.verb.value
        ended = outcome_name(executed.outcome)
        seconds = boot_time() - request.arrived
        self._context.metrics.count_request(verb, ended, seconds)
        log.info(
            'request',
            extra={
                'id': request.statement.id,
                'database': self._database,
                'revision': request.route.revision,
                'group': request.route.group,
                'verb': verb,
                'writes': request.writes,
                'max_age': request.max_age,
                'in_transaction': in_transaction,
                **self._caller_fields(),
                **executed.log_fields,
                'outcome': ended,
                'detail': outcome_detail(executed.outcome),
            },
        )

    def _caller_fields(self) -> dict[str, str]:
        """Returns the start of the key's digest, if there is a key."""
        prefix = digest_prefix(self._digest)
        return {'key': prefix} if prefix else {}

    def _advance_mark(self, mark: Mark | None) -> None:
        if mark is not None and (self._mark is None or mark > self._mark):
            self._mark = mark

    async def _fail_transaction(self) -> None:
        """Rolls an open transaction back; only its end is accepted then."""
        if self._transaction is not None:
            self._transaction_failed = True
            await self._transaction.end()

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
