"""Finds replicas that are held though no takeover is under way.

A replica may have been out of reach when its takeover was abandoned, or a hold
that the network held up has reached it afterwards. It receives nothing then:
it serves no fresh reads and confirms no write, and no other node would notice.
"""

from __future__ import annotations

import math
from typing import Final

from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.endpoint_monitor import EndpointMonitor
from cowslipfork_direct.group import Group
from cowslipfork_direct.takeover.ranking import write_delay
from cowslipfork_direct.takeover.takeover_cache import CachedTakeover
from cowslipfork_direct.takeover.takeover_context import TakeoverContext

#: Seconds between two requests of the replicas' statuses.
CHECK_INTERVAL: Final = 5.0


class HeldReplicas:
    """Replicas of one group that no takeover holds any more."""

    def __init__(
        self,
        context: TakeoverContext,
        group: Group,
        endpoint_monitor: EndpointMonitor,
    ) -> None:
        """Requests no statuses until ``request_statuses_if_due``.

        Args:
            context: dependencies of a takeover's steps.
            group: the group.
            endpoint_monitor: endpoint monitor of the group.
        """
        self._context = context
        self._group = group
        self._endpoint_monitor = endpoint_monitor
        self._requested_at = boot_time()
        self._released_at = -math.inf

    def request_statuses_if_due(self) -> None:
        """Requests the replicas' statuses on one of the nodes at a time."""
        if boot_time() < self._requested_at + CHECK_INTERVAL:
            return
        self._requested_at = boot_time()
        if self._is_first():
            self._endpoint_monitor.request_replica_statuses()

    def find(self) -> list[Endpoint]:
        """Returns reachable replicas that have to be released.

        Empty while a takeover is under way or had an effect that nobody has
        seen, and on all nodes but the first one of the group.
        """
        cached = self._context.takeover_cache.takeover(self._group.name)
        since = self._released_at if cached is None else cached.seen_at
        held = self._group.held_replicas(max(since, self._released_at))
        settled = self._context.settlement.settled
        if not held or not settled or self._may_go_on(cached):
            return []
        return held if self._is_first() else []

    def note_release(self) -> None:
        """Records that the replicas are released; older statuses are void."""
        self._released_at = boot_time()

    def _may_go_on(self, cached: CachedTakeover | None) -> bool:
        """Returns whether a takeover is under way, or had an unseen effect."""
        if self._context.takeover_cache.has_unreadable(self._group.name):
            return True
        leader = self._group.leader
        if leader is None or leader.term < self._group.highest_term:
            return True
        if cached is None:
            return False
        last = cached.takeover
        return last.under_way or last.ceiling > leader.term

    def _is_first(self) -> bool:
        supervisors = self._context.supervisors(self._group.name)
        if self._context.node not in supervisors:
            return False
        return write_delay(self._context, self._group.name) == 0
