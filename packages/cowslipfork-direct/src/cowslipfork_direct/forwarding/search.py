"""Tries the nodes that may execute a statement, one after the other."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from cowslipfork.ids import VmId
from cowslipfork_direct.answers import outcome_detail, outcome_name
from cowslipfork_direct.execution import Executed
from cowslipfork_direct.forwarding.context import Forwarding, described
from cowslipfork_direct.forwarding.decisions import (
    MIN_TIME_TO_FORWARD,
    FailedTry,
    Failure,
    Work,
    declined,
    final_outcome,
    may_try_next,
    next_node,
)
from cowslipfork_direct.forwarding.encoding import executed_of
from cowslipfork_direct.forwarding.messages import Ran
from cowslipfork_direct.peers import PeerError, PeerNotReached
from cowslipfork_direct.statements import Verb
from cowslipfork_direct.work import StatementRequest

log = logging.getLogger(__name__)

#: Executes a statement at a node.
Attempt = Callable[[VmId], Awaitable[Executed | FailedTry]]

#: Sends a request with a time limit in seconds and returns the reply.
Send = Callable[[float], Awaitable[Ran]]


class CarrierSearch:
    """The tries of one statement."""

    def __init__(
        self, forwarding: Forwarding, request: StatementRequest, work: Work
    ) -> None:
        """Starts without a try.

        Args:
            forwarding: what it uses of the node.
            request: the statement.
            work: what the statement does.
        """
        self._forwarding = forwarding
        self._request = request
        self._work = work
        self._tried: list[VmId] = []
        self._last = FailedTry(Failure.NOT_REACHED, 'no carrier')

    @property
    def _has_time(self) -> bool:
        """Whether there is time to send the statement to another node."""
        now = asyncio.get_running_loop().time()
        return now < self._request.deadline - MIN_TIME_TO_FORWARD

    @property
    def _forward_tries(self) -> int:
        """Number of other nodes that were tried."""
        entry = self._forwarding.entry
        return sum(node != entry for node in self._tried)

    async def run(self, attempt: Attempt, only: VmId | None = None) -> Executed:
        """Tries nodes until one executes the statement or none may.

        Args:
            attempt: executes the statement at a node.
            only: node at which the statement must be executed, also if that
                node is leaving; None for the best one.

        Returns:
            The result, with the details of the search for the log.
        """
        node = self._next_node() if only is None else only
        while node is not None:
            self._tried.append(node)
            result = await attempt(node)
            if isinstance(result, Executed):
                return self._finish(result)
            self._last = result
            if not may_try_next(self._work, result.failure):
                break
            node = self._next_node() if self._has_time else None
        commits = self._request.statement.verb is Verb.COMMIT
        outcome = final_outcome(self._work, commits, self._last)
        lost = self._last.failure is Failure.LOST
        return self._finish(Executed(outcome, may_have_run=lost))

    async def ask(self, node: VmId, send: Send) -> Executed | FailedTry:
        """Sends the statement to another node and waits for its result.

        Args:
            node: the node.
            send: sends the request.
        """
        now = asyncio.get_running_loop().time()
        result = await _reply(send, max(0, self._request.deadline - now))
        metrics = self._forwarding.metrics
        if isinstance(result, Executed):
            metrics.count_forwarded(outcome_name(result.outcome))
            return result
        metrics.count_forwarded(result.failure.value)
        log.info(
            'carrier_lost',
            extra={
                'id': self._request.statement.id,
                'group': self._request.route.group,
                'carrier': node,
                'work': self._work.value,
                'failure': result.failure.value,
                'cause': result.detail,
            },
        )
        return result

    def _next_node(self) -> VmId | None:
        forwarding = self._forwarding
        request = self._request
        order = forwarding.table.try_order(
            request.route.group, request.workspace
        )
        return next_node(
            order, forwarding.entry, self._tried, forwarding.peers.available
        )

    def _finish(self, executed: Executed) -> Executed:
        node = self._tried[-1] if self._tried else self._forwarding.entry
        return described(executed, self._request, node, self._forward_tries)


async def _reply(send: Send, timeout: float) -> Executed | FailedTry:
    try:
        executed = executed_of(await send(timeout))
    except PeerNotReached as error:
        return FailedTry(Failure.NOT_REACHED, str(error))
    except PeerError as error:
        failure = Failure.LOST if error.may_have_run else Failure.DECLINED
        return FailedTry(failure, str(error))
    if declined(executed.outcome):
        return FailedTry(Failure.DECLINED, outcome_detail(executed.outcome))
    return executed
