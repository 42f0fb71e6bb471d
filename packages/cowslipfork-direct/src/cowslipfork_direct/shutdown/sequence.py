"""Carries out a shutdown: serves what comes until nothing is left."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from cowslipfork_direct.connected_caller import (
    CallerActivity,
    ConnectedCaller,
)
from cowslipfork_direct.connected_callers import ConnectedCallers
from cowslipfork_direct.shutdown.decision import (
    ShutdownStep,
    Workload,
    next_step,
)
from cowslipfork_direct.shutdown.schedule import ShutdownSchedule

log = logging.getLogger(__name__)

#: Seconds between two looks at the work that is left.
POLL_INTERVAL: Final = 0.05

#: Detail of the refusal after a transaction that was rolled back.
ROLLBACK_CAUSE: Final = 'the node is shutting down'


class Shutdown:
    """Serves callers and other nodes until the process may end."""

    def __init__(
        self,
        schedule: ShutdownSchedule,
        callers: ConnectedCallers,
        forwarded: Callable[[], int],
        stop_accepting: Callable[[], None],
    ) -> None:
        """Prepares without doing anything; ``run`` serves.

        Args:
            schedule: times of the shutdown.
            callers: callers of this node; new ones may still be added.
            forwarded: returns how many statements and transactions of other
                nodes are open here.
            stop_accepting: closes the socket on which callers connect, after
                it has accepted those who have connected already.
        """
        self._schedule = schedule
        self._callers = callers
        self._forwarded = forwarded
        self._stop_accepting = stop_accepting
        self._accepting = True
        self._rollbacks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serves until nothing is left or the time is over."""
        loop = asyncio.get_running_loop()
        self._callers.limit_answers(self._schedule.abandon_at)
        while True:
            workload = self._workload()
            step = next_step(self._schedule, workload, loop.time())
            self._take(step, workload)
            if step.end:
                break
            await asyncio.sleep(POLL_INTERVAL)
        for rollback in self._rollbacks:
            rollback.cancel()

    def _workload(self) -> Workload:
        counts = self._callers.count_by_activity()
        return Workload(
            accepting=self._accepting,
            starting=counts[CallerActivity.STARTING],
            requests=counts[CallerActivity.REQUEST],
            transactions=counts[CallerActivity.TRANSACTION],
            idle=counts[CallerActivity.IDLE],
            forwarded=self._forwarded(),
            last_accepted_at=self._callers.last_accepted_at,
        )

    def _take(self, step: ShutdownStep, workload: Workload) -> None:
        callers = tuple(self._callers.connected)
        if step.roll_back:
            self._roll_back_idle(callers)
        if step.close_idle:
            _close_quiet(callers)
        if step.stop_accepting:
            self._accepting = False
            self._stop_accepting()
            log.info('accepting_ended', extra=_log_fields(workload))
        if step.end:
            self._log_end(workload)

    def _roll_back_idle(self, callers: tuple[ConnectedCaller, ...]) -> None:
        """Rolls back idle transactions without waiting for their endpoints."""
        for caller in callers:
            if caller.activity is CallerActivity.TRANSACTION:
                rollback = asyncio.create_task(
                    caller.abort_transaction(ROLLBACK_CAUSE)
                )
                self._rollbacks.add(rollback)
                rollback.add_done_callback(self._on_rolled_back)

    def _on_rolled_back(self, rollback: asyncio.Task[None]) -> None:
        self._rollbacks.discard(rollback)
        if not rollback.cancelled() and rollback.exception() is not None:
            cause = repr(rollback.exception())
            log.error('rollback_failed', extra={'cause': cause})

    def _log_end(self, workload: Workload) -> None:
        cut = workload.starting or workload.requests or workload.transactions
        log.log(
            logging.WARNING if cut else logging.INFO,
            'drained',
            extra=_log_fields(workload),
        )


def _close_quiet(callers: tuple[ConnectedCaller, ...]) -> None:
    """Closes connections on which no request is served or expected."""
    for caller in callers:
        if caller.quiet:
            caller.close()


def _log_fields(workload: Workload) -> dict[str, int]:
    return {
        'starting': workload.starting,
        'requests': workload.requests,
        'transactions': workload.transactions,
        'idle': workload.idle,
        'forwarded': workload.forwarded,
    }
