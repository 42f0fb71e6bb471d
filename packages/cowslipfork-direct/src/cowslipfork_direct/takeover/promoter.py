"""Carries out one change of primary: fences, chooses, orders, records."""

from __future__ import annotations

import asyncio
import logging
from typing import Final

from cowslipfork.ids import EndpointId, Mark
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint_monitor import EndpointMonitor
from cowslipfork_direct.group import Group
from cowslipfork_direct.link import EndpointRole, EndpointStatus, Link
from cowslipfork_direct.promotion import OrderResult, PromotionOrder
from cowslipfork_direct.takeover.claims import Claim
from cowslipfork_direct.takeover.fencing import Fencing
from cowslipfork_direct.takeover.records import (
    Takeover,
    TakeoverKind,
    TakeoverPhase,
)
from cowslipfork_direct.takeover.takeover_context import TakeoverContext
from cowslipfork_direct.waiting import wait_for_any

log = logging.getLogger(__name__)

#: Seconds for a replica to receive all of a primary that is handed over.
CATCH_UP: Final = 1.0

#: Seconds between two questions for that, and between two other tries.
STEP_PAUSE: Final = 0.05

#: Seconds after which a takeover that can't go on is given up.
GIVE_UP_AFTER: Final = 8.0

#: Greatest age in seconds of a claim's last write when an order is sent. Who
#: takes a takeover over from another node waits ``LAPSE`` longer.
MAX_CLAIM_AGE: Final = 0.5

#: Seconds for the candidate to lead after the order was accepted.
EFFECT_TIMEOUT: Final = 4.0


class Promoter:
    """One takeover that this node has claimed."""

    def __init__(
        self,
        context: TakeoverContext,
        group: Group,
        endpoint_monitor: EndpointMonitor,
        claim: Claim,
    ) -> None:
        """Starts after the claim was written.

        Args:
            context: what it works with.
            group: whose primary changes.
            endpoint_monitor: asks its endpoints.
            claim: the takeover.
        """
        self._context = context
        self._group = group
        self._endpoint_monitor = endpoint_monitor
        self._claim = claim
        self._give_up_at = boot_time() + GIVE_UP_AFTER

    @property
    def _takeover(self) -> Takeover:
        return self._claim.takeover

    async def run(self) -> None:
        """Promotes a replica, or gives the takeover up."""
        fencing = Fencing(
            self._context,
            self._group,
            self._endpoint_monitor,
            self._takeover,
            self._give_up_at,
        )
        if await fencing.stop():
            await self._promote()
        else:
            await self._abandon()

    async def _promote(self) -> None:
        refused: set[EndpointId] = set()
        while boot_time() < self._give_up_at:
            candidate = await self._candidate(refused)
            if candidate is None:
                refused.clear()
                await asyncio.sleep(STEP_PAUSE)
                continue
            result = await self._order(candidate)
            if result is OrderResult.ACCEPTED:
                await self._finish(candidate)
                return
            if result is OrderResult.NOT_RUNNING:
                refused.add(candidate)
            if self._lost_claim():
                return
            await asyncio.sleep(STEP_PAUSE)
        log.error('takeover_stuck', extra={'group': self._group.name})

    async def _candidate(self, refused: set[EndpointId]) -> EndpointId | None:
        """Chooses the replica that has received most."""
        handover = self._takeover.kind is TakeoverKind.HANDOVER
        if handover:
            await self._await_catch_up(refused)
        received = {
            endpoint.id: self._received(endpoint.id)
            for endpoint in self._group.answering
            if endpoint.id not in refused
            and (endpoint.id != self._takeover.old or not handover)
        }
        known = {
            name: mark for name, mark in received.items() if mark is not None
        }
        if not known:
            return None
        return max(known, key=lambda name: (known[name], self._stays(name)))

    def _stays(self, name: EndpointId) -> bool:
        endpoint = self._group.endpoints[name]
        return not endpoint.listed.leaving

    def _received(self, name: EndpointId) -> Mark | None:
        observed = self._group.observed_status(name)
        if observed is None or observed.status.role is EndpointRole.PRIMARY:
            return None
        return observed.status.received

    async def _await_catch_up(self, refused: set[EndpointId]) -> None:
        """Waits until a replica has received all of the old primary."""
        until = boot_time() + CATCH_UP
        while boot_time() < until:
            await asyncio.gather(
                *map(self._endpoint_monitor.inspect, self._group.answering),
            )
            old = self._takeover.old
            observed = self._group.observed_status(old) if old else None
            received = [
                self._received(endpoint.id)
                for endpoint in self._group.answering
                if endpoint.id != old and endpoint.id not in refused
            ]
            if observed is None or any(
                mark is not None and mark >= observed.status.received
                for mark in received
            ):
                return
            await asyncio.sleep(STEP_PAUSE)

    async def _order(self, candidate: EndpointId) -> OrderResult:
        """Has the platform promote a candidate."""
        if (
            self._takeover.phase is not TakeoverPhase.ORDERED
            or self._takeover.candidate != candidate
            or not self._may_order()
        ):
            advanced = await self._context.claims.advance(
                self._claim,
                TakeoverPhase.ORDERED,
                candidate,
            )
            if advanced is None:
                return OrderResult.TRY_AGAIN
            self._claim = advanced
        if not self._may_order():
            # This node was frozen meanwhile, and another may have gone on.
            return OrderResult.TRY_AGAIN
        order = PromotionOrder(
            self._group.name,
            candidate,
            self._context.node,
            self._claim.fence,
        )
        result = await self._context.promotions.order(order)
        self._context.metrics.count_takeover_step(f'order_{result.value}')
        log.warning(
            'promotion_ordered',
            extra={
                'group': self._group.name,
                'candidate': candidate,
                'term': self._takeover.term,
                'fence': self._claim.fence,
                'result': result.value,
            },
        )
        return result

    def _may_order(self) -> bool:
        """Tells whether the claim is young and its fence the newest known."""
        young = boot_time() - self._claim.confirmed_at <= MAX_CLAIM_AGE
        return young and self._context.claims.fence_of(self._claim) > 0

    async def _finish(self, candidate: EndpointId) -> None:
        """Waits until the candidate leads and records it."""
        until = boot_time() + EFFECT_TIMEOUT
        while boot_time() < until and not self._led():
            await wait_for_any(self._group.change_event, timeout=STEP_PAUSE)
        if not self._led():
            log.error(
                'promotion_without_effect',
                extra={'group': self._group.name, 'candidate': candidate},
            )
            return
        self._context.metrics.count_takeover_step('done')
        leader = self._group.leader
        advanced = await self._context.claims.advance(
            self._claim,
            TakeoverPhase.DONE,
            term=leader.term if leader else None,
        )
        if advanced is not None:
            self._claim = advanced

    def _led(self) -> bool:
        leader = self._group.leader
        return leader is not None and leader.endpoint == (
            self._takeover.candidate
        )

    def _lost_claim(self) -> bool:
        cached = self._context.takeover_cache.takeover(self._group.name)
        return (
            cached is not None and cached.takeover.claim != self._takeover.claim
        )

    async def _abandon(self) -> None:
        """Gives the takeover up before anything was ordered."""
        self._context.metrics.count_takeover_step('abandoned')
        log.warning('takeover_abandoned', extra={'group': self._group.name})
        await self._context.claims.advance(self._claim, TakeoverPhase.ABANDONED)
        await self._endpoint_monitor.control_all(self._group.answering, _resume)


async def _resume(link: Link) -> EndpointStatus | None:
    return await link.resume()
