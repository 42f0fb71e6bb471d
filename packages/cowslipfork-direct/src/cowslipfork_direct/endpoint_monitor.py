"""Finds out who is primary and keeps the proof of it young."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from typing import Final

from cowslipfork.configuration import RequestClass
from cowslipfork.ids import ClassName
from cowslipfork.limits import QueuedRequest
from cowslipfork_direct.checkout import Checkout, Control, borrow
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.group import Group
from cowslipfork_direct.link import EndpointStatus, Link, LinkLost
from cowslipfork_direct.observed_statuses import Leader

log = logging.getLogger(__name__)

#: Seconds for one question for a status, the wait for a connection included.
INSPECT_TIMEOUT: Final = 0.25

#: Seconds between two rounds of questions while an endpoint can't tell.
INSPECT_PAUSE: Final = 0.05

#: Seconds that a statement waits for a proof before it is sent.
PROOF_PATIENCE: Final = 0.25

#: Seconds after such a wait in vain for which nobody waits.
UNPROVED_PAUSE: Final = 0.25

#: Share of the age that reads accept after which the primary is asked for its
#: mark.
SAMPLE_SHARE: Final = 0.6

#: Seconds between two rounds of questions while nobody leads.
SEEK_PAUSE: Final = 0.05

#: Class of the node's own questions in the queue of a group.
_CONTROL: Final = RequestClass(ClassName('control'), 1, 1, INSPECT_TIMEOUT)


class EndpointMonitor:
    """Watches the endpoints of one group."""

    def __init__(self, group: Group) -> None:
        """Watches nothing until ``run``.

        Args:
            group: what is found out is told to it.
        """
        self._group = group
        self._demand = asyncio.Event()
        self._stale = asyncio.Event()
        self._unproved_until: float = 0

    def demand_proof(self) -> None:
        """Has the proof renewed if it is no longer young."""
        if self._group.leader_lease.renewal_due:
            self._demand.set()

    def demand_sample(self, max_age: float) -> None:
        """Has the primary's mark asked for if none was seen lately.

        Reads of a stated age need it, and it tells whether the primary is
        there while nobody writes.

        Args:
            max_age: greatest age in seconds that the reads accept.
        """
        newest = self._group.mark_history.newest_begun
        if boot_time() >= newest + max_age * SAMPLE_SHARE:
            self._stale.set()

    async def proved(
        self,
        leader: Leader,
        moment: float,
        until: float,
    ) -> bool:
        """Waits until it is proved that a primary was the only one.

        Args:
            leader: the primary that answered.
            moment: boot time for which the proof is wanted.
            until: loop time after which it is given up.

        Returns:
            Whether it is proved; false as soon as the primary changes.
        """
        group = self._group
        while group.leader == leader:
            if group.leader_lease.covers(moment):
                return True
            self._demand.set()
            change_event = group.change_event
            try:
                async with asyncio.timeout_at(until):
                    await change_event.wait()
            except TimeoutError:
                return False
        return False

    async def proved_soon(self, leader: Leader, moment: float) -> bool:
        """Tells whether work at a primary is likely to be worth something.

        Args:
            leader: the primary.
            moment: boot time for which a proof is wanted.

        Returns:
            Whether there is a proof, perhaps after a short wait. Where none
            was found a moment ago, nobody waits.
        """
        if self._group.leader == leader and self._group.leader_lease.covers(
            moment,
        ):
            return True
        now = boot_time()
        if now < self._unproved_until:
            return False
        until = asyncio.get_running_loop().time() + PROOF_PATIENCE
        if await self.proved(leader, moment, until):
            return True
        self._unproved_until = boot_time() + UNPROVED_PAUSE
        return False

    async def run(self) -> None:
        """Inspects and proves until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._inspect_unknown())
            tasks.create_task(self._renew())
            tasks.create_task(self._seek_leader())
            tasks.create_task(self._sample())

    async def inspect(self, endpoint: Endpoint) -> bool:
        """Asks an endpoint for its status and tells the group.

        Args:
            endpoint: whom to ask.

        Returns:
            Whether it answered.
        """
        return await self.control(endpoint, _status) is not None

    async def control(
        self,
        endpoint: Endpoint,
        action: Control,
    ) -> EndpointStatus | None:
        """Asks an endpoint for its status, perhaps after changing it.

        Args:
            endpoint: whom to ask.
            action: what to ask.

        Returns:
            What it told, which the group knows by then; None without answer.
        """
        until = asyncio.get_running_loop().time() + INSPECT_TIMEOUT
        queued_request = QueuedRequest(
            _CONTROL, lambda: (endpoint.id,), until, True
        )
        checkout = await borrow(self._group, queued_request, {})
        if not isinstance(checkout, Checkout):
            return None
        begun = boot_time()
        with checkout:
            try:
                status = await checkout.control(action, until)
            except LinkLost as error:
                log.info('status_lost', extra={'cause': str(error)})
                return None
        if status is not None:
            self._group.observe(endpoint.id, status, begun)
        return status

    async def control_all(
        self,
        endpoints: Iterable[Endpoint],
        action: Control,
    ) -> list[EndpointStatus | None]:
        """Asks several endpoints at once; otherwise like ``control``."""
        asked = [self.control(endpoint, action) for endpoint in endpoints]
        return list(await asyncio.gather(*asked))

    async def _inspect_unknown(self) -> None:
        """Asks each endpoint that answers and of which nothing is known."""
        while True:
            await self._group.uninspected.wait()
            self._group.uninspected.clear()
            unknown = [
                endpoint
                for endpoint in self._group.answering
                if self._group.observed_status(endpoint.id) is None
            ]
            answered = await asyncio.gather(*map(self.inspect, unknown))
            if not all(answered):
                self._group.uninspected.set()
                await asyncio.sleep(INSPECT_PAUSE)

    async def _seek_leader(self) -> None:
        """Asks all endpoints again and again while nobody leads.

        A node that the store turns away hears of a new primary in no other
        way.
        """
        while True:
            change_event = self._group.change_event
            if self._group.leader is not None:
                await change_event.wait()
                continue
            await self._inspect_all(self._group.answering)
            await asyncio.sleep(SEEK_PAUSE)

    async def _sample(self) -> None:
        """Asks the primary for its mark when that is in demand."""
        while True:
            await self._stale.wait()
            leader = self._group.leader
            endpoint = leader and self._group.endpoints.get(leader.endpoint)
            if endpoint:
                await self.inspect(endpoint)
            await asyncio.sleep(INSPECT_PAUSE)
            self._stale.clear()

    async def _renew(self) -> None:
        """Renews the proof while it is in demand."""
        while True:
            await self._demand.wait()
            self._demand.clear()
            if (
                self._group.leader_lease.renewal_due
                and self._group.leader is not None
            ):
                await self._prove()

    async def _prove(self) -> None:
        needed = self._group.majority - 1
        replicas = self._replicas()
        await self._inspect_all(replicas[:needed])
        if self._group.leader_lease.renewal_due:
            await self._inspect_all(replicas[needed:])
        if self._group.leader_lease.renewal_due:
            log.warning('leader_not_proved', extra={'group': self._group.name})
            await asyncio.sleep(INSPECT_PAUSE)

    async def _inspect_all(self, endpoints: Iterable[Endpoint]) -> None:
        await asyncio.gather(*map(self.inspect, endpoints))

    def _replicas(self) -> list[Endpoint]:
        """Replicas that may confirm the primary, the least busy first."""
        group = self._group
        candidates = [
            endpoint
            for endpoint in group.answering
            if not group.leads(endpoint.id)
        ]
        return sorted(candidates, key=_load)


def _load(endpoint: Endpoint) -> int:
    return endpoint.in_use


async def _status(link: Link) -> EndpointStatus | None:
    return await link.status()
