"""Admits operations of workspaces with rate limits at their entry node.

Answers these load patterns: many operations of one workspace in one iteration
of the event loop, which share one message, and a workspace that sends many
times its rate, whose operations are refused here until the limiter has another
token.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from cowslipfork.ids import VmId, WorkspaceName
from cowslipfork.limits.rate_limit import spread_retry
from cowslipfork.outcomes import NotRun
from cowslipfork_direct.peers import PeerClient, PeerError
from cowslipfork_direct.rate_limits.fallback import Fallback
from cowslipfork_direct.rate_limits.limiter import Limiter
from cowslipfork_direct.rate_limits.limits import LimitInForce
from cowslipfork_direct.rate_limits.messages import (
    Acquire,
    Acquired,
    Granted,
    NotLimiter,
)
from cowslipfork_direct.rate_limits.refusals import (
    Refusal,
    Refusals,
    RefusedBy,
)
from cowslipfork_direct.rate_limits.reporter import FleetView, Reporter
from cowslipfork_direct.rate_limits.votes import REPORT_INTERVAL
from cowslipfork_direct.routes import RateLimit

#: Seconds within which the limiter must answer.
ACQUIRE_TIMEOUT: Final = 0.15

#: Seconds for which operations wait for a new limiter, and seconds after the
#: start of this process, or the last limiter's answer, within which there is
#: likely to be one: most operations are then answered within their goal.
LIMITER_WAIT: Final = 0.4
LIMITER_EXPECTED: Final = 3.0

#: Seconds between two rounds of asking all candidates.
ASK_AGAIN_AFTER: Final = 0.1

#: Seconds after the start of a process in which it reports more often, and the
#: interval of these reports, so that a fleet that starts at once soon has
#: limiters.
START_PERIOD: Final = 2.0
START_INTERVAL: Final = 0.1

#: Greatest number of seconds after which a caller that was refused without a
#: limiter should retry: by then there is usually a new one.
FALLBACK_RETRY: Final = 1.5

#: Milliseconds in a second.
_MS: Final = 1000

#: An operation that waits for the limiter's answer.
_Waiter = asyncio.Future[NotRun | None]


@dataclass(slots=True)
class _Demand:
    """What an entry node keeps of one workspace.

    Attributes:
        waiters: operations of this iteration of the event loop.
        no_token_until: time before which the limiter has no token.
        no_token_limit: limit for which it said that.
        last_retry_at: time at which the last rejected caller should retry.
        refused: operations refused here since the last message.
        returned: granted operations that did not run.
        returned_since: time at which the first of those was admitted.
        fallback: this node's own bucket.
    """

    waiters: list[_Waiter] = field(default_factory=list)
    no_token_until: float = 0
    no_token_limit: RateLimit | None = None
    last_retry_at: float = 0
    refused: int = 0
    returned: int = 0
    returned_since: float = math.inf
    fallback: Fallback = field(default_factory=Fallback)

    def take_message(
        self,
        workspace: WorkspaceName,
        operations: int,
        limit: LimitInForce,
        now: float,
    ) -> Acquire:
        """Builds a message; what it tells is not told again."""
        age = now - self.returned_since if self.returned else 0
        message = Acquire(
            workspace,
            operations,
            limit.limit,
            limit.revision,
            self.refused,
            self.returned,
            math.ceil(age * _MS),
        )
        self.refused = 0
        self.returned = 0
        self.returned_since = math.inf
        return message


class RateLimits:
    """Rate limits of workspaces as applied by one entry node."""

    def __init__(
        self,
        fleet: FleetView,
        peers: PeerClient,
        limiter: Limiter,
        limit_of: Callable[[WorkspaceName], LimitInForce],
        workspaces: Callable[[], Iterable[WorkspaceName]],
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Starts without a limiter; ``run`` finds it.

        Args:
            fleet: what the node knows of the fleet.
            peers: requests to other nodes.
            limiter: limiter of this node, for workspaces that it holds.
            limit_of: returns the limit of a workspace in the configuration.
            workspaces: returns all workspaces of it.
            draw: returns random numbers from 0 to 1, which spread the callers
                of rejected operations.
        """
        self._fleet = fleet
        self._peers = peers
        self._limiter = limiter
        self._limit_of = limit_of
        self._workspaces = workspaces
        self._draw = draw
        self._reporter = Reporter(fleet, peers, limiter)
        self._demands: dict[WorkspaceName, _Demand] = {}
        self._fell_back = False
        self._answered_at = fleet.now()
        self._tasks: set[asyncio.Task[None]] = set()
        self._refusals = Refusals()

    @property
    def refusals(self) -> Refusals:
        """Counts of refused operations."""
        return self._refusals

    async def admit(self, workspace: WorkspaceName) -> NotRun | None:
        """Waits until an operation may run.

        The wait is ``ACQUIRE_TIMEOUT`` at most, and ``LIMITER_WAIT`` more while
        a new limiter is due.

        Args:
            workspace: workspace of the operation.

        Returns:
            None if it may run; otherwise the refusal, which says when to retry.
        """
        limit = self._limit_of(workspace)
        if limit.limit is None:
            return None
        demand = self._demands.setdefault(workspace, _Demand())
        now = self._fleet.now()
        unchanged = limit.limit == demand.no_token_limit
        if unchanged and now < demand.no_token_until:
            demand.refused += 1
            return self._refuse(workspace, limit, demand)
        waiter: _Waiter = asyncio.get_running_loop().create_future()
        demand.waiters.append(waiter)
        if len(demand.waiters) == 1:
            waiter.get_loop().call_soon(self._flush, workspace, demand)
        return await waiter

    def give_back(self, workspace: WorkspaceName, admitted_at: float) -> None:
        """Returns the token of an admitted operation that did not run.

        Args:
            workspace: workspace of the operation.
            admitted_at: time at which ``admit`` returned, on the clock of the
                fleet's view.
        """
        demand = self._demands.get(workspace)
        if demand is None:
            return
        granted_here = demand.fallback.granted_at
        if granted_here is not None and admitted_at <= granted_here:
            # The limiter may not have granted it.
            return
        demand.returned += 1
        demand.returned_since = min(demand.returned_since, admitted_at)

    def refresh(self) -> None:
        """Chooses the limiters again; call it when the fleet has changed."""
        self._reporter.refresh()

    async def run(self) -> None:
        """Reports to the candidates until cancelled.

        A configuration without workspaces causes no messages.
        """
        started = self._fleet.now()
        while True:
            reports = [self.report()] if any(self._workspaces()) else []
            starting = self._fleet.now() < started + START_PERIOD
            interval = START_INTERVAL if starting else REPORT_INTERVAL
            await asyncio.gather(*reports, asyncio.sleep(interval))

    async def report(self) -> None:
        """Reports to the candidates once."""
        self._forget_workspaces()
        now = self._fleet.now()
        falls_back = self._fell_back or any(
            demand.fallback.in_use(now) for demand in self._demands.values()
        )
        self._fell_back = False
        await self._reporter.report(falls_back=falls_back)

    def _flush(self, workspace: WorkspaceName, demand: _Demand) -> None:
        """Decides on all operations of one iteration of the event loop."""
        waiters = [waiter for waiter in demand.waiters if not waiter.done()]
        demand.waiters.clear()
        if not waiters:
            return
        limit = self._limit_of(workspace)
        message = demand.take_message(
            workspace, len(waiters), limit, self._fleet.now()
        )
        limiters = self._reporter.limiters_of(workspace)
        if limiters and limiters[0] == self._fleet.node:
            answer = self._limiter.acquire(message)
            if isinstance(answer, Granted):
                self._answered_at = self._fleet.now()
                self._settle(message, waiters, answer)
                return
        task = asyncio.create_task(self._ask(message, waiters))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, message: Acquire, waiters: Sequence[_Waiter]) -> None:
        """Asks the candidates for tokens, again while a new limiter is due."""
        begun = self._fleet.now()
        answer: Granted | NotLimiter = NotLimiter()
        try:
            answer = await self._ask_each(message)
            while isinstance(answer, NotLimiter) and self._may_ask_again(begun):
                await asyncio.sleep(ASK_AGAIN_AFTER)
                answer = await self._ask_each(message)
        finally:
            # Whatever happens, no operation waits forever.
            self._settle(message, waiters, answer)

    async def _ask_each(self, message: Acquire) -> Granted | NotLimiter:
        """Asks the candidates in turn, ``ACQUIRE_TIMEOUT`` in all."""
        until = self._fleet.now() + ACQUIRE_TIMEOUT
        for limiter in self._reporter.limiters_of(message.workspace):
            answer = await self._acquire(limiter, message, until)
            if isinstance(answer, Granted):
                self._answered_at = self._fleet.now()
                return answer
        return NotLimiter()

    async def _acquire(
        self, limiter: VmId, message: Acquire, until: float
    ) -> Granted | NotLimiter:
        if limiter == self._fleet.node:
            return self._limiter.acquire(message)
        left = until - self._fleet.now()
        if left <= 0:
            return NotLimiter()
        try:
            reply = await self._peers.request(limiter, message, Acquired, left)
        except PeerError:
            self._reporter.refresh()
            return NotLimiter()
        return reply.answer

    def _may_ask_again(self, begun: float) -> bool:
        """Returns whether a limiter is likely to answer soon.

        Args:
            begun: time at which the operations began to wait.
        """
        now = self._fleet.now()
        expected = now < self._answered_at + LIMITER_EXPECTED
        return expected and now < begun + LIMITER_WAIT

    def _settle(
        self,
        message: Acquire,
        waiters: Sequence[_Waiter],
        reply: Granted | NotLimiter,
    ) -> None:
        """Tells the operations of a message whether they may run."""
        demand = self._demands.setdefault(message.workspace, _Demand())
        limit = LimitInForce(message.limit, message.revision)
        if isinstance(reply, Granted):
            demand.fallback.stop()
            self._note_next_token(demand, reply, limit.limit)
            granted = reply.operations
            refuse = self._refuse
        else:
            granted = self._fall_back(limit, len(waiters), demand)
            refuse = self._refuse_by_fallback
        now = self._fleet.now()
        for number, waiter in enumerate(waiters):
            if waiter.done() and number < granted:
                self.give_back(message.workspace, now)
            elif not waiter.done():
                waiter.set_result(
                    None
                    if number < granted
                    else refuse(message.workspace, limit, demand)
                )

    def _note_next_token(
        self, demand: _Demand, granted: Granted, limit: RateLimit | None
    ) -> None:
        if granted.token_after_ms:
            now = self._fleet.now()
            demand.no_token_until = now + granted.token_after_ms / _MS
            demand.no_token_limit = limit
            demand.last_retry_at = now + granted.last_retry_ms / _MS

    def _fall_back(
        self, limit: LimitInForce, operations: int, demand: _Demand
    ) -> int:
        """Grants operations without the limiter; returns their number."""
        if limit.limit is None:
            return operations
        self._fell_back = True
        granted = demand.fallback.take(
            limit.limit,
            self._fleet.registered(),
            operations,
            self._fleet.now(),
        )
        self._refusals.count_fallback_grants(granted)
        return granted

    def _refuse(
        self, workspace: WorkspaceName, limit: LimitInForce, demand: _Demand
    ) -> NotRun:
        now = self._fleet.now()
        wait = demand.no_token_until - now
        last = demand.last_retry_at - now
        return self._refusals.refuse(
            Refusal(workspace, limit, RefusedBy.LIMITER),
            spread_retry(wait, last, self._draw()),
        )

    def _refuse_by_fallback(
        self, workspace: WorkspaceName, limit: LimitInForce, demand: _Demand
    ) -> NotRun:
        wait = demand.fallback.seconds_to_token(self._fleet.now())
        last = max(wait, FALLBACK_RETRY)
        return self._refusals.refuse(
            Refusal(workspace, limit, RefusedBy.FALLBACK),
            spread_retry(min(wait, FALLBACK_RETRY), last, self._draw()),
        )

    def _forget_workspaces(self) -> None:
        """Forgets workspaces that the configuration no longer has."""
        configured = set(self._workspaces())
        self._demands = {
            workspace: demand
            for workspace, demand in self._demands.items()
            if demand.waiters or workspace in configured
        }
