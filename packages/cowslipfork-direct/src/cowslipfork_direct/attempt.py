"""One try of one statement at one endpoint, outside of transactions."""

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
from cowslipfork_direct.link import (
    NOT_RUN,
    EndpointReply,
    LinkLost,
    LinkRefused,
    ReplyCode,
)
from cowslipfork_direct.observed_statuses import Leader
from cowslipfork_direct.reading import minimum_mark_of
from cowslipfork_direct.wait_policy import Candidates, borrow_for
from cowslipfork_direct.work import Work

#: When to come back after a refusal, in milliseconds.
RETRY_AFTER_MS: Final = 200


@dataclass(frozen=True, slots=True)
class Tried:
    """How a try ended.

    Attributes:
        outcome: what the caller is told if no other try does better.
        final: whether no other try may be made.
        endpoint: endpoint that should not be tried again; None for none.
        free: whether another try costs nothing of the retry budget.
        mark: mark of a write that was done.
    """

    outcome: DirectOutcome
    final: bool = False
    endpoint: EndpointId | None = None
    free: bool = False
    mark: Mark | None = None


class Attempt:
    """A statement on its way to one endpoint and back."""

    def __init__(
        self,
        work: Work,
        candidates: Candidates,
    ) -> None:
        """Starts before the endpoint is chosen.

        Args:
            work: the statement.
            candidates: gives the endpoints that may serve it, best first.
        """
        self._work = work
        self._group = work.service.group
        self._candidates = candidates
        self._endpoint: EndpointId | None = None

    @property
    def endpoint(self) -> EndpointId | None:
        """Endpoint that it was sent to; None before."""
        return self._endpoint

    async def run(self) -> Tried:
        """Tries the statement."""
        checkout = await borrow_for(self._work, self._candidates)
        if isinstance(checkout, QueueRejection):
            reason = (
                Reason.NO_PRIMARY if checkout.timed_out else Reason.QUEUE_FULL
            )
            retry_ms = max(checkout.retry_after_ms, RETRY_AFTER_MS)
            return Tried(NotRun(reason, retry_ms), final=True)
        if isinstance(checkout, LinkRefused):
            return _unsent(checkout.endpoint, checkout)
        with checkout:
            return await self._run_on(checkout)

    async def _run_on(self, checkout: Checkout) -> Tried:
        work = self._work
        name = checkout.endpoint.id
        minimum_mark = minimum_mark_of(work)
        # With a floor it does not matter who leads.
        leader = None if minimum_mark else self._group.leader_at(name)
        if leader is None and minimum_mark is None:
            # The primary changed while the statement waited.
            return Tried(
                NotRun(Reason.NO_PRIMARY, RETRY_AFTER_MS),
                free=True,
            )
        if leader is not None and not await self._proved_before(leader):
            return Tried(NotRun(Reason.NOT_CURRENT, RETRY_AFTER_MS), True)
        try:
            refused = await checkout.set_up(
                work.values,
                work.prepared,
                work.deadline,
            )
        except LinkLost as error:
            return _unsent(name, error)
        if refused is not None and refused.code is not ReplyCode.DONE:
            return self._not_run(name, refused)
        return await self._send(checkout, minimum_mark, leader)

    async def _send(
        self,
        checkout: Checkout,
        minimum_mark: Mark | None,
        leader: Leader | None,
    ) -> Tried:
        self._endpoint = checkout.endpoint.id
        self._work.trace.sent(
            checkout.endpoint.id,
            leader.term if leader else None,
            self._group,
            minimum_mark,
        )
        begun = boot_time()
        command = self._command(checkout, minimum_mark)
        try:
            reply = await checkout.ask(command, self._work.deadline)
        except LinkLost as error:
            return self._lost(error)
        if reply.code is ReplyCode.DONE:
            checkout.endpoint.note_duration(boot_time() - begun)
            if minimum_mark is not None:
                checkout.endpoint.note_served()
        if leader is not None:
            self._group.note_mark(leader, begun, reply.mark)
        return await self._judge(checkout.endpoint.id, reply, leader)

    def _command(
        self, checkout: Checkout, minimum_mark: Mark | None
    ) -> Run | Execute:
        work = self._work
        if work.prepared is None:
            return Run(work.statement, minimum_mark)
        name = checkout.pooled.name_of(work.prepared)
        return Execute(work.statement, name, minimum_mark)

    async def _judge(
        self,
        name: EndpointId,
        reply: EndpointReply,
        leader: Leader | None,
    ) -> Tried:
        if reply.code in NOT_RUN:
            return self._not_run(name, reply)
        writes = self._work.writes
        if reply.code is not ReplyCode.DONE:
            return Tried(Failed(reply.detail), final=writes, endpoint=name)
        if leader is not None and not await self._proved_after(leader):
            doubt = Unknown(None, detail='the primary was not proved')
            return Tried(doubt, final=writes)
        done = Done(Answer(reply.rows, reply.signature))
        return Tried(done, final=True, mark=reply.mark if writes else None)

    def _lost(self, error: LinkLost) -> Tried:
        if self._work.writes:
            return Tried(Unknown(None, detail=str(error)), final=True)
        doubt = Unknown(None, detail=str(error), reason=Reason.DEADLINE)
        return Tried(doubt, endpoint=error.endpoint)

    def _not_run(self, name: EndpointId, reply: EndpointReply) -> Tried:
        if reply.code is ReplyCode.READ_ONLY:
            self._group.forget(name)
        elif reply.code is ReplyCode.BEHIND and name in self._group.endpoints:
            self._group.endpoints[name].note_behind()
        refused = NotRun(Reason.NO_FREE_SLOT, RETRY_AFTER_MS, reply.detail)
        # An endpoint that is too busy must not be asked by everybody again.
        free = reply.code is not ReplyCode.BUSY
        return Tried(refused, endpoint=name, free=free)

    async def _proved_before(self, leader: Leader) -> bool:
        """Makes sure that the answer is likely to be worth something."""
        endpoint_monitor = self._work.service.endpoint_monitor
        endpoint_monitor.demand_proof()
        return await endpoint_monitor.proved_soon(leader, self._moment())

    async def _proved_after(self, leader: Leader) -> bool:
        """Proves that the primary was the only one when it answered."""
        endpoint_monitor = self._work.service.endpoint_monitor
        return await endpoint_monitor.proved(
            leader,
            self._moment(),
            self._work.deadline,
        )

    def _moment(self) -> float:
        """Boot time up to which the primary must have been the only one."""
        work = self._work
        if work.max_age is None:
            return boot_time()
        return work.arrived - work.max_age


def _unsent(
    endpoint: EndpointId,
    error: LinkLost | LinkRefused,
) -> Tried:
    refused = NotRun(Reason.CONNECTION_LOST, RETRY_AFTER_MS, str(error))
    return Tried(refused, endpoint=endpoint)
