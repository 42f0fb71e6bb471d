"""Assembles a node from its parts and the adapters of a platform."""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
from typing import Final

from cowslipfork.ids import VmId
from cowslipfork.outcomes import NotRun, Reason
from cowslipfork.store import Event, StoreEra
from cowslipfork_direct import node_gauges
from cowslipfork_direct.carriers import NodeTraits
from cowslipfork_direct.connected_callers import ConnectedCallers
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.era_settlement import EraSettlement
from cowslipfork_direct.execution import StatementExecutor
from cowslipfork_direct.fleet import Fleet
from cowslipfork_direct.forwarding import (
    CarrierService,
    Forwarding,
    RemoteExecutor,
)
from cowslipfork_direct.group import Group
from cowslipfork_direct.group_services import GroupServices
from cowslipfork_direct.leaving import refusal_of_leaving
from cowslipfork_direct.long_lived import keep_running
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.node_parameters import (
    CarrierOptions,
    NodeIdentity,
    PlatformAdapters,
)
from cowslipfork_direct.peers import PeerClient, PeerServer
from cowslipfork_direct.placement import Placement
from cowslipfork_direct.rate_limits.assembly import build_rate_limits
from cowslipfork_direct.registration import Registration, RegistrationHooks
from cowslipfork_direct.relay import Address
from cowslipfork_direct.rerouting import ReroutedStore
from cowslipfork_direct.routes import (
    DatabaseName,
    KeyDigest,
    Route,
    RoutingTable,
)
from cowslipfork_direct.session import Session, SessionContext
from cowslipfork_direct.store_watcher import StoreWatcher
from cowslipfork_direct.subscriptions import (
    configuration_subscription,
    listing_subscription,
)
from cowslipfork_direct.takeover import (
    TAKEOVERS_PREFIX,
    Claims,
    DepartureCache,
    Takeover,
    TakeoverCache,
    TakeoverContext,
)
from cowslipfork_direct.view import View
from cowslipfork_direct.workspaces import (
    Revocation,
    Workspaces,
    digest_of,
    digest_prefix,
)

log = logging.getLogger(__name__)

#: Seconds for which a new caller may wait for the first configuration.
CONFIGURATION_WAIT: Final = 1.5

#: Milliseconds after which a caller that waited in vain should retry.
START_RETRY_MS: Final = 500


class Node:
    """Everything that serves callers, except for their protocol."""

    def __init__(
        self,
        adapters: PlatformAdapters,
        identity: NodeIdentity,
        options: CarrierOptions | None = None,
        revocation: Revocation | None = None,
    ) -> None:
        """Creates and connects the parts; ``run`` starts them.

        Args:
            adapters: adapters of the platform.
            identity: name, failure domain and relay address of this node.
            options: settings of the choice of carriers; None for defaults.
            revocation: how keys are withdrawn; None for the defaults.
        """
        options = options or CarrierOptions()
        self._answer_by = math.inf
        self._transactions_until = math.inf
        self._adapters = adapters
        self._name = identity.name
        self._eras = adapters.eras
        self._store = ReroutedStore(
            adapters.store,
            self._relays,
            lambda: self._store_watcher.start_another_watch(),
        )
        self._metrics = Metrics()
        self._view = View(
            adapters.network,
            self._relays,
            self._metrics,
            self._on_added,
            lambda: self._store_watcher.last_answer_at,
            adapters.drain_time,
        )
        self._fleet = Fleet(self._on_nodes_changed)
        self._placement = Placement(
            identity.name,
            self._fleet,
            self._view,
            options.count,
            options.direct_connections,
        )
        self._takeover_cache = TakeoverCache(self._on_takeover)
        self._departure_cache = DepartureCache()
        claims = Claims(
            identity.name,
            self._takeover_cache,
            self._store,
            lambda: self._settlement.era_count,
        )
        self._settlement = EraSettlement(
            self._store, self._eras, claims.write_lost, self._on_era_settled
        )
        self._context = TakeoverContext(
            identity.name,
            self._takeover_cache,
            self._departure_cache,
            self._fleet,
            self._eras,
            self._settlement,
            self._store,
            claims,
            adapters.promotions,
            self._metrics,
            self._placement.supervisors,
            self._placement.electors,
            self._load_takeovers,
            self._view.synchronous_replicas,
        )
        self._registration = Registration(
            identity.name,
            identity.relay,
            self._store,
            self._eras,
            self._fleet,
            RegistrationHooks(
                self._load_takeovers,
                self._extend_leader_leases,
                lambda: self._store_watcher.start_another_watch(),
            ),
            NodeTraits(identity.failure_domain, identity.capacity),
        )
        self._services = GroupServices(
            self._context,
            identity.failure_domain,
            lambda: self._registration.lease,
        )
        self._peers = PeerClient(identity.name, self._find_relay, adapters.dial)
        self._peer_server = PeerServer(identity.name)
        self._carrier_service = CarrierService(
            self._services.executor, lambda: self.configured
        )
        self._carrier_service.register(self._peer_server)
        self._forwarding = Forwarding(
            self._peers, self._placement.table, self._metrics
        )
        self._rate_limits = build_rate_limits(
            identity.name,
            self._fleet,
            self._view,
            self._peers,
            self._peer_server,
        )
        self._store_watcher = StoreWatcher(
            self._store,
            (
                configuration_subscription(adapters.store_schema, self._view),
                listing_subscription(
                    adapters.store_schema,
                    self._view,
                    self._metrics.count_unreadable_entry,
                ),
                *self._fleet.subscriptions(),
                *self._takeover_cache.subscriptions(),
                self._departure_cache.subscription(),
                self._settlement.subscription(),
            ),
        )
        self._workspaces = Workspaces(
            lambda: self._store_watcher.last_answer_at,
            revocation or Revocation(),
        )
        self._callers = ConnectedCallers()
        self._view.listen(self._on_table)
        self._eras.listen(self._on_new_era)
        self._session_context = SessionContext(
            self._resolve,
            lambda: self._view.table.transaction_idle,
            self._workspaces.identify,
            self._workspaces.priority,
            self._rate_limits,
            lambda: self._answer_by,
            lambda: self._transactions_until,
            self._metrics,
        )
        node_gauges.add_group_gauges(self._metrics, self._view)
        node_gauges.add_store_gauges(
            self._metrics, lambda: self._store_watcher.last_answer_at
        )
        node_gauges.add_peer_gauges(
            self._metrics, self._peers, self._peer_server
        )
        node_gauges.add_forwarding_gauges(self._metrics, self._carrier_service)
        node_gauges.add_rate_limit_counters(self._metrics, self._rate_limits)

    @property
    def configured(self) -> bool:
        """Whether a configuration is in force that can be relied on.

        A node that started while an era of the store was not settled may have
        read an older configuration than others have.
        """
        return self._view.configured.is_set() and self._records_known

    @property
    def metrics(self) -> Metrics:
        """Metrics of this node."""
        return self._metrics

    @property
    def callers(self) -> ConnectedCallers:
        """Callers that are connected to this node."""
        return self._callers

    @property
    def forwarded_work(self) -> int:
        """Number of open statements and transactions of other nodes."""
        return self._carrier_service.open_work

    @property
    def _records_known(self) -> bool:
        """Whether this node knows all that was written before this era."""
        return self._settlement.settled or self._eras.restored

    async def open_session(
        self, database: DatabaseName, key: str = ''
    ) -> Session | NotRun:
        """Opens a session.

        A caller that connects before the first configuration is loaded waits
        for it, since a refusal would say that the database does not exist.

        Args:
            database: database that the caller connects to.
            key: the caller's key; empty if it sent none.

        Returns:
            The session, or the refusal with its reason.
        """
        try:
            async with asyncio.timeout(CONFIGURATION_WAIT):
                await self._wait_until_configured()
        except TimeoutError:
            return NotRun(Reason.NOT_CURRENT, START_RETRY_MS)
        refusal = refusal_of_leaving(self._answer_by)
        if refusal is not None:
            return refusal
        route = self._view.route(database)
        if route is None:
            detail = f'no route for database "{database}"'
            return NotRun(Reason.UNKNOWN_GROUP, detail=detail)
        digest = digest_of(key)
        workspace = self._workspaces.identify(route, digest)
        if isinstance(workspace, NotRun):
            return self._refuse_caller(route, digest, workspace)
        return Session(self._session_context, database, digest)

    def _refuse_caller(
        self, route: Route, digest: KeyDigest | None, refusal: NotRun
    ) -> NotRun:
        """Logs and counts a caller whose key is refused."""
        reason = refusal.reason.name.lower()
        self._metrics.count_refused_key(reason)
        log.info(
            'caller_refused',
            extra={
                'database': route.database,
                'revision': route.revision,
                'key': digest_prefix(digest),
                'reason': reason,
                'detail': refusal.detail,
            },
        )
        return refusal

    async def _wait_until_configured(self) -> None:
        await self._view.configured.wait()
        if not self.configured:
            await self._settlement.settled_event.wait()

    async def run(self) -> None:
        """Watches the store and renews the node's lease until cancelled."""
        parts = {
            'store_watcher': self._store_watcher.run,
            'registration': self._registration.run,
            'settlement': self._settlement.run,
            'callers': self._callers.run,
            'rate_limits': self._rate_limits.run,
        }
        on_failure = self._metrics.count_task_failure
        try:
            async with asyncio.TaskGroup() as tasks:
                for name, part in parts.items():
                    tasks.create_task(keep_running(name, part, on_failure))
        finally:
            self._close()

    def start_leaving(
        self,
        answer_by: float = math.inf,
        transactions_until: float = math.inf,
    ) -> None:
        """Has other nodes send no new statements to this one.

        Callers are served as long as their statements can be answered in time.

        Args:
            answer_by: loop time by which every statement must be answered.
            transactions_until: loop time at which callers' open transactions
                will be rolled back.
        """
        self._answer_by = answer_by
        self._transactions_until = transactions_until
        self._carrier_service.leave(self._peer_server)
        if self._placement.any_carriers:
            self._registration.withdraw()

    async def leave(self, by: float) -> None:
        """Ends the work for other nodes and removes this one from the store.

        The node must not serve callers any more. Neither an endpoint nor the
        store that doesn't answer holds the other up.

        Args:
            by: loop time at which what has not ended is given up.
        """
        try:
            async with asyncio.timeout_at(by):
                await asyncio.gather(
                    self._end_forwarded_work(),
                    self._registration.deregister(),
                )
        except TimeoutError:
            log.warning('leaving_incomplete')

    async def _end_forwarded_work(self) -> None:
        await self._carrier_service.roll_back()
        await self._peer_server.flush()

    def relayed_addresses(self, store: Address) -> frozenset[Address]:
        """Returns the addresses to which this node relays now.

        Args:
            store: address of the store, which this node relays to while it
                reaches the store itself.
        """
        addresses = self._endpoint_addresses()
        return addresses | {store} if self._store.reaches_store else addresses

    def _endpoint_addresses(self) -> frozenset[Address]:
        endpoints = itertools.chain.from_iterable(
            group.endpoints.values() for group in self._view.groups.values()
        )
        return frozenset(
            Address(endpoint.listed.host, endpoint.listed.port)
            for endpoint in endpoints
        )

    def _close(self) -> None:
        self._services.close()
        self._peers.close()
        self._peer_server.close()

    async def serve_peer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hello: bytes,
    ) -> None:
        """Serves the link of another node until it ends.

        Args:
            reader: reader of the connection, after the first line.
            writer: writer of the connection.
            hello: the first line.
        """
        await self._peer_server.serve(reader, writer, hello)

    def _relays(self) -> list[Address]:
        return self._fleet.relays(self._name)

    def _resolve(
        self, database: DatabaseName
    ) -> tuple[Route, StatementExecutor] | None:
        route = self._view.route(database)
        if route is None:
            return None
        self._view.get_or_create_group(route.group)
        local = self._services.executor(route.group)
        if local is None:
            return None
        if not self._placement.has_carriers(route.group):
            return route, local
        return route, RemoteExecutor(self._forwarding, local)

    def _find_relay(self, node: VmId) -> Address | None:
        registered = self._fleet.registered.get(node)
        return None if registered is None else registered.relay

    def _on_added(self, added: Group | Endpoint) -> None:
        self._services.add(added)
        if isinstance(added, Endpoint):
            self._placement.update()

    def _on_table(self, table: RoutingTable) -> None:
        self._placement.update()
        self._workspaces.adopt(table)
        self._callers.check_keys()
        withdrawn = self._workspaces.without_keys
        for group in self._view.groups.values():
            group.retire_connections(withdrawn)

    def _on_takeover(self, takeover: Takeover) -> None:
        self._services.apply_takeover(takeover)

    def _on_nodes_changed(self) -> None:
        self._placement.update()
        if self._view.table.workspaces:
            self._rate_limits.refresh()

    async def _load_takeovers(self) -> None:
        entries, _ = await self._store.list_prefix(TAKEOVERS_PREFIX)
        self._takeover_cache.apply_events(
            [
                Event(entry.key, entry.content, entry.revision)
                for entry in entries
            ],
        )

    def _on_new_era(self, ended: StoreEra, era: StoreEra) -> None:
        log.warning(
            'store_restored',
            extra={
                'era': era,
                'before': ended,
                'revision': self._store_watcher.revision,
                'lease': self._registration.lease,
            },
        )
        self._metrics.count_store_restore()
        self._registration.start_era()
        self._takeover_cache.start_era()
        self._departure_cache.start_era()
        self._store_watcher.start_era()

    def _on_era_settled(self) -> None:
        self._takeover_cache.settle_era()
        self._departure_cache.settle_era()
        if not self._eras.restored:
            return
        # A promotion whose record the store has lost may have taken effect.
        for group in self._view.groups.values():
            for endpoint in tuple(group.endpoints):
                group.forget(endpoint)

    def _extend_leader_leases(self, begun_at: float) -> None:
        if not self._settlement.settled:
            return
        for group in self._view.groups.values():
            group.extend_lease_on_renewal(begun_at)
