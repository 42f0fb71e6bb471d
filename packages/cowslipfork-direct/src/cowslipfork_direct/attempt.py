"""One try of a statement at one endpoint, outside of transactions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cowslipfork.ids import EndpointId, Mark
from cowslipfork.limits import QueueRejection
from cowslipfork.outcomes import Done, NotRun, Reason, Unknown
from cowslipfork_direct.answers import Answer, DirectOutcome, Failed
from cowslipfork_direct.checkout import Checkout
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.commands import Execute, Run
from cowslipfork_direct.leader_lease import LeaseNeed
from cowslipfork_direct.link import (
    NOT_RUN,
    EndpointReply,
    LinkLost,
    LinkRefused,
    ReplyCode,
)
from cowslipfork_direct.observed_statuses import Leader
from cowslipfork_direct.reading import minimum_mark_of
from cowslipfork_direct.wait_policy import Candidates, check_out_for, refusal_of
from cowslipfork_direct.work import ServedStatement

#: Milliseconds after which a refused caller should retry.
RETRY_AFTER_MS: Final = 200


@dataclass(frozen=True, slots=True)
class TryResult:
    """The result of one try.

    Attributes:
        outcome: outcome for the caller unless a later try succeeds.
        final: whether the statement must not be tried again.
        endpoint: endpoint that later tries should avoid, if any.
        budget_exempt: whether the next try does not count against the retry
            budget.
        mark: mark of a completed write; None otherwise.
    """

    outcome: DirectOutcome
    final: bool = False
    endpoint: EndpointId | None = None
    budget_exempt: bool = False
    mark: Mark | None = None


class Attempt:
    """One try of a statement: waits for a connection, sends, checks."""

    def __init__(
        self,
        served: ServedStatement,
        candidates: Candidates,
    ) -> None:
        """Starts without an endpoint; ``run`` chooses one.

        Args:
            served: the statement.
            candidates: returns the endpoints that may serve it, best first.
        """
        self._served = served
        self._group = served.service.group
        self._candidates = candidates
        self._endpoint: EndpointId | None = None

    @property
    def endpoint(self) -> EndpointId | None:
        """Endpoint that the statement was sent to; None before that."""
        return self._endpoint

    async def run(self) -> TryResult:
        """Runs the statement once, on the first connection available."""
        checkout = await check_out_for(self._served, self._candidates)
        if isinstance(checkout, QueueRejection):
            return TryResult(
                refusal_of(self._served, self._candidates, checkout),
                final=True,
            )
        if isinstance(checkout, LinkRefused):
            return _not_sent(checkout.endpoint, checkout)
        with checkout:
            return await self._run_on(checkout)

    async def _run_on(self, checkout: Checkout) -> TryResult:
        served = self._served
        name = checkout.endpoint.id
        minimum_mark = minimum_mark_of(served)
        # With a minimum mark, an endpoint may answer in any role.
        leader = None if minimum_mark else self._group.leader_at(name)
        if leader is None and minimum_mark is None:
            # The primary changed while the statement waited.
            return TryResult(
                NotRun(Reason.NO_PRIMARY, RETRY_AFTER_MS),
                budget_exempt=True,
            )
        if leader is not None and not await self._likely_confirmed(leader):
            return TryResult(NotRun(Reason.NOT_CURRENT, RETRY_AFTER_MS), True)
        try:
            refused = await checkout.set_up(
                served.values,
                served.prepared,
                served.deadline,
            )
        except LinkLost as error:
            return _not_sent(name, error)
        if refused is not None and refused.code is not ReplyCode.DONE:
            return self._not_run(name, refused)
        return await self._send(checkout, minimum_mark, leader)

    async def _send(
        self,
        checkout: Checkout,
        minimum_mark: Mark | None,
        leader: Leader | None,
    ) -> TryResult:
        self._endpoint = checkout.endpoint.id
        self._served.trace.record_try(
            checkout.endpoint.id,
            leader.term if leader else None,
            self._group,
            minimum_mark,
        )
        begun = boot_time()
        command = self._build_command(checkout, minimum_mark)
        try:
            reply = await checkout.ask(command, self._served.deadline)
        except LinkLost as error:
            return self._connection_lost(error)
        if reply.code is ReplyCode.DONE:
            checkout.endpoint.note_duration(boot_time() - begun)
            if minimum_mark is not None:
                checkout.endpoint.note_served()
        if leader is not None:
            if self._served.writes and reply.code is ReplyCode.DONE:
                self._group.note_leading(leader, begun)
            self._group.note_mark(leader, begun, reply.mark)
        return await self._evaluate_reply(checkout.endpoint.id, reply, leader)

    def _build_command(
        self, checkout: Checkout, minimum_mark: Mark | None
    ) -> Run | Execute:
        served = self._served
        if served.prepared is None:
            return Run(served.statement, minimum_mark)
        name = checkout.pooled.prepared_name(served.prepared)
        return Execute(served.statement, name, minimum_mark)

    async def _evaluate_reply(
        self,
        name: EndpointId,
        reply: EndpointReply,
        leader: Leader | None,
    ) -> TryResult:
        if reply.code in NOT_RUN:
            return self._not_run(name, reply)
        writes = self._served.writes
        if reply.code is not ReplyCode.DONE:
            return TryResult(Failed(reply.detail), final=writes, endpoint=name)
        if leader is not None and not await self._confirmed(leader):
            unknown = Unknown(None, detail='primary could not be confirmed')
            return TryResult(unknown, final=writes)
        done = Done(Answer(reply.rows, reply.signature))
        return TryResult(done, final=True, mark=reply.mark if writes else None)

    def _connection_lost(self, error: LinkLost) -> TryResult:
        if self._served.writes:
            return TryResult(Unknown(None, detail=str(error)), final=True)
        unknown = Unknown(None, detail=str(error), reason=Reason.DEADLINE)
        return TryResult(unknown, endpoint=error.endpoint)

    def _not_run(self, name: EndpointId, reply: EndpointReply) -> TryResult:
        if reply.code is ReplyCode.READ_ONLY:
            self._group.forget(name)
        elif reply.code is ReplyCode.BEHIND and name in self._group.endpoints:
            self._group.endpoints[name].note_behind()
        refused = NotRun(Reason.NO_FREE_SLOT, RETRY_AFTER_MS, reply.detail)
        # Retries of statements that a busy endpoint refused stay within the
        # budget, or all callers together would overload it further.
        exempt = reply.code is not ReplyCode.BUSY
        return TryResult(refused, endpoint=name, budget_exempt=exempt)

    async def _likely_confirmed(self, leader: Leader) -> bool:
        """Returns whether the primary is likely to be confirmed afterwards."""
        endpoint_monitor = self._served.service.endpoint_monitor
        endpoint_monitor.request_lease_renewal()
        return await endpoint_monitor.lease_available(
            leader, self._lease_need()
        )

    async def _confirmed(self, leader: Leader) -> bool:
        """Waits until the leader lease covers the answer, if it ever does."""
        endpoint_monitor = self._served.service.endpoint_monitor
        return await endpoint_monitor.wait_for_lease(
            leader,
            self._lease_need(),
            self._served.deadline,
        )

    def _lease_need(self) -> LeaseNeed:
        """Returns what must be proved of the primary.

        For a write this is that it leads now; for a read, that it led at the
        oldest time of which the read may show the data. A session that has
        written may have done so up to the arrival of the read.
        """
        served = self._served
        if served.writes:
            return LeaseNeed.of_write(boot_time())
        age = served.max_age or 0
        if served.session_mark is not None:
            age = 0
        return LeaseNeed.of_read(served.arrived - age)


def _not_sent(
    endpoint: EndpointId,
    error: LinkLost | LinkRefused,
) -> TryResult:
    refused = NotRun(Reason.CONNECTION_LOST, RETRY_AFTER_MS, str(error))
    return TryResult(refused, endpoint=endpoint)
