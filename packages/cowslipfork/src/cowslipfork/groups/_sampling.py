"""Tasks that sample the status of endpoints, faster while a call waits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

from cowslipfork.configuration import Failover
from cowslipfork.groups.check import Sample
from cowslipfork.groups.port import EndpointControl, EndpointSilent
from cowslipfork.ids import EndpointId

#: Seconds between the starts of an endpoint's samples while a call waits.
FAST_SAMPLE_INTERVAL = 0.005


@dataclass(frozen=True, slots=True)
class Listener:
    """Callbacks of the sampling.

    Attributes:
        next_ordinal: returns the ordinal of a sample that is about to start.
        observe: called with each sample that was answered.
        missed: called with the start time of a sample without an answer.
    """

    next_ordinal: Callable[[], int]
    observe: Callable[[EndpointId, Sample], None]
    missed: Callable[[EndpointId, float], None]


class Sampling:
    """Samples every endpoint, at the fast interval while a call waits."""

    def __init__(
        self,
        controls: Mapping[EndpointId, EndpointControl],
        failover: Failover,
        now: Callable[[], float],
    ) -> None:
        """Starts no sampling before ``run``.

        Args:
            controls: control interfaces of all endpoints of the group.
            failover: interval and time-out of the probes.
            now: returns the loop time in seconds.
        """
        self._controls = controls
        self._failover = failover
        self._now = now
        self._waiting = 0
        self._in_demand = asyncio.Event()

    @property
    def waiting(self) -> int:
        """Number of calls that wait for samples."""
        return self._waiting

    @contextmanager
    def demand(self) -> Iterator[None]:
        """Keeps the sampling fast while one call waits."""
        self._waiting += 1
        self._in_demand.set()
        try:
            yield
        finally:
            self._waiting -= 1
            if not self._waiting:
                self._in_demand.clear()

    async def run(self, listener: Listener) -> None:
        """Samples every endpoint until cancelled.

        Args:
            listener: callbacks for the samples.
        """
        async with asyncio.TaskGroup() as group:
            for endpoint in self._controls:
                group.create_task(self._sample(endpoint, listener))

    async def _sample(self, endpoint: EndpointId, listener: Listener) -> None:
        control = self._controls[endpoint]
        while True:
            ordinal = listener.next_ordinal()
            begun = self._now()
            try:
                status = await control.status(
                    self._failover.probe_timeout,
                    fresh=False,
                )
            except EndpointSilent:
                listener.missed(endpoint, begun)
                await self._sleep_until(begun + self._failover.probe_interval)
            else:
                listener.observe(endpoint, Sample(ordinal, begun, status))
                await self._wait_for_next(begun)

    async def _wait_for_next(self, begun: float) -> None:
        try:
            async with asyncio.timeout_at(
                begun + self._failover.probe_interval,
            ):
                await self._in_demand.wait()
        except TimeoutError:
            return
        await self._sleep_until(begun + FAST_SAMPLE_INTERVAL)

    async def _sleep_until(self, time: float) -> None:
        await asyncio.sleep(max(0, time - self._now()))
