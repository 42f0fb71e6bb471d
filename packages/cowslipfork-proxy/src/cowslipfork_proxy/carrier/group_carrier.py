"""Carries one group: serves every statement for it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

from cowslipfork.configuration import (
    Configuration,
    FreshRule,
    Group,
    Kind,
    RequestClass,
)
from cowslipfork.groups import GroupRecord, Health, Tracker, write_refusal
from cowslipfork.ids import (
    INITIAL_MARK,
    ClassName,
    EndpointId,
    KindName,
    Mark,
    Term,
    TransactionId,
)
from cowslipfork.limits import RetryBudget
from cowslipfork.outcomes import Done, NotRun, Outcome, Reason, Refused, Unknown
from cowslipfork.requests import Answer, Operation, Request
from cowslipfork_proxy.carrier._grants import (
    RECONNECT_MS,
    Grant,
    Grants,
    Wanted,
    not_granted,
)
from cowslipfork_proxy.carrier._jobs import JobTable, run_job
from cowslipfork_proxy.carrier._reads import Read, run_read
from cowslipfork_proxy.carrier._transactions import Transactions
from cowslipfork_proxy.carrier._writes import remaining, run_write
from cowslipfork_proxy.carrier.carrier_statistics import (
    CarrierStatistics,
    ServedBy,
)

#: Seconds between looks at whether a held request is still worth holding.
_LOOK: Final = 0.1

#: Seconds of waiting for a primary from which on it counts as a gap.
_NOTICEABLE: Final = 0.001

#: Kind of requests that name none: fresh reads, no jobs.
SAFEST_KIND: Final = Kind(
    KindName('default'),
    ClassName('default'),
    FreshRule(),
)

#: Class of requests whose kind names none that is configured.
_DEFAULT_CLASS: Final = RequestClass(
    ClassName('default'),
    weight=1,
    queue=100,
    deadline=5,
)


class GroupCarrier:
    """The one place that decides about a group's statements."""

    def __init__(
        self,
        group: Group,
        configuration: Callable[[], Configuration],
        tracker: Tracker,
        grants: Grants,
        health: Health,
        statistics: CarrierStatistics,
    ) -> None:
        """Wires the parts of a group.

        Args:
            group: the group.
            configuration: gives the configuration in force.
            tracker: what is known of its endpoints.
            grants: slots and connections of its endpoints.
            health: how the group fares, told by its supervision.
            statistics: counts reads, times gaps.
        """
        self._group = group
        self._configuration = configuration
        self._tracker = tracker
        self._grants = grants
        self._health = health
        self._statistics = statistics
        self._gap_timer = statistics.new_gap_timer()
        self._held = 0
        self._table = JobTable()
        self._retries = RetryBudget(configuration().limits.retry_share)
        self._transactions = Transactions(
            grants,
            self._table,
            lambda: configuration().limits.transaction_idle,
        )

    @property
    def group(self) -> Group:
        """The group carried."""
        return self._group

    @property
    def tracker(self) -> Tracker:
        """What is known of the group's endpoints."""
        return self._tracker

    @property
    def health(self) -> Health:
        """How the group fares."""
        return self._health

    @property
    def grants(self) -> Grants:
        """Slots and connections of the group's endpoints."""
        return self._grants

    @property
    def checked_out(self) -> int:
        """Connections in use, also those whose rows are still read."""
        return self._grants.checked_out

    @property
    def open_transactions(self) -> int:
        """Transactions that have begun and not ended."""
        return self._transactions.count

    def has_transaction(self, transaction: TransactionId) -> bool:
        """Tells whether a transaction is open here.

        Args:
            transaction: its id.

        Returns:
            Whether it has begun and not ended.
        """
        return self._transactions.has(transaction)

    def adopt(self, record: GroupRecord) -> None:
        """Takes a newer record over and ends what ran in earlier terms.

        Args:
            record: a record of the group as heard.
        """
        if self._tracker.adopt(record):
            self._grants.close_before_term(record.term)

    def close(self) -> None:
        """Stops carrying: ends transactions, closes every connection."""
        self._transactions.close()
        self._grants.close()

    async def run(self, request: Request) -> Outcome[Answer]:
        """Serves one statement to its end.

        Args:
            request: the statement.

        Returns:
            Its outcome.
        """
        if request.transaction is not None:
            return await self._in_transaction(request)
        kind = self._kind(request)
        if request.operation is Operation.READ:
            return await self._read(request, kind)
        return await self._again(
            request,
            partial(self._write, request, kind),
            self._recovered,
        )

    async def _again(
        self,
        request: Request,
        attempt: Callable[[], Awaitable[Outcome[Answer]]],
        pause: Callable[[Request], Awaitable[NotRun | None]],
    ) -> Outcome[Answer]:
        """Repeats an attempt that was not run, within the retry budget.

        ``pause`` waits until another try may fare better, or gives the
        request up.
        """
        self._retries.record_first_try()
        outcome = await attempt()
        while _passing(outcome) and remaining(request):
            given_up = await pause(request)
            if given_up is not None:
                return given_up
            if not self._retries.try_spend():
                break
            outcome = await attempt()
        return outcome

    async def _read(self, request: Request, kind: Kind) -> Outcome[Answer]:
        read = Read(
            request,
            kind,
            self._class(kind),
            self._session_mark(request),
            self._configuration().limits.hold,
        )
        attempt = partial(run_read, read, self._tracker, self._grants)
        outcome = await self._again(request, attempt, _at_once)
        if isinstance(outcome, Done):
            at_primary = outcome.answer.endpoint == self._tracker.record.primary
            self._statistics.count_read(
                ServedBy.PRIMARY if at_primary else ServedBy.REPLICA,
            )
        return outcome

    async def _write(self, request: Request, kind: Kind) -> Outcome[Answer]:
        refused = _write_refusal(request, kind)
        if refused is not None:
            return refused
        grant = await self._primary(request, kind)
        if not isinstance(grant, Grant):
            return grant
        if request.request_id is None:
            return await run_write(request, grant, self._acknowledged)
        return await run_job(request, grant, self._table, self._acknowledged)

    async def _in_transaction(self, request: Request) -> Outcome[Answer]:
        kind = self._kind(request)
        if request.operation is not Operation.BEGIN:
            return await self._transactions.run(
                request,
                self._wanted_primary(request, kind, in_transaction=True),
                self._acknowledged,
            )
        refused = await self._no_primary(request)
        if refused is not None:
            return refused
        record = self._tracker.record
        grant = await self._grants.pinned(record.primary, record.term)
        if not isinstance(grant, Grant):
            return not_granted(grant)
        return await self._transactions.begin(request, grant)

    async def _primary(self, request: Request, kind: Kind) -> Grant | NotRun:
        refused = await self._no_primary(request)
        if refused is not None:
            return refused
        wanted = self._wanted_primary(request, kind, in_transaction=False)
        grant = await self._grants.grant(wanted)
        return grant if isinstance(grant, Grant) else not_granted(grant)

    async def _no_primary(self, request: Request) -> NotRun | None:
        """Holds a request while a primary is chosen."""
        return await self._held_until(
            request,
            lambda until: self._tracker.wait_until_serving(until),
        )

    async def _recovered(self, request: Request) -> NotRun | None:
        """Holds a request until the primary answers again or is replaced."""
        term = self._tracker.record.term

        async def proved(until: float) -> bool:
            if not await self._tracker.wait_until_serving(until):
                return False
            if self._tracker.record.term != term:
                return True
            return (await self._tracker.check(term, until)).is_ok()

        return await self._held_until(request, proved)

    async def _held_until(
        self,
        request: Request,
        proved: Callable[[float], Awaitable[bool]],
    ) -> NotRun | None:
        """Holds a request, within its deadline and a bound.

        Args:
            request: the request.
            proved: waits until a loop time for what is hoped for.

        Returns:
            None once it is there; otherwise why the request is given up,
            as soon as no promotion is under way.
        """
        if self._held >= self._configuration().limits.hold:
            return _choosing_primary()
        loop = asyncio.get_running_loop()
        self._held += 1
        try:
            while remaining(request):
                refused = write_refusal(self._health.condition)
                if refused is not None:
                    return refused
                begun = loop.time()
                there = await proved(min(request.deadline, begun + _LOOK))
                if loop.time() > begun + _NOTICEABLE:
                    self._gap_timer.write_waiting(begun)
                if there:
                    return None
        finally:
            self._held -= 1
        return _choosing_primary()

    def _wanted_primary(
        self,
        request: Request,
        kind: Kind,
        *,
        in_transaction: bool,
    ) -> Wanted:
        record = self._tracker.record

        def primary() -> tuple[EndpointId, ...]:
            return (record.primary,)

        return Wanted(
            self._class(kind),
            primary,
            lambda endpoint: record.term,
            request.deadline,
            in_transaction,
        )

    async def _acknowledged(self, term: Term, deadline: float) -> Mark | None:
        found = await self._tracker.wait_until_acknowledged(term, deadline)
        if found.is_error():
            return None
        self._gap_timer.write_acknowledged(asyncio.get_running_loop().time())
        return found.ok

    def _session_mark(self, request: Request) -> Mark | None:
        """Gives what the session wrote here; None makes its reads fresh."""
        if request.marks is None:
            return None
        return request.marks.get(self._group.name, INITIAL_MARK)

    def _kind(self, request: Request) -> Kind:
        if request.kind is None:
            return SAFEST_KIND
        return self._configuration().kinds.get(request.kind, SAFEST_KIND)

    def _class(self, kind: Kind) -> RequestClass:
        classes = self._configuration().classes
        return classes.get(kind.class_name, _DEFAULT_CLASS)


def _write_refusal(request: Request, kind: Kind) -> NotRun | None:
    if kind.job and request.request_id is None:
        return NotRun(
            Reason.REQUEST_ID_MISSING,
            detail=f'kind {kind.name} records jobs; send a request_id',
        )
    return None


async def _at_once(request: Request) -> None:
    """Lets a read be tried at once, on another endpoint."""


def _choosing_primary() -> NotRun:
    return NotRun(Reason.NO_PRIMARY, RECONNECT_MS, 'a primary is being chosen')


def _passing(outcome: Done[Answer] | Refused | NotRun | Unknown) -> bool:
    """Tells whether another try may fare better at once."""
    return isinstance(outcome, NotRun) and outcome.reason in {
        Reason.STALE_TERM,
        Reason.NO_FREE_SLOT,
        Reason.CONNECTION_LOST,
    }
