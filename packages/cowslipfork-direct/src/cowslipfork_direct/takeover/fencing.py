"""Stops all nodes from using an old primary before another is promoted."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from contextlib import suppress
from typing import Final

from cowslipfork.ids import EndpointId, Term, VmId
from cowslipfork.store import StoreDown
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.fleet import (
    NODES_PREFIX,
    Registered,
    decode_registered,
)
from cowslipfork_direct.group import Group
from cowslipfork_direct.leader_lease import (
    CONFIRMATION_VALIDITY,
    RENEWAL_VALIDITY,
)
from cowslipfork_direct.link import EndpointRole
from cowslipfork_direct.store_era import ONLY_ERA
from cowslipfork_direct.takeover.endpoint_orders import EndpointOrders
from cowslipfork_direct.takeover.records import Takeover, TakeoverKind
from cowslipfork_direct.takeover.takeover_context import TakeoverContext

log = logging.getLogger(__name__)

#: Seconds within which nodes have to acknowledge that they have stopped.
STOP_ACK_TIMEOUT: Final = 0.25

#: The same before a handover, in seconds: nodes let open work end first.
HANDOVER_STOP_ACK_TIMEOUT: Final = 0.6

#: Seconds between two attempts.
RETRY_INTERVAL: Final = 0.05


class Fencing:
    """Stops the use of the old primary in one takeover."""

    def __init__(
        self,
        context: TakeoverContext,
        group: Group,
        endpoint_orders: EndpointOrders,
        takeover: Takeover,
        deadline: float,
    ) -> None:
        """Sends nothing until ``stop_old_primary``.

        Args:
            context: dependencies of a takeover's steps.
            group: group whose primary changes.
            endpoint_orders: holds and demotes endpoints.
            takeover: the change of primary.
            deadline: boot time at which it gives up.
        """
        self._context = context
        self._group = group
        self._endpoint_orders = endpoint_orders
        self._takeover = takeover
        self._deadline = deadline
        self._registered: Mapping[VmId, Registered] = {}

    async def stop_old_primary(self) -> bool:
        """Ensures that no node acknowledges work of the old primary any more.

        Returns:
            Whether that is certain; false if the deadline passed before.
        """
        if not await self._read_registered():
            return False
        handover = self._takeover.kind is TakeoverKind.HANDOVER
        if handover and await self._stop_reachable_primary():
            return True
        return await self._fence_until_stopped()

    async def _read_registered(self) -> bool:
        """Reads which nodes may use the old primary.

        The copy that a watch keeps may be seconds old. A node that registers
        after this has read the takeover, which is claimed already, before its
        lease proves anything.

        Returns:
            Whether they were read before the deadline.
        """
        while boot_time() < self._deadline:
            try:
                entries, _ = await self._context.store.list_prefix(NODES_PREFIX)
            except StoreDown as error:
                log.info('nodes_not_read', extra={'cause': str(error)})
                await asyncio.sleep(RETRY_INTERVAL)
                continue
            decoded = {
                VmId(entry.key.removeprefix(NODES_PREFIX)): decode_registered(
                    entry.content
                )
                for entry in entries
            }
            self._registered = {
                node: registered
                for node, registered in decoded.items()
                if registered is not None
            }
            return True
        return False

    async def _stop_reachable_primary(self) -> bool:
        """Waits until every node has stopped, or demotes the old primary.

        No replica is held meanwhile: it would not receive what nodes that have
        not stopped yet still commit.

        A demoted primary refuses writes and says that it does not lead. It
        still serves reads, which nodes accept while what the last renewal of
        their store lease proved is valid.

        Returns:
            Whether the use of the old primary has ended; false if it became
            unreachable or the deadline passed before.
        """
        timeout = HANDOVER_STOP_ACK_TIMEOUT
        while boot_time() < self._deadline:
            if await self._all_stopped(timeout):
                return True
            if (
                await self._demote_old_primary()
                and await self._let_leader_leases_expire(
                    confirmation_validity=0
                )
            ):
                return True
            if not self._old_primary_reachable():
                return False
            timeout = STOP_ACK_TIMEOUT
            await asyncio.sleep(RETRY_INTERVAL)
        return False

    async def _fence_until_stopped(self) -> bool:
        """Holds the replicas and waits until every node has stopped.

        A node stops when it sees the takeover's record or when its leader
        lease expires. The leader lease is extended by renewals of the node's
        store lease, which is ended here, and by confirmations of the primary
        and of replicas. How many replicas it needs follows from the entries
        that it has read, which may not be those that this node has read, so
        either the primary is demoted or all replicas are held.

        Returns:
            Whether every node has stopped; false at the deadline.
        """
        while boot_time() < self._deadline:
            confirmation_impossible, all_stopped = await asyncio.gather(
                self._prevent_confirmation(),
                self._all_stopped(STOP_ACK_TIMEOUT),
            )
            if all_stopped:
                return True
            if confirmation_impossible and await self._let_leader_leases_expire(
                CONFIRMATION_VALIDITY
            ):
                return True
            await asyncio.sleep(RETRY_INTERVAL)
        return False

    async def _all_stopped(self, timeout: float) -> bool:
        """Waits until the live nodes have acknowledged that they stopped.

        Returns:
            Whether all registered nodes have. Nodes without a lease count as
            well, but are not waited for. If the store has ever lost records,
            a node that still serves may be missing from the list.
        """
        await self._wait_until_stopped(self._context.fleet.alive, timeout)
        complete = self._context.settlement.records_complete
        return complete and not self._not_stopped()

    async def _wait_until_stopped(
        self, nodes: frozenset[VmId], timeout: float
    ) -> None:
        """Waits until nodes have acknowledged, or for a time-out."""
        change_event = self._context.takeover_cache.change_event
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while self._not_stopped() & nodes:
                    await change_event.wait()
                    change_event = self._context.takeover_cache.change_event

    def _not_stopped(self) -> frozenset[VmId]:
        stopped = self._context.takeover_cache.stopped(self._takeover)
        return frozenset(
            node
            for node, registered in self._registered.items()
            if node not in stopped
            and not self._context.fleet.has_left(node, registered)
        )

    async def _let_leader_leases_expire(
        self, confirmation_validity: float
    ) -> bool:
        """Waits until nodes without an acknowledgement must have stopped.

        Args:
            confirmation_validity: seconds for which their leader leases may be
                valid without a renewal of their store leases.

        Returns:
            Whether they have; false if the store did not end their leases.
        """
        unacknowledged = self._not_stopped()
        try:
            renewed = await self._end_leases(unacknowledged)
        except StoreDown as error:
            log.warning('lease_not_ended', extra={'cause': str(error)})
            return False
        log.warning(
            'leases_ended',
            extra={
                'group': self._group.name,
                'nodes': ','.join(sorted(unacknowledged)),
                'renewed': ','.join(sorted(renewed)),
                'wait': RENEWAL_VALIDITY if renewed else confirmation_validity,
            },
        )
        await asyncio.gather(
            asyncio.sleep(confirmation_validity),
            self._wait_until_stopped(renewed, RENEWAL_VALIDITY),
        )
        return True

    async def _end_leases(self, nodes: frozenset[VmId]) -> frozenset[VmId]:
        """Ends the store leases of nodes.

        Returns:
            Nodes whose leases may have been renewed a moment ago. One that had
            expired was last renewed long ago, unless another takeover has
            ended it.
        """
        renewable = [
            node
            for node in nodes
            if self._may_be_renewed(self._registered[node])
        ]
        ended = [
            node
            for node in renewable
            if await self._context.store.end(self._registered[node].lease)
        ]
        if len(ended) < len(renewable):
            await self._context.load_takeovers()
        others = self._context.takeover_cache.has_activity_within(
            RENEWAL_VALIDITY,
            excluding=self._group.name,
        )
        return frozenset(renewable if others else ended)

    def _may_be_renewed(self, registered: Registered) -> bool:
        """Returns whether a node's lease is of the store's present era.

        The store may have given an older one's id to another node.
        """
        return registered.era in {ONLY_ERA, self._context.eras.current}

    def _replicas(self) -> frozenset[EndpointId]:
        """Endpoints that some node may let confirm the old primary."""
        return self._group.countable_endpoints - {self._takeover.old}

    async def _prevent_confirmation(self) -> bool:
        """Holds all replicas and demotes the old primary if it answers.

        Returns:
            Whether no node can get the old primary confirmed any more.
        """
        held = await self._hold_replicas()
        replicas = self._replicas()
        not_held = replicas - held
        demoted = (
            self._old_primary_reachable() and await self._demote_old_primary()
        )
        if demoted or (held and not not_held):
            return True
        log.warning(
            'takeover_waits',
            extra={
                'group': self._group.name,
                'fenced': len(held),
                'enough': len(replicas),
                'not_held': ','.join(sorted(not_held)),
            },
        )
        return False

    async def _hold_replicas(self) -> frozenset[EndpointId]:
        """Holds all reachable replicas.

        Returns:
            Replicas that confirm no primary of an earlier term any more.
        """
        replicas = [
            endpoint
            for endpoint in self._group.reachable_endpoints
            if endpoint.id != self._takeover.old
        ]
        term = self._fence_term()
        statuses = await self._endpoint_orders.hold(replicas, term)
        return frozenset(
            endpoint.id
            for endpoint, status in zip(replicas, statuses, strict=True)
            if status is not None and status.held_term >= term
        )

    def _old_primary_reachable(self) -> bool:
        old = self._takeover.old
        endpoint = self._group.endpoints.get(old) if old else None
        return endpoint is not None and endpoint.unreachable_since is None

    def _fence_term(self) -> Term:
        """Returns the term to fence endpoints at, above all their terms."""
        return max(self._takeover.term, Term(self._group.highest_term + 1))

    async def _demote_old_primary(self) -> bool:
        old = self._takeover.old
        return old is not None and await self.demote(old)

    async def demote(self, name: EndpointId) -> bool:
        """Makes a primary of an earlier term a replica.

        Args:
            name: the primary.

        Returns:
            Whether it is a replica now.
        """
        endpoint = self._group.endpoints.get(name)
        if endpoint is None:
            return False
        term = self._fence_term()
        status = await self._endpoint_orders.demote(endpoint, term)
        return status is not None and status.role is EndpointRole.REPLICA
