"""Stops the use of an old primary, by all nodes, before another leads."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final

from cowslipfork.ids import Term, VmId
from cowslipfork.store import StoreDown
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint_monitor import EndpointMonitor
from cowslipfork_direct.group import Group
from cowslipfork_direct.leader_lease import (
    CONFIRMATION_VALIDITY,
    RENEWAL_VALIDITY,
)
from cowslipfork_direct.link import EndpointRole, EndpointStatus, Link
from cowslipfork_direct.takeover.records import Takeover, TakeoverKind
from cowslipfork_direct.takeover.takeover_context import TakeoverContext

log = logging.getLogger(__name__)

#: Seconds that nodes get to say that they have stopped.
WORD_TIMEOUT: Final = 0.25

#: Seconds that they get before a handover, where they let work end first.
HANDOVER_WORD_TIMEOUT: Final = 0.6

#: Seconds between two tries.
STEP_PAUSE: Final = 0.05


class Fencing:
    """Keeps everybody from the old primary of one takeover."""

    def __init__(
        self,
        context: TakeoverContext,
        group: Group,
        endpoint_monitor: EndpointMonitor,
        takeover: Takeover,
        until: float,
    ) -> None:
        """Fences nothing until ``stop``.

        Args:
            context: what it works with.
            group: whose primary changes.
            endpoint_monitor: asks its endpoints.
            takeover: the change of primary.
            until: boot time at which it gives up.
        """
        self._context = context
        self._group = group
        self._endpoint_monitor = endpoint_monitor
        self._takeover = takeover
        self._until = until

    async def stop(self) -> bool:
        """Makes sure that nothing is acknowledged from the old primary.

        Returns:
            Whether it is sure.
        """
        if self._takeover.kind is TakeoverKind.HANDOVER:
            if await self._all_stopped(HANDOVER_WORD_TIMEOUT):
                return True
            if await self._demote_old():
                return True
        return await self._fence()

    async def _fence(self) -> bool:
        """Holds the replicas and waits until every node has stopped.

        A node stops when it sees the record, or when its proofs lapse: those
        of its lease, which is ended here, and those of endpoints, a majority
        of which is held here.
        """
        while boot_time() < self._until:
            fenced, words = await asyncio.gather(
                self._hold_replicas(),
                self._all_stopped(WORD_TIMEOUT),
            )
            if words:
                return True
            enough = len(self._group.endpoints) - self._group.majority + 1
            if fenced >= enough and await self._let_proofs_lapse():
                return True
            log.warning(
                'takeover_waits',
                extra={
                    'group': self._group.name,
                    'fenced': fenced,
                    'enough': enough,
                },
            )
            await asyncio.sleep(STEP_PAUSE)
        return False

    async def _all_stopped(self, timeout: float) -> bool:
        """Waits until the living nodes have said that they stopped.

        Returns:
            Whether all registered nodes have; those without a lease are not
            waited for, though they count.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._until_living_stopped()
        return not self._not_stopped()

    async def _until_living_stopped(self) -> None:
        change_event = self._context.takeover_cache.change_event
        while self._not_stopped() & self._context.fleet.alive:
            await change_event.wait()
            change_event = self._context.takeover_cache.change_event

    def _not_stopped(self) -> frozenset[VmId]:
        stopped = self._context.takeover_cache.stopped(self._takeover)
        return frozenset(self._context.fleet.registered) - stopped

    async def _let_proofs_lapse(self) -> bool:
        """Waits until nodes that did not say so must have stopped as well.

        Returns:
            Whether they have.
        """
        silent = self._not_stopped()
        try:
            validity = await self._end_leases(silent)
        except StoreDown as error:
            log.warning('lease_not_ended', extra={'cause': str(error)})
            return False
        log.warning(
            'leases_ended',
            extra={
                'group': self._group.name,
                'nodes': ','.join(sorted(silent)),
                'wait': validity,
            },
        )
        await asyncio.sleep(validity)
        return True

    async def _end_leases(self, silent: frozenset[VmId]) -> float:
        """Ends the leases of nodes.

        Returns:
            Seconds for which they may still hold a proof. A lease that ran
            out was renewed for the last time long ago; one that another
            takeover has ended, perhaps not.
        """
        registered = self._context.fleet.registered
        ended = [
            await self._context.store.end(registered[node].lease)
            for node in silent
        ]
        others = self._context.takeover_cache.seen_within(
            RENEWAL_VALIDITY,
            besides=self._group.name,
        )
        return (
            RENEWAL_VALIDITY if others or any(ended) else CONFIRMATION_VALIDITY
        )

    async def _hold_replicas(self) -> int:
        """Holds all replicas; counts endpoints that take nothing from X."""
        old = self._takeover.old
        replicas = [
            endpoint for endpoint in self._group.answering if endpoint.id != old
        ]
        term = self._fence_term()
        held = await self._endpoint_monitor.control_all(replicas, _hold(term))
        demoted = 0
        former = self._group.endpoints.get(old) if old else None
        if former is not None and former.silent_since is None:
            demoted = int(await self._demote_old())
        return demoted + sum(
            status is not None and status.held_term >= term for status in held
        )

    def _fence_term(self) -> Term:
        """Term at which endpoints are fenced: above all that they are in."""
        return max(self._takeover.term, Term(self._group.highest_term + 1))

    async def _demote_old(self) -> bool:
        old = self._takeover.old
        endpoint = self._group.endpoints.get(old) if old else None
        if endpoint is None:
            return False
        term = self._fence_term()
        status = await self._endpoint_monitor.control(endpoint, _demote(term))
        return status is not None and status.role is EndpointRole.REPLICA


def _hold(
    term: Term,
) -> Callable[[Link], Awaitable[EndpointStatus | None]]:
    async def hold(link: Link) -> EndpointStatus | None:
        return await link.hold(term)

    return hold


def _demote(
    term: Term,
) -> Callable[[Link], Awaitable[EndpointStatus | None]]:
    async def demote(link: Link) -> EndpointStatus | None:
        return await link.demote(term)

    return demote
