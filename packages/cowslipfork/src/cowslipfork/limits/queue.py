"""The queue of one group: futures and timers of requests that wait for slots.

The order of the requests is that of ``fair_order``; whether a request may wait
is decided by ``admission``; slots and connections are counted in
``slot_counts``.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from cowslipfork.configuration import RequestClass
from cowslipfork.ids import EndpointId, WorkspaceName
from cowslipfork.limits.admission import (
    Backlog,
    has_room,
    milliseconds,
    retry_after,
)
from cowslipfork.limits.fair_order import (
    FairOrder,
    RequestsAhead,
    WaitingRequest,
)
from cowslipfork.limits.intervals import Intervals
from cowslipfork.limits.slot_counts import MayUseAnother, SlotCounts

#: Weight of a new service time in the exponential moving average.
_SMOOTHING: Final = 0.1

#: Assumed service time of a statement in seconds until one is measured.
_INITIAL_SERVICE_TIME: Final = 0.002

#: A service time counts as at most this many times the average: a connection
#: that broke says nothing about how fast the queue drains.
_MAX_SERVICE_RATIO: Final = 10


@dataclass(frozen=True, slots=True)
class QueueRejection:
    """A request that the queue rejected or that timed out before it ran.

    Attributes:
        retry_after_ms: milliseconds after which the request is expected to
            find room.
        timed_out: whether the deadline of the request passed in the queue;
            otherwise the queue was too long already.
    """

    retry_after_ms: int
    timed_out: bool


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request for a slot.

    Attributes:
        request_class: class whose weight and queue length apply.
        candidates: returns the endpoints that may serve the request now, best
            first; called again whenever a slot becomes free.
        deadline: loop time in seconds.
        in_transaction: whether the request is a statement inside a
            transaction, which is served before all classes.
        workspace: workspace of the caller, which gets an even share of the
            slots of its class; None without workspaces.
    """

    request_class: RequestClass
    candidates: Callable[[], Iterable[EndpointId]]
    deadline: float
    in_transaction: bool = False
    workspace: WorkspaceName | None = None


@dataclass(slots=True, eq=False, kw_only=True)
class _Waiter(WaitingRequest):
    queued_request: QueuedRequest
    ahead: RequestsAhead
    enqueued_at: float
    granted: asyncio.Future[EndpointId | None]


class SlotQueue:
    """Slots of a group's endpoints, and the requests that wait for them."""

    def __init__(
        self,
        slots: Mapping[EndpointId, int],
        spare_connections: int = 0,
        draw: Callable[[], float] = random.random,
        may_use_another: MayUseAnother | None = None,
    ) -> None:
        """Starts with all slots free.

        Args:
            slots: number of statements that may run at once, by endpoint.
            spare_connections: number of further connections of each endpoint,
                which make up for those that idle transactions hold.
            draw: returns random numbers from 0 to 1, which spread the callers
                of rejected requests.
            may_use_another: limits the connections of a workspace; None for no
                limit.
        """
        self._draw = draw
        self._may_use_another = may_use_another
        self._counts = SlotCounts(slots, spare_connections)
        self._order: FairOrder[_Waiter] = FairOrder()
        self._intervals = Intervals()
        self._mean_service_time = _INITIAL_SERVICE_TIME

    @property
    def free(self) -> Mapping[EndpointId, int]:
        """Number of free slots by endpoint."""
        return self._counts.free

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._order)

    @property
    def waiting_by_workspace(self) -> Mapping[WorkspaceName | None, int]:
        """Number of requests that wait outside of transactions."""
        return self._order.waiting_by_workspace

    def resize(
        self,
        slots: Mapping[EndpointId, int],
        spare_connections: int | None = None,
    ) -> None:
        """Changes the number of slots; used ones stay so until released.

        Args:
            slots: number of statements that may run at once, by endpoint.
            spare_connections: number of further connections of each endpoint;
                None if it stays as it is.
        """
        self._counts.resize(slots, spare_connections)
        self.serve_waiters()

    def load(self, endpoint: EndpointId) -> float:
        """Returns the load of an endpoint.

        Args:
            endpoint: an endpoint that has slots.

        Returns:
            The fraction of its slots in use, from 0 to 1.
        """
        return self._counts.load(endpoint)

    async def acquire(
        self,
        queued_request: QueuedRequest,
    ) -> EndpointId | QueueRejection:
        """Waits for a slot.

        Args:
            queued_request: the request for a slot.

        Returns:
            The endpoint whose slot is now held, until ``release``; or why
            there is none, returned as soon as that is certain.
        """
        # Every free slot was already offered to the waiters, so no slot that
        # is free now can serve any of them.
        endpoint = self._try_acquire(queued_request)
        if endpoint is not None:
            return endpoint
        loop = asyncio.get_running_loop()
        request = _waiting_request(queued_request)
        ahead = self._order.ahead_of(request)
        rejection = self._rejection(request, ahead, loop.time())
        if rejection is not None:
            return rejection
        waiter = _Waiter(
            request_class=request.request_class,
            workspace=request.workspace,
            endpoints=request.endpoints,
            deadline=request.deadline,
            in_transaction=request.in_transaction,
            queued_request=queued_request,
            ahead=ahead,
            enqueued_at=loop.time(),
            granted=loop.create_future(),
        )
        self._order.add(waiter)
        return await self._wait(waiter)

    def release(
        self,
        endpoint: EndpointId,
        seconds: float,
        workspace: WorkspaceName | None = None,
    ) -> None:
        """Releases a slot and its connection.

        Args:
            endpoint: endpoint of the slot.
            seconds: how long the slot was held; updates the average service
                time.
            workspace: workspace of the request that held the slot.
        """
        mean = self._mean_service_time
        seconds = min(seconds, _MAX_SERVICE_RATIO * mean)
        self._mean_service_time += _SMOOTHING * (seconds - mean)
        self._put_back(endpoint, workspace)

    def suspend(self, endpoint: EndpointId) -> None:
        """Releases a slot but keeps its connection, for an idle transaction.

        Args:
            endpoint: endpoint of the slot.
        """
        self._counts.suspend(endpoint)
        self.serve_waiters()

    def resume(self, endpoint: EndpointId) -> None:
        """Takes a slot for a suspended transaction, even if none is free.

        Args:
            endpoint: endpoint of the connection that was kept.
        """
        self._counts.resume(endpoint)

    def serve_waiters(self) -> None:
        """Assigns free slots to waiters.

        Call it when the endpoints that may serve a request have changed.
        """
        while self._counts.any_available:
            if not self._serve_first():
                break

    def _serve_first(self) -> bool:
        """Assigns a free slot to the first waiter that can use one."""
        now = asyncio.get_running_loop().time()
        for waiter in self._order.in_order(now):
            if waiter.granted.done():
                # Its task was cancelled and has not run since then.
                continue
            endpoint = self._try_acquire(waiter.queued_request)
            if endpoint is not None:
                self._order.remove(waiter)
                self._record_served(waiter, now)
                waiter.granted.set_result(endpoint)
                return True
        return False

    def _try_acquire(self, queued_request: QueuedRequest) -> EndpointId | None:
        workspace = queued_request.workspace
        endpoint = next(
            (
                name
                for name in queued_request.candidates()
                if self._counts.is_available(name)
                and self._is_within_limit(name, workspace)
            ),
            None,
        )
        if endpoint is not None:
            self._counts.take(endpoint, workspace)
            self._record_acquired(queued_request)
        return endpoint

    def _is_within_limit(
        self, endpoint: EndpointId, workspace: WorkspaceName | None
    ) -> bool:
        """Returns whether a workspace may use another connection."""
        if workspace is None or self._may_use_another is None:
            return True
        others_wait = self._order.others_wait(endpoint, workspace)
        return self._may_use_another(
            self._counts.holding(endpoint, workspace, others_wait=others_wait)
        )

    def _record_acquired(self, queued_request: QueuedRequest) -> None:
        """Advances the order, except for statements of transactions."""
        if queued_request.in_transaction:
            return
        self._order.advance(
            queued_request.request_class, queued_request.workspace
        )
        self._intervals.start(
            queued_request.request_class, self._initial_interval
        )

    @property
    def _initial_interval(self) -> float:
        """Assumed seconds between two services while none was measured."""
        return self._mean_service_time / max(1, self._counts.total)

    def _backlog(
        self, request: WaitingRequest, ahead: RequestsAhead
    ) -> Backlog:
        self._intervals.start(request.request_class, self._initial_interval)
        return self._intervals.backlog(request, ahead)

    def _rejection(
        self,
        request: WaitingRequest,
        ahead: RequestsAhead,
        now: float,
    ) -> QueueRejection | None:
        """Returns why a request may not wait; None if it may.

        A request that no endpoint may serve now waits for a change, which does
        not depend on the requests before it.

        Args:
            request: the request.
            ahead: requests that go before it.
            now: loop time.
        """
        if request.in_transaction:
            return None
        backlog = self._backlog(request, ahead)
        longest_wait = max(0, request.deadline - now)
        room = not request.endpoints or has_room(backlog, longest_wait)
        if room and not self._order.is_full(request):
            return None
        return self._rejected(backlog, longest_wait, timed_out=False)

    def _rejected(
        self,
        backlog: Backlog,
        longest_wait: float,
        *,
        timed_out: bool,
    ) -> QueueRejection:
        seconds = retry_after(backlog, longest_wait, self._draw())
        return QueueRejection(milliseconds(seconds), timed_out)

    def _record_served(self, waiter: _Waiter, now: float) -> None:
        if waiter.endpoints and not waiter.in_transaction:
            waited = now - waiter.enqueued_at
            self._intervals.record_served(waiter, waiter.ahead, waited)

    async def _wait(self, waiter: _Waiter) -> EndpointId | QueueRejection:
        loop = asyncio.get_running_loop()
        timer = loop.call_at(waiter.deadline, self._expire, waiter)
        try:
            endpoint = await waiter.granted
        except asyncio.CancelledError:
            self._cancel(waiter)
            raise
        finally:
            timer.cancel()
        if endpoint is None:
            backlog = self._backlog(waiter, self._order.ahead_of(waiter))
            return self._rejected(backlog, 0, timed_out=True)
        return endpoint

    def _expire(self, waiter: _Waiter) -> None:
        if not waiter.granted.done():
            self._remove(waiter)
            waiter.granted.set_result(None)

    def _cancel(self, waiter: _Waiter) -> None:
        """Removes a waiter whose task was cancelled and frees its slot."""
        granted = waiter.granted
        if granted.cancelled() or not granted.done():
            self._remove(waiter)
            return
        endpoint = granted.result()
        if endpoint is not None:
            self._put_back(endpoint, waiter.workspace)

    def _remove(self, waiter: _Waiter) -> None:
        """Removes a waiter, which may have limited other workspaces."""
        removed = self._order.remove(waiter)
        if removed and waiter.workspace is not None:
            self.serve_waiters()

    def _put_back(
        self, endpoint: EndpointId, workspace: WorkspaceName | None
    ) -> None:
        self._counts.put_back(endpoint, workspace)
        self.serve_waiters()


def _waiting_request(queued_request: QueuedRequest) -> WaitingRequest:
    return WaitingRequest(
        queued_request.request_class,
        queued_request.workspace,
        frozenset(queued_request.candidates()),
        queued_request.deadline,
        queued_request.in_transaction,
    )
