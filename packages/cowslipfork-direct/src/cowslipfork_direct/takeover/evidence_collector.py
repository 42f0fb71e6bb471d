"""Collects what a takeover decides on, and logs what it waits for."""

from __future__ import annotations

import logging
from typing import Final

from cowslipfork.ids import EndpointId
from cowslipfork_direct.endpoint_monitor import EndpointMonitor
from cowslipfork_direct.group import Group
from cowslipfork_direct.takeover.decision import is_outdated
from cowslipfork_direct.takeover.departure_tracker import DepartureTracker
from cowslipfork_direct.takeover.endpoint_reports import (
    EndpointReport,
    Evidence,
)
from cowslipfork_direct.takeover.records import Takeover
from cowslipfork_direct.takeover.takeover_context import TakeoverContext

log = logging.getLogger(__name__)

#: Seconds without a primary during which the replacement of a replica that has
#: left is waited for, if it may have commits that no other replica has.
REPLACEMENT_TIMEOUT: Final = 30.0

#: Seconds without a primary during which the last one is waited for if all
#: replicas that answer are outdated.
LAST_PRIMARY_TIMEOUT: Final = 8.0


class EvidenceCollector:
    """Collects what is known of a group's endpoints during one takeover."""

    def __init__(
        self,
        context: TakeoverContext,
        group: Group,
        endpoint_monitor: EndpointMonitor,
        departure_tracker: DepartureTracker,
    ) -> None:
        """Starts without evidence.

        Args:
            context: dependencies of a takeover's steps.
            group: group whose primary changes.
            endpoint_monitor: endpoint monitor of the group.
            departure_tracker: tells which replicas have left with commits.
        """
        self._context = context
        self._group = group
        self._endpoint_monitor = endpoint_monitor
        self._departure_tracker = departure_tracker
        #: Endpoints that were logged as missing and as outdated.
        self._logged: tuple[frozenset[EndpointId], frozenset[EndpointId]] = (
            frozenset(),
            frozenset(),
        )

    async def collect(self, takeover: Takeover, stopped_at: float) -> Evidence:
        """Returns what is known of the endpoints.

        With synchronous replicas, those that have not answered since the old
        primary is not used are asked first.

        Args:
            takeover: the claimed takeover.
            stopped_at: boot time since which the old primary is not used.
        """
        synchronous = self._context.synchronous_replicas(self._group.name)
        if synchronous:
            await self._inspect_unanswered(takeover, stopped_at)
        leaderless = self._group.seconds_without_leader
        return Evidence(
            self._reports(stopped_at),
            synchronous,
            self._holders(),
            accepts_outdated=leaderless >= LAST_PRIMARY_TIMEOUT,
            last_leader=self._group.last_leader,
        )

    def log_wait(self, takeover: Takeover, evidence: Evidence) -> None:
        """Logs once for which endpoints a takeover waits.

        Args:
            takeover: the claimed takeover.
            evidence: what is known of the endpoints.
        """
        missing = _missing_holders(takeover, evidence)
        outdated = frozenset(
            report.endpoint
            for report in evidence.reports
            if is_outdated(takeover, report)
        )
        if (missing, outdated) == self._logged:
            return
        self._logged = (missing, outdated)
        log.warning(
            'takeover_waits_for_endpoints',
            extra={
                'group': self._group.name,
                'missing': ','.join(sorted(missing)),
                'left': ','.join(sorted(self._departure_tracker.awaited)),
                'outdated': ','.join(sorted(outdated)),
                'last_led_term': takeover.last_led_term,
            },
        )

    async def _inspect_unanswered(
        self, takeover: Takeover, stopped_at: float
    ) -> None:
        answered = {
            report.endpoint
            for report in self._reports(stopped_at)
            if report.recent
        }
        await self._endpoint_monitor.inspect_all(
            [
                endpoint
                for endpoint in self._group.endpoints.values()
                if endpoint.id not in answered and endpoint.id != takeover.old
            ]
        )

    def _reports(self, stopped_at: float) -> list[EndpointReport]:
        """Returns what the reachable endpoints reported."""
        observed = [
            (endpoint, self._group.observed_status(endpoint.id))
            for endpoint in self._group.reachable_endpoints
        ]
        return [
            EndpointReport(
                endpoint.id,
                one.status,
                recent=one.begun >= stopped_at,
                leaving=endpoint.listed.leaving,
            )
            for endpoint, one in observed
            if one is not None
        ]

    def _holders(self) -> frozenset[EndpointId]:
        """Returns the replicas that may hold an acknowledged commit.

        One that has left is not waited for any longer if its replacement has
        not come within ``REPLACEMENT_TIMEOUT``.
        """
        listed = frozenset(self._group.endpoints)
        awaited = self._departure_tracker.awaited
        if not awaited:
            return listed
        if self._group.seconds_without_leader < REPLACEMENT_TIMEOUT:
            return listed | awaited
        log.error(
            'replacement_not_awaited',
            extra={
                'group': self._group.name,
                'left': ','.join(sorted(awaited)),
            },
        )
        return listed


def _missing_holders(
    takeover: Takeover, evidence: Evidence
) -> frozenset[EndpointId]:
    """Returns the holders of commits that must answer and have not."""
    if not evidence.synchronous:
        return frozenset()
    answered = {report.endpoint for report in evidence.reports if report.recent}
    return evidence.holders - answered - {takeover.old}
