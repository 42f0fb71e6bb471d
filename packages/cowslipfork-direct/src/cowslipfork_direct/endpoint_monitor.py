"""Requests statuses of endpoints to find the primary and renew its lease."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from typing import Final

from cowslipfork.configuration import RequestClass
from cowslipfork.ids import ClassName
from cowslipfork.limits import QueuedRequest
from cowslipfork_direct.checkout import Checkout, Control, check_out
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.group import Group
from cowslipfork_direct.leader_lease import LeaseNeed
from cowslipfork_direct.link import EndpointStatus, Link, LinkLost
from cowslipfork_direct.observed_statuses import Leader
from cowslipfork_direct.pool_policy import Wanted
from cowslipfork_direct.status_timeout import MAX_TIMEOUT

log = logging.getLogger(__name__)

#: Seconds between two rounds of status requests while an endpoint returns no
#: status.
INSPECT_PAUSE: Final = 0.05

#: Seconds that a statement waits for the leader lease before it is sent.
LEASE_WAIT: Final = 0.25

#: Seconds after such a wait timed out for which no statement waits.
NO_LEASE_PAUSE: Final = 0.25

#: Fraction of the age that reads accept after which the primary is asked for
#: its mark.
SAMPLE_AGE_FRACTION: Final = 0.6

#: Seconds between two rounds of status requests to endpoints whose last status
#: was of another term than the primary's.
OUTDATED_STATUS_PAUSE: Final = 0.25

#: Seconds between two rounds of status requests while there is no primary.
LEADER_SEARCH_PAUSE: Final = 0.05

#: Class of the node's own status requests in the queue of a group.
_CONTROL: Final = RequestClass(ClassName('control'), 1, 1, MAX_TIMEOUT)


#: Control requests leave the state of a connection as it is.
_ANY: Final = Wanted({}, any_workspace=True)


class EndpointMonitor:
    """Requests the statuses of one group's endpoints as needed."""

    def __init__(self, group: Group) -> None:
        """Starts without requests; ``run`` serves them.

        Args:
            group: the group whose endpoints are asked, updated with their
                statuses.
        """
        self._group = group
        self._renewal_requested = asyncio.Event()
        self._sample_requested = asyncio.Event()
        self._statuses_requested = asyncio.Event()
        self._replica_statuses_requested = asyncio.Event()
        self._no_wait_until: float = 0
        self._leader_status_need: LeaseNeed | None = None
        self._waiting_for_lease = 0

    def request_lease_renewal(self) -> None:
        """Requests a renewal of the leader lease if it is due."""
        if self._group.leader_lease.renewal_due:
            self._renewal_requested.set()

    def request_sample(self, max_age: float) -> None:
        """Requests the primary's mark if the newest sample is too old.

        Reads with a maximum age need it, and it shows whether the primary
        answers while there are no writes.

        Args:
            max_age: greatest age in seconds that the reads accept.
        """
        newest = self._group.mark_history.newest_begun
        if boot_time() >= newest + max_age * SAMPLE_AGE_FRACTION:
            self._sample_requested.set()

    def request_outdated_statuses(self) -> None:
        """Requests the statuses of endpoints that were of another term."""
        self._statuses_requested.set()

    def request_replica_statuses(self) -> None:
        """Requests the statuses of all reachable replicas."""
        self._replica_statuses_requested.set()

    async def wait_for_lease(
        self,
        leader: Leader,
        need: LeaseNeed,
        until: float,
    ) -> bool:
        """Waits until the leader lease satisfies a need.

        Args:
            leader: the primary that answered.
            need: what must be proved, in boot time.
            until: loop time at which the wait ends.

        Returns:
            Whether it is proved; False as soon as the primary changes.
        """
        self._waiting_for_lease += 1
        try:
            async with asyncio.timeout_at(until):
                return await self._await_proof(leader, need)
        except TimeoutError:
            return False
        finally:
            self._waiting_for_lease -= 1

    async def _await_proof(self, leader: Leader, need: LeaseNeed) -> bool:
        group = self._group
        while group.leader == leader:
            if group.leader_lease.satisfies(need):
                return True
            change_event = group.change_event
            self._request_proof(need)
            await change_event.wait()
        return False

    def _request_proof(self, need: LeaseNeed) -> None:
        """Requests what the leader lease lacks to satisfy a need."""
        if self._group.leader_lease.needs_leader_status(need):
            self._leader_status_need = need
        self._renewal_requested.set()

    async def lease_available(self, leader: Leader, need: LeaseNeed) -> bool:
        """Returns whether the leader lease soon satisfies a need.

        Without the lease, the results of work at the primary can't be used.

        Args:
            leader: the primary.
            need: what must be proved, in boot time.

        Returns:
            Whether it is proved, perhaps after a short wait. There is no wait
            if another one timed out a moment ago.
        """
        if self._group.leader == leader and self._group.leader_lease.satisfies(
            need
        ):
            return True
        now = boot_time()
        if now < self._no_wait_until:
            return False
        until = asyncio.get_running_loop().time() + LEASE_WAIT
        if await self.wait_for_lease(leader, need, until):
            return True
        self._no_wait_until = boot_time() + NO_LEASE_PAUSE
        return False

    async def run(self) -> None:
        """Requests statuses and renews the leader lease until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._inspect_unknown())
            tasks.create_task(self._renew_lease())
            tasks.create_task(self._find_leader())
            tasks.create_task(self._sample_mark())
            tasks.create_task(self._inspect_outdated())
            tasks.create_task(self._inspect_replicas())

    async def inspect(self, endpoint: Endpoint) -> bool:
        """Requests an endpoint's status and updates the group with it.

        Args:
            endpoint: the endpoint to ask.

        Returns:
            Whether it answered.
        """
        return await self.control(endpoint, _status) is not None

    async def inspect_all(self, endpoints: Iterable[Endpoint]) -> None:
        """Requests the statuses of several endpoints at once."""
        await asyncio.gather(*map(self.inspect, endpoints))

    async def control(
        self,
        endpoint: Endpoint,
        action: Control,
    ) -> EndpointStatus | None:
        """Sends a control request to an endpoint.

        Args:
            endpoint: the endpoint to ask.
            action: the request; it may change the endpoint's state.

        Returns:
            The status in the answer, already applied to the group; None
            without an answer.
        """
        timeout = endpoint.status_timeout.seconds
        until = asyncio.get_running_loop().time() + timeout
        queued_request = QueuedRequest(
            _CONTROL, lambda: (endpoint.id,), until, True
        )
        checkout = await check_out(self._group, queued_request, _ANY)
        if not isinstance(checkout, Checkout):
            return None
        begun = boot_time()
        with checkout:
            try:
                status = await checkout.control(action, until)
            except LinkLost as error:
                log.info('status_lost', extra={'cause': str(error)})
                if asyncio.get_running_loop().time() >= until:
                    endpoint.status_timeout.record_timeout(timeout)
                return None
        endpoint.status_timeout.record_answer(boot_time() - begun)
        if status is not None:
            self._group.observe(endpoint.id, status, begun)
        return status

    async def control_all(
        self,
        endpoints: Iterable[Endpoint],
        action: Control,
    ) -> list[EndpointStatus | None]:
        """Sends a control request to several endpoints at once.

        Args:
            endpoints: the endpoints to ask.
            action: the request, as for ``control``.

        Returns:
            The result of ``control`` for each endpoint, in their order.
        """
        requests = [self.control(endpoint, action) for endpoint in endpoints]
        return list(await asyncio.gather(*requests))

    async def _inspect_unknown(self) -> None:
        """Inspects reachable endpoints without a known status."""
        while True:
            await self._group.uninspected.wait()
            await self._group.activity.wait()
            self._group.uninspected.clear()
            unknown = [
                endpoint
                for endpoint in self._group.reachable_endpoints
                if self._group.observed_status(endpoint.id) is None
            ]
            answered = await asyncio.gather(*map(self.inspect, unknown))
            if not all(answered):
                self._group.uninspected.set()
                await asyncio.sleep(INSPECT_PAUSE)

    async def _find_leader(self) -> None:
        """Inspects all reachable endpoints while there is no primary.

        A node that the store does not serve has no other way to find a new
        primary.
        """
        while True:
            await self._group.activity.wait()
            change_event = self._group.change_event
            if self._group.leader is not None:
                await change_event.wait()
                continue
            await self.inspect_all(self._group.reachable_endpoints)
            await asyncio.sleep(LEADER_SEARCH_PAUSE)

    async def _inspect_outdated(self) -> None:
        """Inspects endpoints that are not in the primary's term on request."""
        while True:
            await self._statuses_requested.wait()
            outdated = [
                endpoint
                for endpoint in self._replicas()
                if not self._group.follows(endpoint.id)
            ]
            await self.inspect_all(outdated)
            await asyncio.sleep(OUTDATED_STATUS_PAUSE)
            self._statuses_requested.clear()

    async def _inspect_replicas(self) -> None:
        """Inspects all reachable replicas on request."""
        while True:
            await self._replica_statuses_requested.wait()
            self._replica_statuses_requested.clear()
            await self.inspect_all(self._replicas())

    async def _sample_mark(self) -> None:
        """Requests the primary's mark when a sample is requested."""
        while True:
            await self._sample_requested.wait()
            leader = self._group.leader
            endpoint = leader and self._group.endpoints.get(leader.endpoint)
            if endpoint:
                await self.inspect(endpoint)
            await asyncio.sleep(INSPECT_PAUSE)
            self._sample_requested.clear()

    async def _renew_lease(self) -> None:
        """Renews the leader lease when that is requested."""
        while True:
            await self._renewal_requested.wait()
            self._renewal_requested.clear()
            if self._group.leader is None or not self._proof_missing:
                continue
            await asyncio.gather(self._extend_lease(), self._ask_leader())
            if self._proof_missing:
                log.warning(
                    'leader_not_proved', extra={'group': self._group.name}
                )
                await asyncio.sleep(INSPECT_PAUSE)
                if self._waiting_for_lease:
                    self._renewal_requested.set()

    @property
    def _proof_missing(self) -> bool:
        return (
            self._group.leader_lease.renewal_due or self._leader_status_missing
        )

    @property
    def _leader_status_missing(self) -> bool:
        """Whether a statement waits for a status of the primary itself."""
        need = self._leader_status_need
        return (
            need is not None
            and self._group.leader_lease.needs_leader_status(need)
        )

    async def _extend_lease(self) -> None:
        needed = self._group.confirmations_needed
        replicas = self._replicas()
        if self._group.leader_lease.renewal_due:
            await self.inspect_all(replicas[:needed])
        if self._group.leader_lease.renewal_due:
            await self.inspect_all(replicas[needed:])

    async def _ask_leader(self) -> None:
        leader = self._group.leader
        endpoint = leader and self._group.endpoints.get(leader.endpoint)
        if endpoint and self._leader_status_missing:
            await self.inspect(endpoint)

    def _replicas(self) -> list[Endpoint]:
        """Returns reachable replicas, those with the least load first."""
        group = self._group
        candidates = [
            endpoint
            for endpoint in group.reachable_endpoints
            if not group.leads(endpoint.id)
        ]
        return sorted(candidates, key=_load)


def _load(endpoint: Endpoint) -> int:
    return endpoint.in_use


async def _status(link: Link) -> EndpointStatus | None:
    return await link.status()
