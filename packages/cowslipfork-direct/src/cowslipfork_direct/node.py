"""A node's parts, put together from the ports of a platform."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Final

from cowslipfork.ids import FailureDomain, GroupName, VmId
from cowslipfork.limits import RetryBudget
from cowslipfork.outcomes import NotRun, Reason
from cowslipfork.store import Event, LeasingStore
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.endpoint_monitor import EndpointMonitor
from cowslipfork_direct.fleet import Fleet
from cowslipfork_direct.group import Group
from cowslipfork_direct.link import Network
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.promotion import Promotions
from cowslipfork_direct.registration import Registration
from cowslipfork_direct.relay import Address
from cowslipfork_direct.rerouting import ReroutedStore
from cowslipfork_direct.routes import DatabaseName, Route
from cowslipfork_direct.session import Session
from cowslipfork_direct.store_watcher import StoreWatcher
from cowslipfork_direct.subscriptions import (
    StoreSchema,
    configuration_feed,
    listing_feed,
)
from cowslipfork_direct.takeover import (
    TAKEOVERS_PREFIX,
    Claims,
    PrimarySupervisor,
    SuspicionReporter,
    Takeover,
    TakeoverCache,
    TakeoverContext,
    TakeoverHandler,
)
from cowslipfork_direct.view import View
from cowslipfork_direct.work import Service

#: Retries allowed for each first try.
RETRY_SHARE: Final = 0.5

#: Seconds that a new caller waits for the first configuration.
CONFIGURATION_WAIT: Final = 1.5

#: When a caller should come back that waited in vain, in milliseconds.
START_RETRY_MS: Final = 500


@dataclass(frozen=True, slots=True)
class PlatformAdapters:
    """What a platform provides to a node.

    Attributes:
        store: gives the platform's store, directly or by way of a relay.
        store_schema: how the store's values are read.
        network: ways to endpoints.
        promotions: takes orders of promotion.
    """

    store: Callable[[Address | None], LeasingStore]
    store_schema: StoreSchema
    network: Network
    promotions: Promotions


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Where a node runs.

    Attributes:
        name: this node.
        failure_domain: VMs that fail together with it.
        relay: where it relays connections of other nodes.
    """

    name: VmId
    failure_domain: FailureDomain
    relay: Address


class Node:
    """All that serves callers, apart from their protocol."""

    def __init__(
        self, adapters: PlatformAdapters, identity: NodeIdentity
    ) -> None:
        """Wires the parts; ``run`` starts them.

        Args:
            adapters: what the platform provides.
            identity: where this node runs.
        """
        self._adapters = adapters
        self._name = identity.name
        self._here = identity.failure_domain
        self._store = ReroutedStore(adapters.store, self._relays)
        self._metrics = Metrics()
        self._view = View(
            adapters.network,
            self._relays,
            self._metrics,
            self._found,
        )
        self._fleet = Fleet(self._share_connections)
        self._takeover_cache = TakeoverCache(self._on_takeover)
        self._context = TakeoverContext(
            identity.name,
            self._takeover_cache,
            self._fleet,
            self._store,
            Claims(identity.name, self._takeover_cache, self._store),
            adapters.promotions,
            self._metrics,
        )
        self._registration = Registration(
            identity.name,
            identity.relay,
            self._store,
            self._fleet,
            self._learn_takeovers,
            self._prove_by_lease,
            lambda: self._store_watcher.restart_watch(),
        )
        self._store_watcher = StoreWatcher(
            self._store,
            (
                configuration_feed(adapters.store_schema, self._view),
                listing_feed(adapters.store_schema, self._view),
                *self._fleet.subscriptions(),
                *self._takeover_cache.subscriptions(),
            ),
        )
        self._services: dict[GroupName, Service] = {}
        self._takeover_handlers: dict[GroupName, TakeoverHandler] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._metrics.add_gauge(
            'waiting',
            'Statements that wait for a connection.',
            'group',
            self._waiting,
        )
        self._metrics.add_gauge(
            'connections',
            'Open connections to endpoints.',
            'endpoint',
            self._connections,
        )

    @property
    def configured(self) -> bool:
        """Whether a configuration is in force."""
        return self._view.configured.is_set()

    @property
    def metrics(self) -> Metrics:
        """Figures of this node."""
        return self._metrics

    async def open_session(self, database: DatabaseName) -> Session | NotRun:
        """Opens a session.

        A caller that comes before the configuration is known waits for it,
        since a refusal would tell that the database does not exist.

        Args:
            database: database that the caller names.

        Returns:
            The session, or why there is none.
        """
        try:
            async with asyncio.timeout(CONFIGURATION_WAIT):
                await self._view.configured.wait()
        except TimeoutError:
            return NotRun(Reason.NOT_CURRENT, START_RETRY_MS)
        if self._view.route(database) is None:
            detail = f'no route has the name "{database}"'
            return NotRun(Reason.UNKNOWN_GROUP, detail=detail)
        return Session(
            self._resolve,
            lambda: self._view.table.transaction_idle,
            database,
        )

    async def run(self) -> None:
        """Follows the store until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._store_watcher.run())
                tasks.create_task(self._registration.run())
        finally:
            for task in self._tasks:
                task.cancel()

    async def leave(self) -> None:
        """Takes this node out of the fleet, when it serves nobody any more."""
        await self._registration.leave()

    def endpoint_addresses(self) -> frozenset[Address]:
        """Gives the addresses of all listed endpoints."""
        endpoints = itertools.chain.from_iterable(
            group.endpoints.values() for group in self._view.groups.values()
        )
        return frozenset(
            Address(endpoint.listed.host, endpoint.listed.port)
            for endpoint in endpoints
        )

    def _waiting(self) -> dict[str, float]:
        groups = self._view.groups.values()
        return {group.name: group.queue.waiting for group in groups}

    def _connections(self) -> dict[str, float]:
        return {
            name: endpoint.open_links
            for group in self._view.groups.values()
            for name, endpoint in group.endpoints.items()
        }

    def _relays(self) -> list[Address]:
        return self._fleet.relays(self._name)

    def _resolve(self, database: DatabaseName) -> tuple[Route, Service] | None:
        route = self._view.route(database)
        if route is None:
            return None
        self._view.group(route.group)
        return route, self._services[route.group]

    def _found(self, found: Group | Endpoint) -> None:
        if isinstance(found, Endpoint):
            self._start(found.watch())
        else:
            self._serve_group(found)

    def _serve_group(self, group: Group) -> None:
        endpoint_monitor = EndpointMonitor(group)
        store = self._store
        suspicion_reporter = SuspicionReporter(
            self._name,
            group,
            self._takeover_cache,
            store,
            lambda: self._registration.lease,
        )
        takeover_handler = TakeoverHandler(
            self._name, group, self._takeover_cache, store
        )
        self._services[group.name] = Service(
            group,
            endpoint_monitor,
            RetryBudget(RETRY_SHARE),
            self._here,
            self._metrics,
        )
        self._takeover_handlers[group.name] = takeover_handler
        cached = self._takeover_cache.takeover(group.name)
        if cached is not None:
            takeover_handler.apply(cached.takeover)
        primary_supervisor = PrimarySupervisor(
            self._context, group, endpoint_monitor, suspicion_reporter
        )
        for part in (
            endpoint_monitor,
            takeover_handler,
            suspicion_reporter,
            primary_supervisor,
        ):
            self._start(part.run())

    def _on_takeover(self, takeover: Takeover) -> None:
        takeover_handler = self._takeover_handlers.get(takeover.group)
        if takeover_handler is not None:
            takeover_handler.apply(takeover)

    async def _learn_takeovers(self) -> None:
        entries, _ = await self._store.list_prefix(TAKEOVERS_PREFIX)
        self._takeover_cache.apply_events(
            [
                Event(entry.key, entry.content, entry.revision)
                for entry in entries
            ],
        )

    def _prove_by_lease(self, begun: float) -> None:
        for group in self._view.groups.values():
            group.prove_by_lease(begun)

    def _share_connections(self) -> None:
        """Divides each endpoint's connections among the nodes."""
        nodes = max(1, len(self._fleet.registered))
        for group in self._view.groups.values():
            rules = self._view.table.groups.get(group.name)
            if rules is not None:
                group.allow(max(1, rules.connections // nodes))

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
