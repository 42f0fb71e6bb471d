"""Carries out one change of primary.

Stops the use of the old primary, chooses a candidate, orders its promotion and
records the result.
"""

from __future__ import annotations

import asyncio
import logging
from contextlib import suppress
from typing import Final

from cowslipfork.ids import EndpointId, Mark
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint_monitor import EndpointMonitor
from cowslipfork_direct.group import Group
from cowslipfork_direct.link import EndpointRole
from cowslipfork_direct.promotion import OrderResult, PromotionOrder
from cowslipfork_direct.takeover.claims import Claim
from cowslipfork_direct.takeover.decision import (
    Abandon,
    Demote,
    Promote,
    Step,
    Wait,
    may_abandon_unseen,
    next_step,
)
from cowslipfork_direct.takeover.departure_tracker import DepartureTracker
from cowslipfork_direct.takeover.endpoint_orders import EndpointOrders
from cowslipfork_direct.takeover.evidence_collector import EvidenceCollector
from cowslipfork_direct.takeover.fencing import Fencing
from cowslipfork_direct.takeover.held_claim import HeldClaim
from cowslipfork_direct.takeover.records import (
    Takeover,
    TakeoverKind,
    TakeoverPhase,
)
from cowslipfork_direct.takeover.takeover_context import TakeoverContext
from cowslipfork_direct.waiting import wait_for_any

log = logging.getLogger(__name__)

#: Seconds that a replica has to receive the whole log of the old primary before
#: a handover.
CATCH_UP_TIMEOUT: Final = 1.0

#: Seconds between two status requests during that time, and between two
#: attempts of any other step.
RETRY_INTERVAL: Final = 0.05

#: Seconds after which a takeover is given up if no order was accepted.
TAKEOVER_TIMEOUT: Final = 8.0

#: Seconds for which the end of an abandoned takeover waits for replicas.
RESUME_TIMEOUT: Final = 0.25

#: Seconds that the candidate has to become primary after the platform accepted
#: the order.
PROMOTION_TIMEOUT: Final = 4.0


class Promoter:
    """Carries out one takeover that this node has claimed."""

    def __init__(
        self,
        context: TakeoverContext,
        group: Group,
        endpoint_monitor: EndpointMonitor,
        departure_tracker: DepartureTracker,
        claim: Claim,
    ) -> None:
        """Starts the takeover's timeout; the claim is already written.

        Args:
            context: dependencies of a takeover's steps.
            group: group whose primary changes.
            endpoint_monitor: endpoint monitor of the group.
            departure_tracker: tells which replicas have left with commits.
            claim: the claimed takeover.
        """
        self._context = context
        self._group = group
        self._endpoint_monitor = endpoint_monitor
        self._evidence_collector = EvidenceCollector(
            context, group, endpoint_monitor, departure_tracker
        )
        self._held_claim = HeldClaim(context.claims, claim)
        self._endpoint_orders = EndpointOrders(
            self._held_claim, endpoint_monitor
        )
        self._deadline = boot_time() + TAKEOVER_TIMEOUT
        self._fencing = Fencing(
            context,
            group,
            self._endpoint_orders,
            claim.takeover,
            self._deadline,
        )
        #: Endpoints that the platform can't promote now.
        self._refused: set[EndpointId] = set()
        #: Endpoint of an order without an answer.
        self._uncertain: EndpointId | None = None

    @property
    def _takeover(self) -> Takeover:
        return self._held_claim.takeover

    async def run(self) -> None:
        """Promotes a replica or abandons the takeover.

        The takeover is abandoned if the use of the old primary can't be
        stopped in time, unless another endpoint may have become primary.
        """
        if await self._fencing.stop_old_primary():
            await self._promote()
        elif may_abandon_unseen(self._takeover):
            await self.abandon()
        else:
            log.error('takeover_stuck', extra={'group': self._group.name})

    async def _promote(self) -> None:
        """Orders promotions until one is accepted.

        After an order without an answer its endpoint may become primary, and
        nodes would use it. No other one is ordered then until the takeover
        has been claimed anew, so that all nodes stop again.
        """
        stopped_at = boot_time()
        while not self._lost_claim():
            if boot_time() >= self._deadline:
                log.error('takeover_stuck', extra={'group': self._group.name})
                return
            if await self._take_step(await self._next_step(stopped_at)):
                return
            await asyncio.sleep(RETRY_INTERVAL)

    async def _next_step(self, stopped_at: float) -> Step:
        """Returns the next step.

        Args:
            stopped_at: boot time since which the old primary is not used.
        """
        if self._uncertain is not None:
            return Promote(self._uncertain)
        if self._takeover.kind is TakeoverKind.HANDOVER:
            await self._await_catch_up()
        evidence = await self._evidence_collector.collect(
            self._takeover, stopped_at
        )
        step = next_step(self._takeover, evidence, self._refused)
        if isinstance(step, Wait):
            self._evidence_collector.log_wait(self._takeover, evidence)
        return step

    async def _take_step(self, step: Step) -> bool:
        """Takes a step.

        Returns:
            Whether this promoter has nothing more to do.
        """
        match step:
            case Promote(candidate):
                return await self._promote_candidate(candidate)
            case Abandon():
                await self.abandon()
                return True
            case Demote(endpoint):
                await self._demote(endpoint)
        self._refused.clear()
        return False

    async def _demote(self, name: EndpointId) -> None:
        log.warning(
            'doubtful_primary_demoted',
            extra={
                'group': self._group.name,
                'endpoint': name,
                'ceiling': self._takeover.ceiling,
            },
        )
        await self._fencing.demote(name)

    async def _promote_candidate(self, candidate: EndpointId) -> bool:
        """Orders the promotion of a candidate once.

        Returns:
            Whether this promoter has nothing more to do.
        """
        result = await self._order(candidate)
        if result is OrderResult.ACCEPTED:
            await self._finish(candidate)
            return True
        if result is OrderResult.LOST:
            self._uncertain = candidate
        if result is OrderResult.NOT_RUNNING:
            self._refused.add(candidate)
        return self._uncertain in self._refused

    def _received_mark(self, name: EndpointId) -> Mark | None:
        observed = self._group.observed_status(name)
        if observed is None or observed.status.role is EndpointRole.PRIMARY:
            return None
        return observed.status.received

    async def _await_catch_up(self) -> None:
        """Waits until a replica has received the old primary's whole log.

        Returns after ``CATCH_UP_TIMEOUT`` in any case.
        """
        begun_at = boot_time()
        while boot_time() < begun_at + CATCH_UP_TIMEOUT:
            await asyncio.gather(
                *map(
                    self._endpoint_monitor.inspect,
                    self._group.reachable_endpoints,
                ),
            )
            if self._has_caught_up(begun_at):
                return
            await asyncio.sleep(RETRY_INTERVAL)

    def _has_caught_up(self, stopped_at: float) -> bool:
        """Returns whether a replica has the old primary's whole log.

        True as well if the old primary or all others can't be reached.

        Args:
            stopped_at: boot time since which the old primary is not used; its
                mark of an earlier request may be too low.
        """
        old = self._takeover.old
        endpoint = self._group.endpoints.get(old) if old else None
        if endpoint is None or endpoint.unreachable_since is not None:
            return True
        observed = self._group.observed_status(endpoint.id)
        if observed is None or observed.begun < stopped_at:
            return False
        received = [
            self._received_mark(other.id)
            for other in self._group.reachable_endpoints
            if other.id != old and other.id not in self._refused
        ]
        return not received or any(
            mark is not None and mark >= observed.status.received
            for mark in received
        )

    async def _order(self, candidate: EndpointId) -> OrderResult:
        """Orders the platform to promote a candidate.

        Returns:
            The platform's answer; ``TRY_AGAIN`` if the claim could not be
            confirmed and no order was sent.
        """
        if (
            self._takeover.phase is not TakeoverPhase.ORDERED
            or self._takeover.candidate != candidate
            or not self._may_order()
        ):
            advanced = await self._held_claim.advance(
                TakeoverPhase.ORDERED, candidate
            )
            if not advanced:
                return OrderResult.TRY_AGAIN
        deadline = self._held_claim.deadline
        if deadline is None or not self._may_order():
            # This node was suspended after the write, and another node may
            # have resumed the takeover meanwhile.
            return OrderResult.TRY_AGAIN
        order = PromotionOrder(
            self._group.name,
            candidate,
            self._context.node,
            self._held_claim.fence,
            deadline,
        )
        result = await self._context.promotions.order(order)
        self._context.metrics.count_takeover_step(f'order_{result.value}')
        log.warning(
            'promotion_ordered',
            extra={
                'group': self._group.name,
                'candidate': candidate,
                'term': self._takeover.term,
                'fence': order.fence,
                'result': result.value,
            },
        )
        return result

    def _may_order(self) -> bool:
        """Returns whether the claim is recent and its fence the newest."""
        recent = self._held_claim.deadline is not None
        return recent and self._held_claim.fence > 0

    async def _finish(self, candidate: EndpointId) -> None:
        """Waits until the candidate is primary and records that."""
        deadline = boot_time() + PROMOTION_TIMEOUT
        while boot_time() < deadline and not self._candidate_leads():
            await wait_for_any(self._group.change_event, timeout=RETRY_INTERVAL)
        if not self._candidate_leads():
            log.error(
                'promotion_without_effect',
                extra={'group': self._group.name, 'candidate': candidate},
            )
            return
        self._context.metrics.count_takeover_step('done')
        leader = self._group.leader
        await self._held_claim.advance(
            TakeoverPhase.DONE, term=leader.term if leader else None
        )

    def _candidate_leads(self) -> bool:
        leader = self._group.leader
        return leader is not None and leader.endpoint == (
            self._takeover.candidate
        )

    def _lost_claim(self) -> bool:
        if not self._context.settlement.settled:
            return True
        cached = self._context.takeover_cache.takeover(self._group.name)
        return (
            cached is not None and cached.takeover.claim != self._takeover.claim
        )

    async def abandon(self) -> None:
        """Ends the takeover; no promotion was ordered in it.

        The replicas that were held receive from the old primary again. They
        do so before the end is recorded: once it is, another node may hold
        them anew. Those that don't answer are left to ``HeldReplicas``.
        """
        self._context.metrics.count_takeover_step('abandoned')
        log.warning('takeover_abandoned', extra={'group': self._group.name})
        if self._held_claim.deadline is None:
            # Not within the timeout: a write that is given up may take effect.
            await self._held_claim.advance(self._takeover.phase)
        with suppress(TimeoutError):
            async with asyncio.timeout(RESUME_TIMEOUT):
                await self._endpoint_orders.resume(
                    self._group.reachable_endpoints
                )
        await self._held_claim.advance(TakeoverPhase.ABANDONED)
