"""Decides whether this node changes a group's primary, and when."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import Final

from cowslipfork.weights import rendezvous_weight
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint_monitor import EndpointMonitor
from cowslipfork_direct.group import Group
from cowslipfork_direct.takeover.claims import Claim
from cowslipfork_direct.takeover.promoter import Promoter
from cowslipfork_direct.takeover.records import (
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

#: Seconds that each node waits for the one ranked before it to claim.
CLAIM_STEP: Final = 0.08

#: Seconds after which another node's takeover without progress is taken over:
#: longer than a claim may be old when its order is sent, and the order last.
LAPSE: Final = 3.0

#: Seconds between two looks at what time alone changes.
LOOK_PAUSE: Final = 0.25

#: One in so many living nodes has to say that a primary fails.
ILL_QUORUM: Final = 5

#: Seconds after a takeover in which none is begun because a primary fails.
ILL_PAUSE: Final = 8.0

#: Seconds after a failed takeover before the next one.
FAILURE_PAUSE: Final = 1.0


class PrimarySupervisor:
    """Watches over the primary of one group."""

    def __init__(
        self,
        context: TakeoverContext,
        group: Group,
        endpoint_monitor: EndpointMonitor,
        suspicion_reporter: SuspicionReporter,
    ) -> None:
        """Claims nothing until ``run``.

        Args:
            context: what a takeover is carried out with.
            group: the group.
            endpoint_monitor: asks its endpoints.
            suspicion_reporter: whether this node can reach the primary.
        """
        self._context = context
        self._group = group
        self._endpoint_monitor = endpoint_monitor
        self._suspicion_reporter = suspicion_reporter
        self._handed_over_at = -math.inf

    async def run(self) -> None:
        """Supervises until cancelled."""
        while True:
            change_events = (
                self._group.change_event,
                self._context.takeover_cache.change_event,
            )
            kind = self.needed_takeover()
            if kind is None:
                await wait_for_any(*change_events, timeout=LOOK_PAUSE)
                continue
            await asyncio.sleep(CLAIM_STEP * self._rank())
            if self.needed_takeover() is kind:
                await self._take_over(kind)

    def needed_takeover(self) -> TakeoverKind | None:
        """Tells whether the primary has to be changed, and why."""
        cached = self._context.takeover_cache.takeover(self._group.name)
        if cached is not None and cached.takeover.under_way:
            return cached.takeover.kind if self._lapsed(cached) else None
        suspicion = self._suspicion_reporter.suspicion
        if cached is not None and _replaced(suspicion, cached.takeover):
            return None
        if suspicion is not None and self._many_agree(suspicion):
            return (
                TakeoverKind.HANDOVER
                if suspicion.ill
                else TakeoverKind.FAILOVER
            )
        return TakeoverKind.HANDOVER if self._leaves() else None

    def _leaves(self) -> bool:
        """Tells whether the primary is about to leave and has an heir."""
        leader = self._group.leader
        if leader is None:
            return False
        listed = self._group.endpoints[leader.endpoint].listed
        return listed.leaving and self._has_candidate()

    def _lapsed(self, cached: CachedTakeover) -> bool:
        mine = cached.takeover.claimer == self._context.node
        return mine or boot_time() - cached.seen_at > LAPSE

    def _many_agree(self, suspicion: Suspicion) -> bool:
        """Tells whether enough living nodes say the same.

        Most have to miss a primary that is to be replaced; a share is enough
        for one that fails, since a handover costs little and only nodes that
        use it can tell.
        """
        told = self._context.takeover_cache.suspicions(self._group.name)
        agreeing = {
            node for node, other in told.items() if other == suspicion
        } | {self._context.node}
        alive = self._context.fleet.alive | {self._context.node}
        if suspicion.ill:
            recent = self._handed_over_at + ILL_PAUSE > boot_time()
            needed = min(len(alive), max(2, len(alive) // ILL_QUORUM))
            return len(agreeing & alive) >= needed and not recent
        return len(agreeing & alive) > len(alive) // 2

    def _has_candidate(self) -> bool:
        return any(
            self._group.follows(endpoint.id)
            and not endpoint.listed.leaving
            and endpoint.silent_since is None
            for endpoint in self._group.endpoints.values()
        )

    def _rank(self) -> int:
        """Place among the nodes that may claim; the duty's holder is first."""
        duty = self._context.takeover_cache.duty
        alive = self._context.fleet.alive | {self._context.node}
        holder = duty.holder if duty else None
        if holder == self._context.node:
            return 0
        others = sorted(
            alive - {holder},
            key=lambda node: rendezvous_weight(self._group.name, node),
        )
        held = int(holder in alive)
        return held + others.index(self._context.node)

    async def _take_over(self, kind: TakeoverKind) -> None:
        group = self._group
        last = group.last_leader
        claim = await self._context.claims.claim(
            group.name,
            kind,
            last.endpoint if last else None,
            group.highest_term,
        )
        if claim is None:
            await asyncio.sleep(CLAIM_STEP)
        else:
            await self._carry_out(claim)

    async def _carry_out(self, claim: Claim) -> None:
        begun = boot_time()
        self._context.metrics.count_takeover_step('claimed')
        await Promoter(
            self._context, self._group, self._endpoint_monitor, claim
        ).run()
        log.warning(
            'takeover_ended',
            extra={
                'group': self._group.name,
                'seconds': round(boot_time() - begun, 3),
                'leader': self._group.leader and self._group.leader.endpoint,
            },
        )
        self._handed_over_at = boot_time()
        if self._group.leader is None:
            await asyncio.sleep(FAILURE_PAUSE)


def _replaced(suspicion: Suspicion | None, last: Takeover) -> bool:
    """Tells whether a suspected primary has been replaced already."""
    return (
        suspicion is not None
        and last.phase is TakeoverPhase.DONE
        and last.term > suspicion.term
    )
