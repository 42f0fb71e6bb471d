"""A caller's transaction, which runs on a single connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import Final

from cowslipfork.ids import EndpointId, Mark
from cowslipfork.limits import QueueRejection
from cowslipfork.outcomes import Done, NotRun, Reason, Unknown
from cowslipfork_direct.answers import Answer, DirectOutcome, Failed
from cowslipfork_direct.attempt import RETRY_AFTER_MS
from cowslipfork_direct.checkout import Checkout
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.commands import (
    Begin,
    Execute,
    Rollback,
    Run,
)
from cowslipfork_direct.leader_lease import LeaseNeed
from cowslipfork_direct.link import (
    NOT_RUN,
    EndpointReply,
    LinkLost,
    LinkRefused,
    ReplyCode,
)
from cowslipfork_direct.observed_statuses import Leader
from cowslipfork_direct.reading import (
    minimum_mark_of,
    primary_candidate,
    read_candidates,
)
from cowslipfork_direct.single import retry_delays
from cowslipfork_direct.statements import Verb
from cowslipfork_direct.wait_policy import (
    MIN_TIME_TO_SEND,
    check_out_for,
    has_time_to_send,
    refusal_of,
)
from cowslipfork_direct.work import ServedStatement

#: Seconds to wait for the answer to a rollback before the connection is
#: closed.
ROLLBACK_TIMEOUT: Final = 0.5


@dataclass(frozen=True, slots=True)
class BegunTransaction:
    """A transaction that an endpoint has begun.

    Attributes:
        checkout: its connection.
        leader: the primary, if the transaction runs there.
        begun_at: boot time; every commit acknowledged before it must be
            visible in the transaction.
    """

    checkout: Checkout
    leader: Leader | None
    begun_at: float


class Transaction:
    """A transaction, begun at an endpoint only with its first statement."""

    def __init__(self, *, read_only: bool) -> None:
        """Starts without an endpoint.

        Args:
            read_only: whether the transaction must not write, so that a
                replica may serve it.
        """
        self._read_only = read_only
        self._begun: BegunTransaction | None = None
        self._mark: Mark | None = None
        self._may_have_run = False
        self._retry_delays = retry_delays()
        self._last = NotRun(Reason.NO_PRIMARY, RETRY_AFTER_MS)

    @property
    def mark(self) -> Mark | None:
        """Mark of the commit; None before the commit."""
        return self._mark

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run a statement of it."""
        return self._may_have_run

    async def run(self, served: ServedStatement) -> DirectOutcome:
        """Runs a statement or the COMMIT of the transaction.

        Args:
            served: the statement.

        Returns:
            Its outcome. With any outcome but ``Done`` the transaction was
            rolled back.
        """
        outcome = await self._run(served)
        committed = served.statement.verb is Verb.COMMIT
        if committed or not isinstance(outcome, Done):
            await self.end()
        return outcome

    async def end(self) -> None:
        """Rolls back what is not committed and returns the connection."""
        begun = self._begun
        self._begun = None
        if begun is None:
            return
        with begun.checkout as checkout:
            until = asyncio.get_running_loop().time() + ROLLBACK_TIMEOUT
            if not checkout.transaction_open:
                return
            try:
                reply = await checkout.ask(Rollback(), until)
            except LinkLost:
                return
            # Endpoints don't refuse a rollback: its answer is still due.
            refused = reply.code is not ReplyCode.DONE
            if refused or reply.transaction_open:
                checkout.invalidate()

    async def _run(self, served: ServedStatement) -> DirectOutcome:
        if self._begun is not None:
            return await self._run_at(self._begun, served)
        avoided: set[EndpointId] = set()
        served.service.budget.record_first_try()
        if self._read_only and served.max_age is not None:
            served.service.endpoint_monitor.request_sample(served.max_age)
        while True:
            begun = await self._begin(served, avoided)
            if not isinstance(begun, BegunTransaction):
                return begun
            outcome = await self._run_at(begun, served)
            if isinstance(outcome, NotRun) and self._may_restart(served):
                await self.end()
                await asyncio.sleep(next(self._retry_delays))
                continue
            return outcome

    def _may_restart(self, served: ServedStatement) -> bool:
        """Returns whether another endpoint may serve the first statement.

        Not if it has run, though its answer can't be used and is rolled back:
        a transaction stays on one connection.
        """
        if self._may_have_run:
            return False
        return has_time_to_send(served) and served.service.budget.try_spend()

    async def _run_at(
        self, begun: BegunTransaction, served: ServedStatement
    ) -> DirectOutcome:
        leader = begun.leader
        if leader is not None:
            if served.service.group.leader != leader:
                return NotRun(Reason.TRANSACTION_LOST, RETRY_AFTER_MS)
            served.service.endpoint_monitor.request_lease_renewal()
            if not await self._likely_confirmed(begun, served):
                return NotRun(Reason.TRANSACTION_LOST, RETRY_AFTER_MS)
        asked_at = boot_time()
        served.trace.record_try(
            begun.checkout.endpoint.id,
            leader.term if leader else None,
            served.service.group,
            None,
        )
        try:
            reply = await self._send(begun.checkout, served)
        except LinkLost as error:
            self._may_have_run = True
            return _connection_lost(served, error)
        self._may_have_run |= reply.code not in NOT_RUN
        if leader is not None:
            if reply.code is ReplyCode.DONE and self._shows_lead(served):
                served.service.group.note_leading(leader, asked_at)
            served.service.group.note_mark(leader, asked_at, reply.mark)
        return await self._evaluate_reply(begun, served, reply)

    async def _send(
        self, checkout: Checkout, served: ServedStatement
    ) -> EndpointReply:
        until = served.deadline
        refused = await checkout.set_up(served.values, served.prepared, until)
        if refused is not None and refused.code is not ReplyCode.DONE:
            return refused
        if served.prepared is None:
            command: Run | Execute = Run(served.statement)
        else:
            name = checkout.pooled.prepared_name(served.prepared)
            command = Execute(served.statement, name)
        reply = await checkout.ask(command, until)
        while _worth_repeating(reply, served):
            await asyncio.sleep(next(self._retry_delays))
            reply = await checkout.ask(command, until)
        return reply

    async def _evaluate_reply(
        self,
        begun: BegunTransaction,
        served: ServedStatement,
        reply: EndpointReply,
    ) -> DirectOutcome:
        committing = served.statement.verb is Verb.COMMIT
        if reply.code in NOT_RUN or reply.code is ReplyCode.ABORTED:
            if reply.code is ReplyCode.READ_ONLY:
                served.service.group.forget(begun.checkout.endpoint.id)
            return NotRun(
                Reason.TRANSACTION_LOST,
                RETRY_AFTER_MS,
                reply.detail,
            )
        if reply.code is not ReplyCode.DONE:
            return Failed(reply.detail)
        if not await self._confirmed(begun, served):
            if committing:
                return Unknown(None, detail='primary could not be confirmed')
            return NotRun(Reason.TRANSACTION_LOST, RETRY_AFTER_MS)
        if committing and not self._read_only:
            self._mark = reply.mark
        return Done(Answer(reply.rows, reply.signature))

    async def _likely_confirmed(
        self, begun: BegunTransaction, served: ServedStatement
    ) -> bool:
        """Returns whether the primary is likely to be confirmed afterwards."""
        if begun.leader is None:
            return True
        return await served.service.endpoint_monitor.lease_available(
            begun.leader,
            self._lease_need(begun, served),
        )

    async def _confirmed(
        self, begun: BegunTransaction, served: ServedStatement
    ) -> bool:
        """Waits until the leader lease covers the answer, if it ever does."""
        if begun.leader is None:
            return True
        return await served.service.endpoint_monitor.wait_for_lease(
            begun.leader,
            self._lease_need(begun, served),
            served.deadline,
        )

    def _shows_lead(self, served: ServedStatement) -> bool:
        """Returns whether a replica would have refused a statement.

        It doesn't refuse the commit of a transaction that wrote nothing.
        """
        committing = served.statement.verb is Verb.COMMIT
        return not self._read_only and not committing

    def _lease_need(
        self, begun: BegunTransaction, served: ServedStatement
    ) -> LeaseNeed:
        """Returns what must be proved of the primary.

        For a commit this is that it leads now, for a read that it led at the
        start of the transaction. A transaction that may write is refused by a
        primary that does not lead any more.
        """
        if self._read_only:
            return LeaseNeed.of_read(begun.begun_at)
        committing = served.statement.verb is Verb.COMMIT
        return LeaseNeed.of_write(boot_time() if committing else begun.begun_at)

    async def _begin(
        self,
        served: ServedStatement,
        avoided: set[EndpointId],
    ) -> BegunTransaction | NotRun:
        """Begins at an endpoint; tries others until there is no time left.

        Returns:
            The transaction, or the reason for which it could not begin.
        """
        candidates = partial(self._candidates, served, avoided)
        while has_time_to_send(served):
            refusal = await self._begin_somewhere(served, avoided)
            if refusal is not None:
                return refusal
            if self._begun is not None:
                return self._begun
            if not any(candidates()):
                avoided.clear()
                await asyncio.sleep(next(self._retry_delays))
        return self._last

    def _candidates(
        self,
        served: ServedStatement,
        avoided: set[EndpointId],
    ) -> list[EndpointId]:
        group = served.service.group
        minimum_mark = self._minimum_mark(served)
        if minimum_mark is None:
            return list(primary_candidate(group, avoided))
        return read_candidates(
            group,
            served.service.failure_domain,
            avoided,
            minimum_mark,
            served.workspace,
        )

    def _minimum_mark(self, served: ServedStatement) -> Mark | None:
        return minimum_mark_of(served) if self._read_only else None

    async def _begin_somewhere(
        self,
        served: ServedStatement,
        avoided: set[EndpointId],
    ) -> NotRun | None:
        candidates = partial(self._candidates, served, avoided)
        checkout = await check_out_for(served, candidates)
        if isinstance(checkout, QueueRejection):
            return refusal_of(served, candidates, checkout)
        if isinstance(checkout, LinkRefused):
            avoided.add(checkout.endpoint)
            self._last = NotRun(
                Reason.CONNECTION_LOST,
                RETRY_AFTER_MS,
                str(checkout),
            )
            return None
        avoided.add(checkout.endpoint.id)
        await self._begin_on(checkout, served)
        return None

    async def _begin_on(
        self, checkout: Checkout, served: ServedStatement
    ) -> None:
        group = served.service.group
        name = checkout.endpoint.id
        minimum_mark = self._minimum_mark(served)
        # With a minimum mark, an endpoint may answer in any role.
        leader = None if minimum_mark else group.leader_at(name)
        if minimum_mark is None and leader is None:
            checkout.release()
            return
        begin = Begin(self._read_only, minimum_mark)
        begun_at = boot_time()
        reply: EndpointReply | None = None
        try:
            reply = await checkout.set_up(
                served.values,
                served.prepared,
                served.deadline,
                begin,
            )
        except LinkLost as error:
            self._last = NotRun(
                Reason.CONNECTION_LOST,
                RETRY_AFTER_MS,
                str(error),
            )
        finally:
            if reply is None or reply.code is not ReplyCode.DONE:
                checkout.release()
        if reply is None:
            return
        if reply.code is ReplyCode.DONE:
            self._begun = BegunTransaction(checkout, leader, begun_at)
            return
        self._last = NotRun(Reason.NO_FREE_SLOT, RETRY_AFTER_MS, reply.detail)
        if reply.code is ReplyCode.READ_ONLY:
            group.forget(name)
        elif reply.code is ReplyCode.BEHIND:
            checkout.endpoint.note_behind()


def _worth_repeating(reply: EndpointReply, served: ServedStatement) -> bool:
    """Returns whether the endpoint was busy and the transaction is intact."""
    return (
        reply.code is ReplyCode.BUSY
        and reply.transaction_open
        and not reply.transaction_failed
        and asyncio.get_running_loop().time()
        < served.deadline - MIN_TIME_TO_SEND
    )


def _connection_lost(served: ServedStatement, error: LinkLost) -> DirectOutcome:
    """Returns the outcome after a connection broke in a transaction.

    If COMMIT was not sent, the endpoint rolls the transaction back.
    """
    if served.statement.verb is Verb.COMMIT:
        return Unknown(None, detail=str(error))
    return NotRun(Reason.TRANSACTION_LOST, RETRY_AFTER_MS, str(error))
