"""Serves statements outside of transactions, by as many tries as it takes.

A write is tried again only while it is proved not to have run. A read that
takes longer than its endpoint usually does is sent to another one as well, and
the first answer counts; the slower one is awaited in the background, so that
no endpoint is broken off at work.
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
from cowslipfork_direct.answers import DirectOutcome, detail_of, name_of
from cowslipfork_direct.attempt import RETRY_AFTER_MS, Attempt, Tried
from cowslipfork_direct.reading import leader_only, minimum_mark_of, readers
from cowslipfork_direct.wait_policy import in_time
from cowslipfork_direct.work import Work

log = logging.getLogger(__name__)

#: Seconds before the same endpoints are tried again, at first; the pause
#: doubles so many times.
FIRST_RETRY_PAUSE: Final = 0.02
MOST_DOUBLINGS: Final = 3

#: Seconds between two looks whether a read has found a connection.
UNSENT_LOOK: Final = 0.1

#: Tries of one read that may be under way at once.
MOST_AT_ONCE: Final = 3

_background: set[asyncio.Task[Tried]] = set()


class Single:
    """One statement on its way through tries at several endpoints."""

    def __init__(self, work: Work) -> None:
        """Starts before the first try.

        Args:
            work: the statement.
        """
        self._work = work
        self._group = work.service.group
        self._avoided: set[EndpointId] = set()
        self._running: dict[asyncio.Task[Tried], Attempt] = {}
        self._mark: Mark | None = None
        self._pauses = retry_pauses()
        self._last: DirectOutcome = NotRun(Reason.NO_PRIMARY, RETRY_AFTER_MS)

    @property
    def mark(self) -> Mark | None:
        """Mark of the write that was done; None for a read."""
        return self._mark

    async def serve(self) -> DirectOutcome:
        """Serves the statement.

        Returns:
            Its outcome, by its deadline.
        """
        work = self._work
        work.service.budget.record_first_try()
        if work.max_age is not None:
            work.service.endpoint_monitor.demand_sample(work.max_age)
        try:
            return await self._serve()
        finally:
            self._leave_running()

    async def _serve(self) -> DirectOutcome:
        self._start()
        while self._running:
            done, _ = await asyncio.wait(
                self._running,
                timeout=self._patience(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                self._running.pop(task)
                tried = task.result()
                if tried.final:
                    self._mark = tried.mark
                    return tried.outcome
                self._log_try(tried)
                await self._note(tried)
            if not done:
                self._hedge()
        return self._last

    def _start(self) -> None:
        attempt = Attempt(self._work, self._candidates)
        task = asyncio.create_task(attempt.run())
        self._running[task] = attempt

    async def _note(self, tried: Tried) -> None:
        """Takes a failed try in and starts another one if that may help."""
        if tried.endpoint is not None:
            self._avoided.add(tried.endpoint)
        if not isinstance(self._last, Done):
            self._last = tried.outcome
        if self._running or not in_time(self._work):
            return
        if not any(self._candidates()):
            self._avoided.clear()
            await asyncio.sleep(next(self._pauses))
            if not in_time(self._work):
                return
        if tried.free or self._work.service.budget.try_spend():
            self._start()

    def _log_try(self, tried: Tried) -> None:
        """Writes down a try that another one has to make good."""
        work = self._work
        ended = name_of(tried.outcome)
        work.service.metrics.count_try(ended)
        log.info(
            'try_failed',
            extra={
                'id': work.statement.id,
                'group': self._group.name,
                'ended': ended,
                'detail': detail_of(tried.outcome),
                **work.trace.fields(),
            },
        )

    def _hedge(self) -> None:
        """Sends a slow read to another endpoint as well."""
        sent = {attempt.endpoint for attempt in self._running.values()}
        if (
            None not in sent
            and len(self._running) < MOST_AT_ONCE
            and in_time(self._work)
            and self._work.service.budget.try_spend()
        ):
            self._note_slow(sent)
            self._work.service.metrics.count_try('hedged')
            log.info(
                'read_hedged',
                extra={
                    'id': self._work.statement.id,
                    **self._work.trace.fields(),
                },
            )
            if not any(self._candidates()):
                self._avoided.clear()
            self._start()

    def _note_slow(self, sent: Collection[EndpointId | None]) -> None:
        for name, endpoint in self._group.endpoints.items():
            if name in sent:
                self._avoided.add(name)
                endpoint.health.record_slow()

    def _patience(self) -> float | None:
        """Seconds after which a read is sent elsewhere; None for a write."""
        if self._work.writes or len(self._running) >= MOST_AT_ONCE:
            return None
        sent = {attempt.endpoint for attempt in self._running.values()}
        return min(
            (
                endpoint.slow_threshold
                for name, endpoint in self._group.endpoints.items()
                if name in sent
            ),
            default=UNSENT_LOOK,
        )

    def _candidates(self) -> Iterable[EndpointId]:
        work = self._work
        minimum_mark = minimum_mark_of(work)
        if minimum_mark is None:
            return leader_only(self._group, self._avoided)
        return readers(
            self._group, work.service.here, self._avoided, minimum_mark
        )

    def _leave_running(self) -> None:
        """Lets tries that were sent end in the background."""
        for task, attempt in self._running.items():
            if attempt.endpoint is None:
                task.cancel()
            else:
                _background.add(task)
                task.add_done_callback(_end_in_background)


def retry_pauses() -> Iterator[float]:
    """Yields pauses before the same endpoints are tried again, in seconds."""
    for doublings in itertools.count():
        pause = FIRST_RETRY_PAUSE * 2 ** min(doublings, MOST_DOUBLINGS)
        yield random.uniform(pause / 2, pause)


def _end_in_background(task: asyncio.Task[Tried]) -> None:
    _background.discard(task)
    if not task.cancelled() and task.exception() is not None:
        log.error('try_failed', extra={'cause': str(task.exception())})
