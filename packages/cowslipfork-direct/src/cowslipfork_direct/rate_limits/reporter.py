"""Reports a node to the candidates and chooses those that it uses.

Answers these failures: candidates that die, freeze, leave or can't be reached
from this node.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from cowslipfork.ids import VmId, WorkspaceName
from cowslipfork_direct.peers import PeerClient, PeerError
from cowslipfork_direct.rate_limits.candidates import (
    candidates_of,
    limiter_order,
)
from cowslipfork_direct.rate_limits.limiter import Limiter
from cowslipfork_direct.rate_limits.messages import Report, Reported
from cowslipfork_direct.rate_limits.votes import Ballot

log = logging.getLogger(__name__)

#: Seconds within which a candidate must reply to a report.
REPORT_TIMEOUT: Final = 0.3


@dataclass(frozen=True, slots=True)
class FleetView:
    """What a node knows of the fleet.

    Attributes:
        node: this node.
        capacities: returns the capacity of each live node; 0 if unknown.
        registered: returns the number of registered nodes.
        now: clock in seconds that also runs while the machine is suspended.
    """

    node: VmId
    capacities: Callable[[], Mapping[VmId, float]]
    registered: Callable[[], int]
    now: Callable[[], float]


class Reporter:
    """Votes for the candidates that this node can use."""

    def __init__(
        self, fleet: FleetView, peers: PeerClient, limiter: Limiter
    ) -> None:
        """Starts without candidates; ``report`` finds them.

        Args:
            fleet: what the node knows of the fleet.
            peers: requests to other nodes.
            limiter: limiter of this node, which may be a candidate itself.
        """
        self._fleet = fleet
        self._peers = peers
        self._limiter = limiter
        self._ballot = Ballot(fleet.now())
        self._candidates: set[VmId] = set()
        self._failed: set[VmId] = set()
        self._echoes: dict[VmId, float] = {}
        self._limiters: dict[WorkspaceName, tuple[VmId, ...]] = {}

    def limiters_of(self, workspace: WorkspaceName) -> tuple[VmId, ...]:
        """Returns the nodes to ask for tokens, best first.

        Only the one that a majority votes for grants any; while the views of
        the nodes differ, this may be another one than the first.
        """
        if workspace not in self._limiters:
            usable = self._ballot.current
            self._limiters[workspace] = limiter_order(workspace, usable)
        return self._limiters[workspace]

    def refresh(self) -> None:
        """Chooses the candidates again.

        One that failed is used again once it has replied to a report.

        Call it when the list of nodes has changed or a request has failed.
        """
        capacities = self._fleet.capacities()
        node, peers = self._fleet.node, self._peers
        self._failed &= capacities.keys()
        self._failed |= {
            candidate
            for candidate in self._candidates
            if candidate != node and not peers.available(candidate)
        }
        usable = candidates_of(
            {
                candidate: capacity
                for candidate, capacity in capacities.items()
                if candidate not in self._failed
            },
        )
        self._candidates = {*usable, *candidates_of(capacities)}
        if self._ballot.use(usable, self._fleet.now()):
            self._limiters.clear()
            log.info('limiters_changed', extra={'limiters': usable})

    async def report(self, *, falls_back: bool) -> None:
        """Reports to all candidates once, which takes ``REPORT_TIMEOUT``.

        Args:
            falls_back: whether this node has granted operations on its own
                since its last report.
        """
        self.refresh()
        self._limiter.tick()
        now = self._fleet.now()
        sets = self._ballot.sets(now)
        await asyncio.gather(
            *(
                self._report_to(
                    candidate,
                    Report(
                        self._fleet.node,
                        sets,
                        self._echoes.get(candidate, 0),
                        falls_back,
                    ),
                )
                for candidate in sorted(self._candidates)
            ),
        )

    async def _report_to(self, candidate: VmId, report: Report) -> None:
        if candidate == self._fleet.node:
            now = self._fleet.now()
            own = Report(report.node, report.usable, now, report.falls_back)
            self._limiter.report(own)
            return
        try:
            reply = await self._peers.request(
                candidate, report, Reported, REPORT_TIMEOUT
            )
        except PeerError as error:
            log.debug('report_failed', extra={'cause': str(error)})
            return
        self._echoes[candidate] = reply.at
        self._failed.discard(candidate)
