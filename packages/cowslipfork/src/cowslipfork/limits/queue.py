"""The queue of one group: endpoint slots shared by weighted classes.

Start-time fair queueing over classes: each class has a virtual time that
grows by 1/weight with each slot it gets; a free slot goes to the waiting class
with the least virtual time that can use it. Statements inside a transaction go
first, since they hold locks that others wait for.

A transaction may rest between its statements: it then holds a connection but no
slot, and a number of spare connections make up for those that rest.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from cowslipfork.configuration import RequestClass
from cowslipfork.ids import ClassName, EndpointId

#: Weight of a new service time in the moving average.
_SMOOTHING: Final = 0.1

#: Seconds that a statement is taken to need before any was measured.
_FIRST_GUESS: Final = 0.002

_MS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class QueueRejection:
    """The queue refused or gave up a request before it ran.

    Attributes:
        retry_after_ms: when a place is likely to be free.
        timed_out: whether its deadline passed; otherwise the queue was full.
    """

    retry_after_ms: int
    timed_out: bool


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """What a request asks of the queue.

    Attributes:
        request_class: its class.
        candidates: endpoints that may serve it now, best first; asked again
            whenever a slot becomes free.
        deadline: loop time in seconds.
        in_transaction: whether it goes before all classes.
    """

    request_class: RequestClass
    candidates: Callable[[], Iterable[EndpointId]]
    deadline: float
    in_transaction: bool = False


@dataclass(slots=True, eq=False)
class _Waiter:
    queued_request: QueuedRequest
    granted: asyncio.Future[EndpointId | None]


@dataclass(slots=True)
class _ClassQueue:
    waiters: deque[_Waiter] = field(default_factory=deque)
    virtual_time: float = 0


class SlotQueue:
    """Slots of a group's endpoints and who waits for them."""

    def __init__(
        self,
        slots: Mapping[EndpointId, int],
        spare_connections: int = 0,
    ) -> None:
        """Starts with all slots free.

        Args:
            slots: statements that may run at once, by endpoint.
            spare_connections: connections of each endpoint that may be idle in
                transaction beside them.
        """
        self._slots = dict(slots)
        self._spare_connections = spare_connections
        self._suspended: Counter[EndpointId] = Counter()
        self._free = dict(slots)
        self._classes: dict[ClassName, _ClassQueue] = {}
        self._urgent: deque[_Waiter] = deque()
        self._virtual_time: float = 0
        self._service = _FIRST_GUESS

    @property
    def free(self) -> Mapping[EndpointId, int]:
        """Free slots by endpoint."""
        return self._free

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        queued = sum(len(line.waiters) for line in self._classes.values())
        return queued + len(self._urgent)

    def resize(self, slots: Mapping[EndpointId, int]) -> None:
        """Changes the slots; those in use stay in use until they are left.

        Args:
            slots: statements that may run at once, by endpoint.
        """
        for endpoint in self._slots.keys() | slots.keys():
            change = slots.get(endpoint, 0) - self._slots.get(endpoint, 0)
            self._free[endpoint] = self._free.get(endpoint, 0) + change
        self._slots = dict(slots)
        self.serve_waiters()

    def load(self, endpoint: EndpointId) -> float:
        """Tells how busy an endpoint is.

        Args:
            endpoint: the endpoint.

        Returns:
            Share of its slots in use, from 0 to 1.
        """
        return 1 - self._free[endpoint] / self._slots[endpoint]

    async def acquire(
        self, queued_request: QueuedRequest
    ) -> EndpointId | QueueRejection:
        """Waits for a slot.

        Args:
            queued_request: what is asked.

        Returns:
            The endpoint whose slot is now held, to be given back by
            ``release``; or why there is none, told as soon as it is known.
        """
        # Waiters were offered every free slot already, so that none that is
        # free now could serve them.
        taken = self._take(queued_request)
        if taken is not None:
            return taken
        refusal = self._refusal(queued_request)
        if refusal is not None:
            return refusal
        waiter = _Waiter(
            queued_request, asyncio.get_running_loop().create_future()
        )
        self._append(waiter)
        return await self._wait(waiter)

    def release(self, endpoint: EndpointId, seconds: float) -> None:
        """Gives a slot back.

        Args:
            endpoint: whose slot it was.
            seconds: how long it was held.
        """
        self._service += _SMOOTHING * (seconds - self._service)
        self._free[endpoint] += 1
        self.serve_waiters()

    def suspend(self, endpoint: EndpointId) -> None:
        """Gives a slot back but keeps its connection.

        Args:
            endpoint: whose slot it was.
        """
        self._suspended[endpoint] += 1
        self._free[endpoint] += 1
        self.serve_waiters()

    def resume(self, endpoint: EndpointId) -> None:
        """Takes a slot again after a rest, even if none is free.

        Args:
            endpoint: whose connection rested.
        """
        self._suspended[endpoint] -= 1
        self._free[endpoint] -= 1

    def serve_waiters(self) -> None:
        """Serves waiters again, as after a change of eligible endpoints."""
        while any(map(self._has_room, self._free)):
            served = self._serve_urgent() or self._serve_fairly()
            if not served:
                break

    def retry_after_ms(self, ahead: int) -> int:
        """Estimates when a queue has drained.

        Args:
            ahead: requests in front.

        Returns:
            Milliseconds, at least 1.
        """
        seconds = (
            (ahead + 1) * self._service / max(1, sum(self._slots.values()))
        )
        return max(1, round(seconds * _MS_PER_SECOND))

    def _take(self, queued_request: QueuedRequest) -> EndpointId | None:
        endpoint = next(
            (
                name
                for name in queued_request.candidates()
                if self._has_room(name)
            ),
            None,
        )
        if endpoint is not None:
            self._free[endpoint] -= 1
            self._charge(queued_request)
        return endpoint

    def _has_room(self, endpoint: EndpointId) -> bool:
        """Tells whether a slot and a connection are to be had."""
        free = self._free.get(endpoint, 0)
        return (
            free > 0
            and self._suspended[endpoint] < self._spare_connections + free
        )

    def _charge(self, queued_request: QueuedRequest) -> None:
        if queued_request.in_transaction:
            return
        line = self._line(queued_request)
        start = max(line.virtual_time, self._virtual_time)
        self._virtual_time = start
        line.virtual_time = start + 1 / queued_request.request_class.weight

    def _line(self, queued_request: QueuedRequest) -> _ClassQueue:
        return self._classes.setdefault(
            queued_request.request_class.name,
            _ClassQueue(virtual_time=self._virtual_time),
        )

    def _refusal(self, queued_request: QueuedRequest) -> QueueRejection | None:
        if queued_request.in_transaction:
            return None
        line = self._line(queued_request)
        if len(line.waiters) < queued_request.request_class.queue:
            return None
        return QueueRejection(
            self.retry_after_ms(len(line.waiters)), timed_out=False
        )

    def _append(self, waiter: _Waiter) -> None:
        if waiter.queued_request.in_transaction:
            self._urgent.append(waiter)
        else:
            self._line(waiter.queued_request).waiters.append(waiter)

    async def _wait(self, waiter: _Waiter) -> EndpointId | QueueRejection:
        loop = asyncio.get_running_loop()
        timer = loop.call_at(
            waiter.queued_request.deadline, self._expire, waiter
        )
        try:
            endpoint = await waiter.granted
        except asyncio.CancelledError:
            self._forget(waiter)
            raise
        finally:
            timer.cancel()
        if endpoint is None:
            return QueueRejection(
                self.retry_after_ms(self.waiting), timed_out=True
            )
        return endpoint

    def _expire(self, waiter: _Waiter) -> None:
        if not waiter.granted.done():
            self._remove(waiter)
            waiter.granted.set_result(None)

    def _forget(self, waiter: _Waiter) -> None:
        """Undoes a wait whose task was cancelled, slot included."""
        granted = waiter.granted
        if granted.cancelled() or not granted.done():
            self._remove(waiter)
            return
        endpoint = granted.result()
        if endpoint is not None:
            self._free[endpoint] += 1
            self.serve_waiters()

    def _remove(self, waiter: _Waiter) -> None:
        line = (
            self._urgent
            if waiter.queued_request.in_transaction
            else self._line(waiter.queued_request).waiters
        )
        if waiter in line:
            line.remove(waiter)

    def _serve_urgent(self) -> bool:
        return self._serve_first(self._urgent)

    def _serve_fairly(self) -> bool:
        lines = sorted(
            (line for line in self._classes.values() if line.waiters),
            key=_by_virtual_time,
        )
        return any(self._serve_first(line.waiters) for line in lines)

    def _serve_first(self, waiters: deque[_Waiter]) -> bool:
        """Gives a slot to the first waiter that can use a free one."""
        for waiter in waiters:
            endpoint = self._take(waiter.queued_request)
            if endpoint is not None:
                waiters.remove(waiter)
                waiter.granted.set_result(endpoint)
                return True
        return False


def _by_virtual_time(line: _ClassQueue) -> float:
    return line.virtual_time
