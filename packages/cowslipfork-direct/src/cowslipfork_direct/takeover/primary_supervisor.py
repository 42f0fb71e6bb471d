"""Decides whether this node changes a group's primary, and when."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import Final

from cowslipfork.weights import weight
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint_monitor import Lookout
from cowslipfork_direct.group import Group
from cowslipfork_direct.takeover.claims import Claim
from cowslipfork_direct.takeover.promoter import Promoter
from cowslipfork_direct.takeover.records import (
    Kind,
    Phase,
    Suspicion,
    Takeover,
)
from cowslipfork_direct.takeover.suspicion_reporter import Suspecting
from cowslipfork_direct.takeover.takeover_cache import Posted
from cowslipfork_direct.takeover.takeover_context import Tools
from cowslipfork_direct.waiting import first_of

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


class Supervision:
    """Watches over the primary of one group."""

    def __init__(
        self,
        tools: Tools,
        group: Group,
        lookout: Lookout,
        suspecting: Suspecting,
    ) -> None:
        """Claims nothing until ``run``.

        Args:
            tools: what a takeover is carried out with.
            group: the group.
            lookout: asks its endpoints.
            suspecting: whether this node can reach the primary.
        """
        self._tools = tools
        self._group = group
        self._lookout = lookout
        self._suspecting = suspecting
        self._handed_over_at = -math.inf

    async def run(self) -> None:
        """Supervises until cancelled."""
        while True:
            news = (self._group.news, self._tools.board.news)
            kind = self.need()
            if kind is None:
                await first_of(*news, timeout=LOOK_PAUSE)
                continue
            await asyncio.sleep(CLAIM_STEP * self._rank())
            if self.need() is kind:
                await self._take_over(kind)

    def need(self) -> Kind | None:
        """Tells whether the primary has to be changed, and why."""
        posted = self._tools.board.takeover(self._group.name)
        if posted is not None and posted.takeover.under_way:
            return posted.takeover.kind if self._lapsed(posted) else None
        suspicion = self._suspecting.suspicion
        if posted is not None and _replaced(suspicion, posted.takeover):
            return None
        if suspicion is not None and self._many_agree(suspicion):
            return Kind.HANDOVER if suspicion.ill else Kind.FAILOVER
        return Kind.HANDOVER if self._leaves() else None

    def _leaves(self) -> bool:
        """Tells whether the primary is about to leave and has an heir."""
        leader = self._group.leader
        if leader is None:
            return False
        listed = self._group.endpoints[leader.endpoint].listed
        return listed.leaving and self._has_heir()

    def _lapsed(self, posted: Posted) -> bool:
        mine = posted.takeover.claimer == self._tools.node
        return mine or boot_time() - posted.seen_at > LAPSE

    def _many_agree(self, suspicion: Suspicion) -> bool:
        """Tells whether enough living nodes say the same.

        Most have to miss a primary that is to be replaced; a share is enough
        for one that fails, since a handover costs little and only nodes that
        use it can tell.
        """
        told = self._tools.board.suspicions(self._group.name)
        agreeing = {
            node for node, other in told.items() if other == suspicion
        } | {self._tools.node}
        alive = self._tools.fleet.alive | {self._tools.node}
        if suspicion.ill:
            recent = self._handed_over_at + ILL_PAUSE > boot_time()
            needed = min(len(alive), max(2, len(alive) // ILL_QUORUM))
            return len(agreeing & alive) >= needed and not recent
        return len(agreeing & alive) > len(alive) // 2

    def _has_heir(self) -> bool:
        return any(
            self._group.follows(endpoint.id)
            and not endpoint.listed.leaving
            and endpoint.silent_since is None
            for endpoint in self._group.endpoints.values()
        )

    def _rank(self) -> int:
        """Place among the nodes that may claim; the duty's holder is first."""
        duty = self._tools.board.duty
        alive = self._tools.fleet.alive | {self._tools.node}
        holder = duty.holder if duty else None
        if holder == self._tools.node:
            return 0
        others = sorted(
            alive - {holder},
            key=lambda node: weight(self._group.name, node),
        )
        held = int(holder in alive)
        return held + others.index(self._tools.node)

    async def _take_over(self, kind: Kind) -> None:
        group = self._group
        last = group.last_leader
        claim = await self._tools.claims.claim(
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
        self._tools.metrics.takeover('claimed')
        await Promoter(self._tools, self._group, self._lookout, claim).run()
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
        and last.phase is Phase.DONE
        and last.term > suspicion.term
    )
