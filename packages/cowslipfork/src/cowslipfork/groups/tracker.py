"""Samples the endpoints of a group and runs shared checks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from itertools import count

from expression import Error, Ok

from cowslipfork.configuration import Failover
from cowslipfork.groups._check_history import CheckHistory
from cowslipfork.groups._evidence import (
    completed_check,
    leads,
    majority_in_later_term,
    majority_mark,
    majority_of,
    required_majority_mark,
    violations,
)
from cowslipfork.groups._sampling import Listener, Sampling
from cowslipfork.groups._waiters import (
    CheckResult,
    Waiters,
    resolve,
    resolver,
    wait_for_result,
)
from cowslipfork.groups.check import (
    CheckFailure,
    CompletedCheck,
    Sample,
    Violation,
)
from cowslipfork.groups.port import (
    EndpointControl,
    EndpointRole,
    EndpointStatus,
)
from cowslipfork.groups.record import GroupRecord
from cowslipfork.ids import EndpointId, Mark, Term

CountViolation = Callable[[Violation], None]


class Tracker:
    """Latest samples of a group's endpoints, and the calls that wait for more.

    A waiter needs samples that begin after it arrived. While there are waiters
    the sampling is fast, so that waiters that arrive at about the same time
    share the next samples.
    """

    def __init__(
        self,
        record: GroupRecord,
        controls: Mapping[EndpointId, EndpointControl],
        failover: Failover,
        now: Callable[[], float],
        count_violation: CountViolation,
    ) -> None:
        """Starts without samples; ``run`` takes them.

        Args:
            record: latest record of the group that was received.
            controls: control interfaces of all endpoints of the group.
            failover: interval and time-out of the probes.
            now: returns the loop time in seconds.
            count_violation: called with each violated invariant.
        """
        self._record = record
        self._controls = controls
        self._failover = failover
        self._now = now
        self._count_violation = count_violation
        self._sampling = Sampling(controls, failover, now)
        self._ordinals = count(1)
        self._samples: dict[EndpointId, Sample] = {}
        self._silent_since: dict[EndpointId, float] = {}
        self._check_history = CheckHistory()
        self._check_waiters: Waiters[int] = Waiters()
        self._write_waiters: Waiters[int] = Waiters()
        self._majority_waiters: Waiters[Mark] = Waiters()
        self._replica_waiters: Waiters[Mark] = Waiters()
        self._record_changed = asyncio.Event()
        self._record_ordinal = 0
        self._problem_seen = asyncio.Event()
        self._mark_changed_at: dict[EndpointId, float] = {}

    @property
    def record(self) -> GroupRecord:
        """The newest record received."""
        return self._record

    @property
    def failover(self) -> Failover:
        """Interval and time-out of the probes, and times of a takeover."""
        return self._failover

    @property
    def controls(self) -> Mapping[EndpointId, EndpointControl]:
        """Control interface of each endpoint."""
        return self._controls

    @property
    def majority(self) -> int:
        """Size of the smallest majority of the group's endpoints."""
        return majority_of(len(self._controls))

    @property
    def latest_check(self) -> CompletedCheck | None:
        """The newest completed check; None before the first one."""
        return self._check_history.latest

    def adopt(self, record: GroupRecord) -> bool:
        """Applies a newer record; waiters of the term before fail.

        Returns:
            Whether the record was newer and has been applied.
        """
        if not record.supersedes(self._record):
            return False
        self._record = record
        self._record_ordinal = self._next_ordinal()
        self._fail_waiters()
        self._record_changed.set()
        self._record_changed = asyncio.Event()
        self._problem_seen.set()
        return True

    def _fail_waiters(self) -> None:
        for arrived in (self._check_waiters, self._write_waiters):
            arrived.fail(CheckFailure.STALE_TERM)
        for marked in (self._majority_waiters, self._replica_waiters):
            marked.fail(CheckFailure.STALE_TERM)

    @property
    def waiting(self) -> int:
        """Number of calls that wait for samples."""
        return self._sampling.waiting

    async def wait_until_serving(self, deadline: float) -> bool:
        """Waits until the record has a published primary.

        Args:
            deadline: loop time in seconds.

        Returns:
            Whether it has one before the deadline.
        """
        try:
            async with asyncio.timeout_at(deadline):
                while not self._record.serving:
                    await self._record_changed.wait()
        except TimeoutError:
            return False
        return True

    async def wait_for_new_record(self, seconds: float) -> None:
        """Waits for a newer record.

        Args:
            seconds: maximum wait.
        """
        await _wait_for_event(self._record_changed, seconds)

    def status(self, endpoint: EndpointId) -> EndpointStatus | None:
        """Returns an endpoint's last status, however old, or None."""
        sample = self._samples.get(endpoint)
        return None if sample is None else sample.status

    def status_since_record(
        self, endpoint: EndpointId
    ) -> EndpointStatus | None:
        """Returns an endpoint's last status if newer than the record."""
        sample = self._samples.get(endpoint)
        if sample is None or sample.ordinal < self._record_ordinal:
            return None
        return sample.status

    def silent_seconds(self, endpoint: EndpointId) -> float:
        """Returns the seconds since the first unanswered sample began.

        0 if the last sample was answered.
        """
        since = self._silent_since.get(endpoint)
        return 0 if since is None else self._now() - since

    def age(self, endpoint: EndpointId) -> float | None:
        """Returns the proved age of an endpoint's data.

        Returns:
            The age in seconds: the endpoint holds every write that was
            acknowledged longer ago. None if no age is proved.
        """
        sample = self._samples.get(endpoint)
        if sample is None:
            return None
        check = self._check_history.latest_at_or_below(sample.status.mark)
        return None if check is None else self._now() - check.begun

    def lag_seconds(self, endpoint: EndpointId) -> float | None:
        """Returns the seconds for which an endpoint has lacked a known mark.

        Returns:
            0 if it has reached the marks of all checks; None if it never
            answered.
        """
        sample = self._samples.get(endpoint)
        if sample is None:
            return None
        since = self._check_history.higher_mark_since(sample.status.mark)
        return 0 if since is None else self._now() - since

    def unchanged_seconds(self, endpoint: EndpointId) -> float:
        """Returns the seconds since an endpoint's mark last changed."""
        changed_at = self._mark_changed_at.get(endpoint)
        return 0 if changed_at is None else self._now() - changed_at

    async def wait_for_problem(self, seconds: float) -> None:
        """Waits for a sign of a problem at the primary or a newer record.

        Args:
            seconds: maximum wait.
        """
        await _wait_for_event(self._problem_seen, seconds)
        self._problem_seen.clear()

    async def check(self, term: Term, deadline: float) -> CheckResult:
        """Runs a check for a mark that covers all writes acknowledged so far.

        Args:
            term: term in which the check must complete.
            deadline: loop time in seconds.

        Returns:
            The mark; STALE_TERM if the term is over; NO_MAJORITY if no check
            was completed before the deadline.
        """
        return await self._join(self._check_waiters, term, deadline)

    async def wait_until_acknowledged(
        self,
        term: Term,
        deadline: float,
    ) -> CheckResult:
        """Waits until everything that the primary has committed is safe.

        Call it after the COMMIT was answered.

        Args:
            term: term that the write's connection is bound to.
            deadline: loop time in seconds.

        Returns:
            The mark that a majority, including the primary, holds in the term.
            It is a mark of the term itself: an entry of an earlier term may
            be lost although a majority holds it, so an entry must have been
            written in the term. After STALE_TERM or NO_MAJORITY the outcome of
            the write is unknown.
        """
        return await self._join(self._write_waiters, term, deadline)

    async def wait_for_replica(
        self, mark: Mark, deadline: float
    ) -> CheckResult:
        """Waits until a sample shows a replica at or beyond a mark.

        Returns:
            The mark that a replica has; STALE_TERM if a newer record is
            received meanwhile; NO_MAJORITY at the deadline.
        """
        waiter: asyncio.Future[CheckResult] = self._waiter()
        self._replica_waiters.join(mark, waiter)
        return await self._wait(waiter, deadline)

    async def run(self) -> None:
        """Samples every endpoint until cancelled."""
        await self._sampling.run(
            Listener(
                self._next_ordinal, self.observe, self._record_missed_sample
            ),
        )

    def _next_ordinal(self) -> int:
        return next(self._ordinals)

    def _record_missed_sample(self, endpoint: EndpointId, begun: float) -> None:
        self._silent_since.setdefault(endpoint, begun)
        if endpoint == self._record.primary:
            self._problem_seen.set()

    def observe(self, endpoint: EndpointId, sample: Sample) -> None:
        """Stores a sample and resolves the waiters that it satisfies."""
        before = self._samples.get(endpoint)
        if before is not None and before.ordinal > sample.ordinal:
            return
        for violation in violations(endpoint, sample.status, self._samples):
            self._count_violation(violation)
        self._silent_since.pop(endpoint, None)
        if before is None or before.status.mark != sample.status.mark:
            self._mark_changed_at[endpoint] = sample.begun
        self._samples[endpoint] = sample
        if endpoint == self._record.primary and self._has_problem(
            sample.status
        ):
            self._problem_seen.set()
        if sample.status.role is EndpointRole.REPLICA:
            mark = sample.status.mark
            self._replica_waiters.pop_up_to(mark, resolver(mark))
        primary = self._samples.get(self._record.primary)
        if self._record.serving and primary is not None:
            self._resolve(primary)

    def _has_problem(self, status: EndpointStatus) -> bool:
        return status.leaving or not leads(status, self._record.term)

    def _resolve(self, primary: Sample) -> None:
        term = self._record.term
        samples = self._samples.values()
        endpoints = len(self._controls)
        if majority_in_later_term(term, samples, endpoints):
            self._fail_waiters()
        check = completed_check(term, primary, samples, endpoints)
        if check is not None and self._check_history.add(check):
            required_mark = required_majority_mark(term, check.mark)
            self._check_waiters.pop_up_to(check.ordinal, resolver(check.mark))
            self._write_waiters.pop_up_to(
                check.ordinal,
                lambda waiter: self._majority_waiters.join(
                    required_mark, waiter
                ),
            )
        majority_held = majority_mark(term, primary, samples, endpoints)
        if majority_held is not None:
            self._majority_waiters.pop_up_to(
                majority_held, self._acknowledge(majority_held)
            )

    def _acknowledge(
        self,
        mark: Mark,
    ) -> Callable[[asyncio.Future[CheckResult]], None]:
        def acknowledge(waiter: asyncio.Future[CheckResult]) -> None:
            samples = self._samples.values()
            if majority_in_later_term(
                self._record.term, samples, len(self._controls)
            ):
                self._count_violation(Violation.STALE_ACKNOWLEDGEMENT)
            resolve(waiter, Ok(mark))

        return acknowledge

    def _waiter(self) -> asyncio.Future[CheckResult]:
        return asyncio.get_running_loop().create_future()

    async def _join(
        self,
        waiters: Waiters[int],
        term: Term,
        deadline: float,
    ) -> CheckResult:
        if term != self._record.term or not self._record.serving:
            return Error(CheckFailure.STALE_TERM)
        waiter = self._waiter()
        waiters.join(self._next_ordinal(), waiter)
        return await self._wait(waiter, deadline)

    async def _wait(
        self,
        waiter: asyncio.Future[CheckResult],
        deadline: float,
    ) -> CheckResult:
        with self._sampling.demand():
            return await wait_for_result(waiter, deadline)


async def _wait_for_event(event: asyncio.Event, seconds: float) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()
