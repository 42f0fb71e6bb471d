"""Serves statements outside of transactions, with retries and hedged reads.

A write is retried only if it certainly has not run. A read that takes longer
than its endpoint usually does is hedged: it is sent to another endpoint as
well, and the first answer is used. The slower one is awaited in the background,
so that no endpoint is interrupted while it executes a statement.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
from collections.abc import Collection, Iterable, Iterator
from typing import Final

from cowslipfork.ids import EndpointId, Mark
from cowslipfork.outcomes import Done, NotRun, Reason
from cowslipfork_direct.answers import (
    DirectOutcome,
    outcome_detail,
    outcome_name,
)
from cowslipfork_direct.attempt import RETRY_AFTER_MS, Attempt, TryResult
from cowslipfork_direct.reading import (
    minimum_mark_of,
    primary_candidate,
    read_candidates,
)
from cowslipfork_direct.wait_policy import has_time_to_send
from cowslipfork_direct.work import ServedStatement

log = logging.getLogger(__name__)

#: First delay in seconds before the same endpoints are tried again, and how
#: many times the delay doubles.
FIRST_RETRY_DELAY: Final = 0.02
MAX_DOUBLINGS: Final = 3

#: Seconds between two checks whether a read has been sent yet.
UNSENT_POLL_INTERVAL: Final = 0.1

#: Most concurrent tries of one read.
MAX_CONCURRENT_TRIES: Final = 3

_background: set[asyncio.Task[TryResult]] = set()


class SingleStatement:
    """Serves one statement, with tries at one or more endpoints."""

    def __init__(self, served: ServedStatement) -> None:
        """Starts without a try; ``serve`` makes the first one.

        Args:
            served: the statement.
        """
        self._served = served
        self._group = served.service.group
        self._avoided: set[EndpointId] = set()
        self._running: dict[asyncio.Task[TryResult], Attempt] = {}
        self._mark: Mark | None = None
        self._retry_delays = retry_delays()
        self._last: DirectOutcome = NotRun(Reason.NO_PRIMARY, RETRY_AFTER_MS)

    @property
    def mark(self) -> Mark | None:
        """Mark of the completed write; None for a read."""
        return self._mark

    async def serve(self) -> DirectOutcome:
        """Serves the statement.

        Returns:
            Its outcome, no later than the statement's deadline.
        """
        served = self._served
        served.service.budget.record_first_try()
        if served.max_age is not None:
            served.service.endpoint_monitor.request_sample(served.max_age)
        try:
            return await self._serve()
        finally:
            self._detach_running()

    async def _serve(self) -> DirectOutcome:
        self._start()
        while self._running:
            done, _ = await asyncio.wait(
                self._running,
                timeout=self._hedge_delay(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                self._running.pop(task)
                result = task.result()
                if result.final:
                    self._mark = result.mark
                    return result.outcome
                self._log_try(result)
                await self._handle_failure(result)
            if not done:
                self._hedge()
        return self._last

    def _start(self) -> None:
        attempt = Attempt(self._served, self._candidates)
        task = asyncio.create_task(attempt.run())
        self._running[task] = attempt

    async def _handle_failure(self, result: TryResult) -> None:
        """Records a failed try and starts the next one if that may help."""
        if result.endpoint is not None:
            self._avoided.add(result.endpoint)
        if not isinstance(self._last, Done):
            self._last = result.outcome
        if self._running or not has_time_to_send(self._served):
            return
        if not any(self._candidates()):
            self._avoided.clear()
            await asyncio.sleep(next(self._retry_delays))
            if not has_time_to_send(self._served):
                return
        if result.budget_exempt or self._served.service.budget.try_spend():
            self._start()

    def _log_try(self, result: TryResult) -> None:
        """Logs and counts a try that failed without a final outcome."""
        served = self._served
        ended = outcome_name(result.outcome)
        served.service.metrics.count_try(ended)
        log.info(
            'try_failed',
            extra={
                'id': served.statement.id,
                'group': self._group.name,
                'ended': ended,
                'detail': outcome_detail(result.outcome),
                **served.trace.log_fields(),
            },
        )

    def _hedge(self) -> None:
        """Sends a slow read to another endpoint as well, within limits."""
        sent = {attempt.endpoint for attempt in self._running.values()}
        if (
            None not in sent
            and len(self._running) < MAX_CONCURRENT_TRIES
            and has_time_to_send(self._served)
            and self._served.service.budget.try_spend()
        ):
            self._record_slow(sent)
            self._served.service.metrics.count_try('hedged')
            log.info(
                'read_hedged',
                extra={
                    'id': self._served.statement.id,
                    **self._served.trace.log_fields(),
                },
            )
            if not any(self._candidates()):
                self._avoided.clear()
            self._start()

    def _record_slow(self, sent: Collection[EndpointId | None]) -> None:
        for name, endpoint in self._group.endpoints.items():
            if name in sent:
                self._avoided.add(name)
                endpoint.health.record_slow()

    def _hedge_delay(self) -> float | None:
        """Seconds after which a read is hedged.

        None for a write, and when no more tries may run at once.
        """
        if self._served.writes or len(self._running) >= MAX_CONCURRENT_TRIES:
            return None
        sent = {attempt.endpoint for attempt in self._running.values()}
        return min(
            (
                endpoint.slow_threshold
                for name, endpoint in self._group.endpoints.items()
                if name in sent
            ),
            default=UNSENT_POLL_INTERVAL,
        )

    def _candidates(self) -> Iterable[EndpointId]:
        served = self._served
        minimum_mark = minimum_mark_of(served)
        if minimum_mark is None:
            return primary_candidate(self._group, self._avoided)
        return read_candidates(
            self._group,
            served.service.failure_domain,
            self._avoided,
            minimum_mark,
            served.workspace,
        )

    def _detach_running(self) -> None:
        """Leaves tries that were sent to the background, cancels others."""
        for task, attempt in self._running.items():
            if attempt.endpoint is None:
                task.cancel()
            else:
                _background.add(task)
                task.add_done_callback(_finish_in_background)


def retry_delays() -> Iterator[float]:
    """Yields delays in seconds before the same endpoints are tried again.

    They grow exponentially up to a limit and are randomised.
    """
    for doublings in itertools.count():
        delay = FIRST_RETRY_DELAY * 2 ** min(doublings, MAX_DOUBLINGS)
        yield random.uniform(delay / 2, delay)


def _finish_in_background(task: asyncio.Task[TryResult]) -> None:
    _background.discard(task)
    if not task.cancelled() and task.exception() is not None:
        log.error('try_failed', extra={'cause': str(task.exception())})
