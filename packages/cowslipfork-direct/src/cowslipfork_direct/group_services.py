"""The parts that serve each group, and keep its primary."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from cowslipfork.ids import FailureDomain, GroupName
from cowslipfork.limits import RetryBudget
from cowslipfork.store import LeaseId
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.endpoint_monitor import EndpointMonitor
from cowslipfork_direct.execution import LocalExecutor
from cowslipfork_direct.group import Group
from cowslipfork_direct.long_lived import keep_running
from cowslipfork_direct.takeover import (
    DepartureTracker,
    PrimarySupervisor,
    SuspicionReporter,
    Takeover,
    TakeoverContext,
    TakeoverHandler,
)
from cowslipfork_direct.work import Service

#: Retries allowed for each first try.
RETRY_RATIO: Final = 0.5


@dataclass(frozen=True, slots=True)
class _GroupParts:
    """The parts of one group that the whole node speaks to."""

    executor: LocalExecutor
    takeover_handler: TakeoverHandler


class GroupServices:
    """Builds the parts of each group and runs their tasks."""

    def __init__(
        self,
        context: TakeoverContext,
        failure_domain: FailureDomain,
        lease: Callable[[], LeaseId | None],
    ) -> None:
        """Starts without groups.

        Args:
            context: dependencies of takeovers.
            failure_domain: failure domain of this node.
            lease: returns the node's lease in the store.
        """
        self._context = context
        self._failure_domain = failure_domain
        self._lease = lease
        self._parts: dict[GroupName, _GroupParts] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def executor(self, group: GroupName) -> LocalExecutor | None:
        """Returns what runs a group's statements on this node; None if new."""
        parts = self._parts.get(group)
        return None if parts is None else parts.executor

    def add(self, added: Group | Endpoint) -> None:
        """Starts the parts of a new group, or the checks of a new endpoint."""
        if isinstance(added, Endpoint):
            self._start('endpoint', added.watch)
        else:
            self._add_group(added)

    def apply_takeover(self, takeover: Takeover) -> None:
        """Applies a new state of a takeover to its group, if it is known."""
        parts = self._parts.get(takeover.group)
        if parts is not None:
            parts.takeover_handler.apply(takeover)

    def close(self) -> None:
        """Ends all tasks."""
        for task in self._tasks:
            task.cancel()

    def _add_group(self, group: Group) -> None:
        context = self._context
        endpoint_monitor = EndpointMonitor(group)
        suspicion_reporter = SuspicionReporter(
            context.node,
            group,
            context.takeover_cache,
            context.store,
            self._lease,
        )
        takeover_handler = TakeoverHandler(
            context.node, group, context.takeover_cache, context.store
        )
        service = Service(
            group,
            endpoint_monitor,
            RetryBudget(RETRY_RATIO),
            self._failure_domain,
            context.metrics,
        )
        self._parts[group.name] = _GroupParts(
            LocalExecutor(service), takeover_handler
        )
        cached = context.takeover_cache.takeover(group.name)
        if cached is not None:
            takeover_handler.apply(cached.takeover)
        departure_tracker = DepartureTracker(context, group, endpoint_monitor)
        self._start('endpoint_monitor', endpoint_monitor.run)
        self._start('takeover_handler', takeover_handler.run)
        self._start('suspicion_reporter', suspicion_reporter.run)
        self._start('departure_tracker', departure_tracker.run)
        self._start(
            'primary_supervisor',
            PrimarySupervisor(
                context,
                group,
                endpoint_monitor,
                suspicion_reporter,
                departure_tracker,
            ).run,
        )

    def _start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        on_failure = self._context.metrics.count_task_failure
        task = asyncio.create_task(keep_running(name, run, on_failure))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
