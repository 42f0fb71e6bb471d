"""Decides whether and when this node changes a group's primary."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import Final

from cowslipfork.ids import EndpointId, VmId
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint_monitor import EndpointMonitor
from cowslipfork_direct.group import Group
from cowslipfork_direct.order_window import has_claim_expired
from cowslipfork_direct.takeover.claims import Claim
from cowslipfork_direct.takeover.departure_tracker import DepartureTracker
from cowslipfork_direct.takeover.held_replicas import HeldReplicas
from cowslipfork_direct.takeover.promoter import Promoter
from cowslipfork_direct.takeover.ranking import DELAY_PER_RANK, write_delay
from cowslipfork_direct.takeover.records import (
    ClaimId,
    Suspicion,
    Takeover,
    TakeoverKind,
    TakeoverPhase,
)
from cowslipfork_direct.takeover.suspicion_reporter import SuspicionReporter
from cowslipfork_direct.takeover.takeover_cache import CachedTakeover
from cowslipfork_direct.takeover.takeover_context import TakeoverContext
from cowslipfork_direct.waiting import wait_for_any

log = logging.getLogger(__name__)

#: Seconds between two checks of conditions that depend on time alone.
POLL_INTERVAL: Final = 0.25

#: One in so many live nodes has to report that a primary is failing.
FAILING_QUORUM_DIVISOR: Final = 5

#: Seconds after a takeover in which a failing primary is not replaced.
FAILING_COOLDOWN: Final = 8.0

#: Seconds between a failed takeover and the next one.
FAILED_TAKEOVER_PAUSE: Final = 1.0


class PrimarySupervisor:
    """Monitors the primary of one group and replaces it when necessary."""

    def __init__(
        self,
        context: TakeoverContext,
        group: Group,
        endpoint_monitor: EndpointMonitor,
        suspicion_reporter: SuspicionReporter,
        departure_tracker: DepartureTracker,
    ) -> None:
        """Claims nothing until ``run``.

        Args:
            context: dependencies of a takeover's steps.
            group: the group.
            endpoint_monitor: endpoint monitor of the group.
            suspicion_reporter: holds this node's suspicion of the primary.
            departure_tracker: tells which replicas have left with commits.
        """
        self._context = context
        self._group = group
        self._endpoint_monitor = endpoint_monitor
        self._suspicion_reporter = suspicion_reporter
        self._departure_tracker = departure_tracker
        self._held_replicas = HeldReplicas(context, group, endpoint_monitor)
        self._last_takeover_at = -math.inf
        self._ended_claim: ClaimId | None = None

    @property
    def _supervisors(self) -> frozenset[VmId]:
        """Live nodes that watch over the group, perhaps without this one."""
        return self._context.supervisors(self._group.name)

    async def run(self) -> None:
        """Claims and carries out takeovers until cancelled."""
        while True:
            change_events = (
                self._group.change_event,
                self._context.takeover_cache.change_event,
            )
            unrecorded = self._unrecorded_takeover()
            if unrecorded is not None:
                await self._record_effect(unrecorded)
                await wait_for_any(*change_events, timeout=POLL_INTERVAL)
                continue
            if self._lacks_candidate():
                self._endpoint_monitor.request_outdated_statuses()
            kind = self.needed_takeover()
            if kind is None:
                await self._release_held_replicas()
                await wait_for_any(*change_events, timeout=POLL_INTERVAL)
                continue
            await asyncio.sleep(self._write_delay())
            if self.needed_takeover() is kind:
                await self._take_over(kind)

    def needed_takeover(self) -> TakeoverKind | None:
        """Returns why the primary has to be changed; None if it has not."""
        if not self._context.settlement.settled:
            # An order of an earlier era may still be on its way.
            return None
        if self._context.node not in self._supervisors:
            return None
        cached = self._context.takeover_cache.takeover(self._group.name)
        if cached is not None and cached.takeover.under_way:
            return cached.takeover.kind if self._may_resume(cached) else None
        suspicion = self._suspicion_reporter.suspicion
        if cached is not None and _is_replaced(suspicion, cached.takeover):
            return None
        if suspicion is not None and self._has_quorum(suspicion):
            return (
                TakeoverKind.HANDOVER
                if suspicion.ill
                else TakeoverKind.FAILOVER
            )
        return TakeoverKind.HANDOVER if self._should_hand_over() else None

    def _should_hand_over(self) -> bool:
        """Returns whether the primary is leaving and a candidate exists."""
        leader = self._group.leader
        cached = self._context.takeover_cache.takeover(self._group.name)
        if leader is None or _was_abandoned_recently(cached):
            return False
        listed = self._group.endpoints[leader.endpoint].listed
        return listed.leaving and self._has_candidate()

    def _may_resume(self, cached: CachedTakeover) -> bool:
        """Returns whether nobody carries a takeover out any more.

        If an earlier process of this node has ordered a promotion, the
        candidate may still become primary.
        """
        takeover = cached.takeover
        if takeover.claim == self._ended_claim:
            return True
        own = takeover.claimer == self._context.node
        if own and takeover.phase is TakeoverPhase.CLAIMED:
            return True
        return has_claim_expired(cached.seen_at, boot_time())

    def _unrecorded_takeover(self) -> CachedTakeover | None:
        """Returns an ordered takeover whose candidate is primary, if any.

        Its promoter has ended, or could not write, before it recorded that.
        """
        cached = self._context.takeover_cache.takeover(self._group.name)
        if (
            cached is None
            or cached.takeover.phase is not TakeoverPhase.ORDERED
            or not self._context.settlement.settled
            or self._context.node not in self._supervisors
        ):
            return None
        own = cached.takeover.claimer == self._context.node
        candidate = cached.takeover.candidate
        if candidate is None or not self._group.leads(candidate):
            return None
        return cached if own or self._may_resume(cached) else None

    async def _record_effect(self, cached: CachedTakeover) -> None:
        """Records the takeover as done, unless another node is about to."""
        await asyncio.sleep(self._write_delay())
        leader = self._group.leader
        if leader is not None and self._unrecorded_takeover() is cached:
            await self._context.claims.record_effect(cached, leader.term)

    def _has_quorum(self, suspicion: Suspicion) -> bool:
        """Returns whether enough live nodes share a suspicion.

        A majority of the electors must have lost contact with a primary before
        a failover. For a failing primary one in ``FAILING_QUORUM_DIVISOR``
        supervisors is enough, since a handover costs little and only nodes
        that use the primary notice.
        """
        reported = self._context.takeover_cache.suspicions(self._group.name)
        agreeing = {
            node
            for node, other in reported.items()
            if suspicion.agrees_with(other)
        } | {self._context.node}
        alive = self._supervisors
        electors = self._context.electors(self._group.name)
        if suspicion.ill:
            recent = self._last_takeover_at + FAILING_COOLDOWN > boot_time()
            needed = min(
                len(alive),
                max(2, len(alive) // FAILING_QUORUM_DIVISOR),
            )
            return len(agreeing & alive) >= needed and not recent
        return len(agreeing & electors) > len(electors) // 2

    def _lacks_candidate(self) -> bool:
        """Returns whether a primary can't be replaced that should be.

        The last status of a replica may be of an earlier term, from before it
        followed this primary.
        """
        leader = self._group.leader
        if leader is None or self._has_candidate():
            return False
        endpoint = self._group.endpoints[leader.endpoint]
        return endpoint.listed.leaving or endpoint.health.failing

    def _has_candidate(self) -> bool:
        return any(
            self._group.follows(endpoint.id)
            and not endpoint.listed.leaving
            and endpoint.unreachable_since is None
            for endpoint in self._group.endpoints.values()
        )

    def _write_delay(self) -> float:
        return write_delay(self._context, self._group.name)

    async def _take_over(self, kind: TakeoverKind) -> None:
        group = self._group
        claim = await self._context.claims.claim(
            group.name, kind, self._old_primary(), group.highest_term
        )
        if claim is None:
            await asyncio.sleep(DELAY_PER_RANK)
        else:
            await self._carry_out(claim)

    def _old_primary(self) -> EndpointId | None:
        """Returns the last primary, which a new process may not have seen."""
        last = self._group.last_leader
        if last is not None:
            return last.endpoint
        cached = self._context.takeover_cache.takeover(self._group.name)
        if cached is not None and cached.takeover.old is not None:
            return cached.takeover.old
        return self._group.listed_primary

    async def _release_held_replicas(self) -> None:
        """Has replicas receive again that no takeover holds any more.

        Only with a claim: another node may be about to hold them.
        """
        self._held_replicas.request_statuses_if_due()
        held = self._held_replicas.find()
        if not held:
            return
        group = self._group
        names = ','.join(sorted(endpoint.id for endpoint in held))
        log.warning(
            'replicas_held', extra={'group': group.name, 'endpoints': names}
        )
        claim = await self._context.claims.claim(
            group.name,
            TakeoverKind.HANDOVER,
            self._old_primary(),
            group.highest_term,
        )
        if claim is not None:
            await self._promoter(claim).abandon()
            self._ended_claim = claim.takeover.claim
        self._held_replicas.note_release()

    def _promoter(self, claim: Claim) -> Promoter:
        return Promoter(
            self._context,
            self._group,
            self._endpoint_monitor,
            self._departure_tracker,
            claim,
        )

    async def _carry_out(self, claim: Claim) -> None:
        begun = boot_time()
        self._context.metrics.count_takeover_step('claimed')
        await self._promoter(claim).run()
        self._ended_claim = claim.takeover.claim
        log.warning(
            'takeover_ended',
            extra={
                'group': self._group.name,
                'seconds': round(boot_time() - begun, 3),
                'leader': self._group.leader and self._group.leader.endpoint,
            },
        )
        self._last_takeover_at = boot_time()
        if self._group.leader is None:
            await asyncio.sleep(FAILED_TAKEOVER_PAUSE)


def _was_abandoned_recently(cached: CachedTakeover | None) -> bool:
    """Returns whether the last takeover was abandoned a moment ago."""
    if cached is None:
        return False
    abandoned = cached.takeover.phase is TakeoverPhase.ABANDONED
    return abandoned and boot_time() - cached.seen_at < FAILED_TAKEOVER_PAUSE


def _is_replaced(suspicion: Suspicion | None, last: Takeover) -> bool:
    """Returns whether the last takeover replaced the suspected primary."""
    return (
        suspicion is not None
        and last.phase is TakeoverPhase.DONE
        and last.term > suspicion.term
    )
