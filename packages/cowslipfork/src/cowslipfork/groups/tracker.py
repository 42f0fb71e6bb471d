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
    majority_mark,
    majority_of,
    replaced,
    required_majority_mark,
    violations,
)
from cowslipfork.groups._sampling import Listener, Sampling
from cowslipfork.groups._waiters import (
    Found,
    Waiters,
    settle,
    settled,
    settler,
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

Count = Callable[[Violation], None]


class Tracker:
    """What is known of a group's endpoints, and who waits to know more.

    A waiter needs samples begun after it arrived. While there are waiters the
    sampling is fast, so that all waiters of a moment share the next samples.
    """

    def __init__(
        self,
        record: GroupRecord,
        controls: Mapping[EndpointId, EndpointControl],
        failover: Failover,
        now: Callable[[], float],
        count_violation: Count,
    ) -> None:
        """Tracks nothing until ``run``.

        Args:
            record: the group's record as last heard.
            controls: all endpoints of the group.
            failover: times of the sampling.
            now: the loop's clock in seconds.
            count_violation: counts broken invariants.
        """
        self._record = record
        self._controls = controls
        self._failover = failover
        self._now = now
        self._count = count_violation
        self._sampling = Sampling(controls, failover, now)
        self._ordinals = count(1)
        self._samples: dict[EndpointId, Sample] = {}
        self._silent_since: dict[EndpointId, float] = {}
        self._check_history = CheckHistory()
        self._checks: Waiters[int] = Waiters()
        self._writes: Waiters[int] = Waiters()
        self._unheld: Waiters[Mark] = Waiters()
        self._readers: Waiters[Mark] = Waiters()
        self._adopted = asyncio.Event()
        self._adopted_at = 0
        self._alarm = asyncio.Event()
        self._moved_at: dict[EndpointId, float] = {}

    @property
    def record(self) -> GroupRecord:
        """The newest record heard."""
        return self._record

    @property
    def failover(self) -> Failover:
        """Times of the sampling."""
        return self._failover

    @property
    def controls(self) -> Mapping[EndpointId, EndpointControl]:
        """Group statements of each endpoint."""
        return self._controls

    @property
    def majority(self) -> int:
        """Smallest majority of the group's endpoints."""
        return majority_of(len(self._controls))

    @property
    def latest_check(self) -> CompletedCheck | None:
        """The newest completed check."""
        return self._check_history.latest

    def adopt(self, record: GroupRecord) -> bool:
        """Takes a newer record over; waiters of the term before fail.

        Returns:
            Whether the record was newer.
        """
        if not record.supersedes(self._record):
            return False
        self._record = record
        self._adopted_at = self._next_ordinal()
        self._fail_waiters()
        self._adopted.set()
        self._adopted = asyncio.Event()
        self._alarm.set()
        return True

    def _fail_waiters(self) -> None:
        for arrived in (self._checks, self._writes):
            arrived.fail(CheckFailure.STALE_TERM)
        for marked in (self._unheld, self._readers):
            marked.fail(CheckFailure.STALE_TERM)

    @property
    def waiting(self) -> int:
        """Number of calls that wait for samples."""
        return self._sampling.waiting

    async def wait_until_serving(self, deadline: float) -> bool:
        """Waits until the record names a primary.

        Args:
            deadline: loop time in seconds.

        Returns:
            Whether it does before the deadline.
        """
        try:
            async with asyncio.timeout_at(deadline):
                while not self._record.serving:
                    await self._adopted.wait()
        except TimeoutError:
            return False
        return True

    async def changed(self, seconds: float) -> None:
        """Waits for a newer record.

        Args:
            seconds: longest wait.
        """
        await _set_within(self._adopted, seconds)

    def status(self, endpoint: EndpointId) -> EndpointStatus | None:
        """Gives an endpoint's last answer, however old."""
        sample = self._samples.get(endpoint)
        return None if sample is None else sample.status

    def current(self, endpoint: EndpointId) -> EndpointStatus | None:
        """Gives an endpoint's last answer since the record is known."""
        sample = self._samples.get(endpoint)
        if sample is None or sample.ordinal < self._adopted_at:
            return None
        return sample.status

    def silent_seconds(self, endpoint: EndpointId) -> float:
        """Gives the seconds since the begin of the first missed sample."""
        since = self._silent_since.get(endpoint)
        return 0 if since is None else self._now() - since

    def age(self, endpoint: EndpointId) -> float | None:
        """Gives the proved age of an endpoint's data.

        Returns:
            Seconds: the endpoint holds every write that was acknowledged
            longer ago. None if nothing is proved.
        """
        sample = self._samples.get(endpoint)
        if sample is None:
            return None
        check = self._check_history.latest_at_or_below(sample.status.mark)
        return None if check is None else self._now() - check.begun

    def lag_seconds(self, endpoint: EndpointId) -> float | None:
        """Gives the seconds for which an endpoint has lacked a known mark.

        Returns:
            0 if it lacks nothing that a check found; None if it never
            answered.
        """
        sample = self._samples.get(endpoint)
        if sample is None:
            return None
        since = self._check_history.higher_mark_since(sample.status.mark)
        return 0 if since is None else self._now() - since

    def unmoved(self, endpoint: EndpointId) -> float:
        """Gives the seconds since an endpoint's mark last changed."""
        moved_at = self._moved_at.get(endpoint)
        return 0 if moved_at is None else self._now() - moved_at

    async def alarmed(self, seconds: float) -> None:
        """Waits for a sign of trouble at the primary or a new record.

        Args:
            seconds: longest wait.
        """
        await _set_within(self._alarm, seconds)
        self._alarm.clear()

    async def check(self, term: Term, deadline: float) -> Found:
        """Learns a mark that covers every write acknowledged until now.

        Args:
            term: the caller's term.
            deadline: loop time in seconds.

        Returns:
            The mark; STALE_TERM if the term is over; NO_MAJORITY if nothing
            was proved before the deadline.
        """
        return await self._join(self._checks, term, deadline)

    async def wait_until_acknowledged(
        self, term: Term, deadline: float
    ) -> Found:
        """Waits until all that the primary has committed until now is safe.

        Call it after the COMMIT was answered.

        Args:
            term: term that the write's connection is bound to.
            deadline: loop time in seconds.

        Returns:
            The mark that a majority holds in the term, the primary included.
            It is a mark of the term itself: an entry of an earlier term may
            be lost although a majority holds it, so something must have been
            written in the term. STALE_TERM or NO_MAJORITY leave the write's
            outcome unknown.
        """
        return await self._join(self._writes, term, deadline)

    async def wait_for_replica(self, mark: Mark, deadline: float) -> Found:
        """Waits until some replica is sampled at or past a mark.

        Returns:
            The mark that a replica has; STALE_TERM when a newer record is
            heard meanwhile; NO_MAJORITY at the deadline.
        """
        waiter: asyncio.Future[Found] = self._waiter()
        self._readers.join(mark, waiter)
        return await self._settled(waiter, deadline)

    async def run(self) -> None:
        """Samples every endpoint until cancelled."""
        await self._sampling.run(
            Listener(self._next_ordinal, self.observe, self._missed),
        )

    def _next_ordinal(self) -> int:
        return next(self._ordinals)

    def _missed(self, endpoint: EndpointId, begun: float) -> None:
        self._silent_since.setdefault(endpoint, begun)
        if endpoint == self._record.primary:
            self._alarm.set()

    def observe(self, endpoint: EndpointId, sample: Sample) -> None:
        """Takes an answer in and resolves whoever waited for it."""
        before = self._samples.get(endpoint)
        if before is not None and before.ordinal > sample.ordinal:
            return
        for violation in violations(endpoint, sample.status, self._samples):
            self._count(violation)
        self._silent_since.pop(endpoint, None)
        if before is None or before.status.mark != sample.status.mark:
            self._moved_at[endpoint] = sample.begun
        self._samples[endpoint] = sample
        if endpoint == self._record.primary and self._troubled(sample.status):
            self._alarm.set()
        if sample.status.role is EndpointRole.REPLICA:
            mark = sample.status.mark
            self._readers.pass_up_to(mark, settler(mark))
        primary = self._samples.get(self._record.primary)
        if self._record.serving and primary is not None:
            self._resolve(primary)

    def _troubled(self, status: EndpointStatus) -> bool:
        return status.leaving or not leads(status, self._record.term)

    def _resolve(self, primary: Sample) -> None:
        term = self._record.term
        samples = self._samples.values()
        endpoints = len(self._controls)
        if replaced(term, samples, endpoints):
            self._fail_waiters()
        check = completed_check(term, primary, samples, endpoints)
        if check is not None and self._check_history.add(check):
            safe = required_majority_mark(term, check.mark)
            self._checks.pass_up_to(check.ordinal, settler(check.mark))
            self._writes.pass_up_to(
                check.ordinal,
                lambda waiter: self._unheld.join(safe, waiter),
            )
        held = majority_mark(term, primary, samples, endpoints)
        if held is not None:
            self._unheld.pass_up_to(held, self._acknowledge(held))

    def _acknowledge(
        self,
        held: Mark,
    ) -> Callable[[asyncio.Future[Found]], None]:
        def acknowledge(waiter: asyncio.Future[Found]) -> None:
            samples = self._samples.values()
            if replaced(self._record.term, samples, len(self._controls)):
                self._count(Violation.STALE_ACKNOWLEDGEMENT)
            settle(waiter, Ok(held))

        return acknowledge

    def _waiter(self) -> asyncio.Future[Found]:
        return asyncio.get_running_loop().create_future()

    async def _join(
        self,
        waiters: Waiters[int],
        term: Term,
        deadline: float,
    ) -> Found:
        if term != self._record.term or not self._record.serving:
            return Error(CheckFailure.STALE_TERM)
        waiter = self._waiter()
        waiters.join(self._next_ordinal(), waiter)
        return await self._settled(waiter, deadline)

    async def _settled(
        self,
        waiter: asyncio.Future[Found],
        deadline: float,
    ) -> Found:
        with self._sampling.demand():
            return await settled(waiter, deadline)


async def _set_within(event: asyncio.Event, seconds: float) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()
