"""Composition root of a node: wires all of its parts."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Mapping
from contextlib import AsyncExitStack, suppress
from functools import partial
from typing import Final
from uuid import uuid4

import grpc

from cowslipfork.changes import ConfigurationHistory
from cowslipfork.configuration import (
    Configuration,
    Group,
    NodeSettings,
    Site,
)
from cowslipfork.groups import (
    ClaimerId,
    GroupRecord,
    Violation,
    first_record,
)
from cowslipfork.ids import GroupName, RegionName, VmId
from cowslipfork.limits import TeamLimits
from cowslipfork.membership.fleet import MAX_STORE_AGE
from cowslipfork.requests import RequestHandler
from cowslipfork.store import Store
from cowslipfork.store.etcd import EtcdStore
from cowslipfork.wire import (
    admin_pb2,
    admin_pb2_grpc,
    node_pb2,
    node_pb2_grpc,
)
from cowslipfork_proxy import administration, metrics, status
from cowslipfork_proxy.admission import with_admission
from cowslipfork_proxy.applied_state import AppliedState
from cowslipfork_proxy.callers import (
    CallerServer,
    caller_settings,
    reload_on_hangup,
    serve_callers,
)
from cowslipfork_proxy.carrier import (
    CarrierDependencies,
    Carriers,
    CarrierStatistics,
    build_carrier,
)
from cowslipfork_proxy.endpoints import Login
from cowslipfork_proxy.forwarding import CarrierService
from cowslipfork_proxy.peer_connections import PeerConnections
from cowslipfork_proxy.peers import (
    FleetComponents,
    FleetDependencies,
    announce,
    assemble_fleet,
)
from cowslipfork_proxy.placement import Placement
from cowslipfork_proxy.probing import probe
from cowslipfork_proxy.routing import Router
from cowslipfork_proxy.signals import handle_signals

log = logging.getLogger(__name__)

#: Seconds that gRPC streams get to end at shutdown.
_GRACE: Final = 1


class Node:
    """A node's parts and how they reach one another."""

    def __init__(
        self,
        settings: NodeSettings,
        store: Store,
        store_calls: Mapping[str, int],
        stop: asyncio.Event,
    ) -> None:
        """Wires what needs no socket.

        Args:
            settings: the VM's own settings.
            store: the platform's store.
            store_calls: calls made to it so far, by operation.
            stop: set when the node has to drain.
        """
        self._stop = stop
        self._settings = settings
        self._vm = settings.vm
        self._store = store
        self._meter = metrics.set_up_metrics(
            settings.vm,
            settings.host,
            settings.metrics_port,
        )
        # The scraper runs in a thread of its own, hence the copy.
        metrics.counters(
            self._meter,
            'store_calls',
            'operation',
            lambda: dict(store_calls),
        )
        gaps = self._meter.create_histogram('failover_gap_seconds')
        self._statistics = CarrierStatistics(gaps.record)
        metrics.counters(
            self._meter,
            'reads',
            'served_by',
            self._statistics.reads,
        )
        self._violations = self._meter.create_counter('invariant_violations')
        self._applied_state = AppliedState(_empty(settings))
        self._login = Login()
        self._peer_connections = PeerConnections(
            self._vm,
            self._applied_state,
            partial(administration.peer_channel, settings),
        )
        self._fleet = self._join(asyncio.get_running_loop().time())
        self._placement = Placement(
            self._vm,
            RegionName(settings.site),
            self._applied_state,
            self._fleet,
        )
        self._carriers = Carriers(
            partial(build_carrier, self._parts()),
            lambda: self._configuration().limits.drain,
            lambda: self._placement.reconcile(self._carriers),
        )
        self._placement.govern(self._carriers)
        self._router = Router(
            self._placement.carrier_of,
            self._runner_for,
            lambda: self._applied_state.configuration.limits.hold,
        )
        self._in_force = asyncio.Event()
        self._applied_state.add_listener(self._note_configured)

    def _note_configured(self) -> None:
        if self._applied_state.revision:
            self._in_force.set()

    async def run(self) -> None:
        """Serves until told to stop, then drains."""
        async with AsyncExitStack() as stack:
            await self._meet_others(stack)
            if not await self._configured():
                return
            callers = await self._meet_callers(stack)
            await self._stop.wait()
            log.info('node draining')
            self._fleet.fleet.announce_leaving()
            self._placement.reconcile(self._carriers)
            await callers.drain()
            await self._carriers.finished()
        log.info('node stopped')

    async def _meet_others(self, stack: AsyncExitStack) -> None:
        """Starts to answer other nodes and operators, and to ask them."""
        server = self._peer_server()
        await server.start()
        stack.push_async_callback(server.stop, _GRACE)
        seeds = [f'{host}:{port}' for host, port in self._settings.peers]
        joined = asyncio.create_task(self._fleet.fleet.run(seeds))
        stack.callback(joined.cancel)
        stack.push_async_callback(self._peer_connections.close)
        stack.callback(self._carriers.close)

    async def _meet_callers(self, stack: AsyncExitStack) -> CallerServer:
        metrics.gauge(self._meter, 'configuration_revision', self._revision)
        callers = await serve_callers(
            caller_settings(self._settings),
            with_admission(self._router.run, TeamLimits(), self._configuration),
            self._configuration,
        )
        stack.push_async_callback(callers.close)
        reload_on_hangup(callers)
        log.info('node started', extra={'port': callers.port})
        return callers

    async def _configured(self) -> bool:
        """Waits for a configuration, without which no caller can log in.

        Returns:
            Whether there is one; otherwise the node has to stop.
        """
        in_force = asyncio.create_task(self._in_force.wait())
        stopped = asyncio.create_task(self._stop.wait())
        await asyncio.wait(
            (in_force, stopped),
            return_when=asyncio.FIRST_COMPLETED,
        )
        in_force.cancel()
        stopped.cancel()
        return not self._stop.is_set()

    def _peer_server(self) -> grpc.aio.Server:
        server = administration.peer_server(self._settings)
        node_pb2_grpc.add_CarrierServicer_to_server(
            CarrierService(self._carriers.run),
            server,
        )
        node_pb2_grpc.add_MembershipServicer_to_server(
            self._fleet.service,
            server,
        )
        admin_pb2_grpc.add_AdminServicer_to_server(
            administration.AdminService(
                administration.AdminDependencies(
                    vm=self._vm,
                    store=self._store,
                    changes=ConfigurationHistory(self._store),
                    configuration=self._configuration,
                    status=self._status,
                    drain=self._drain,
                    admin_stub_for=self._peer_connections.admin_stub_for,
                    bootstrap_hash=self._settings.bootstrap_token_hash,
                ),
            ),
            server,
        )
        return server

    async def _drain(self) -> None:
        self._stop.set()

    def _status(self) -> admin_pb2.StatusReply:
        now = asyncio.get_running_loop().time()
        records = map(self._record_of, self._configuration().groups.values())
        carried = self._carriers.by_group
        age = self._fleet.fleet.store_age(now)
        store_reachable = age is not None and age <= MAX_STORE_AGE
        return admin_pb2.StatusReply(
            vm=self._vm,
            revision=self._applied_state.revision,
            store_reachable=store_reachable,
            nodes=status.node_statuses(self._fleet.members),
            groups=status.group_statuses(
                records, carried, self._placement.carrier_of
            ),
            cannot=status.impediments(
                carried,
                store_reachable=store_reachable,
                has_majority=self._placement.has_majority,
            ),
        )

    def _configuration(self) -> Configuration:
        return self._applied_state.configuration

    def _revision(self) -> float:
        return self._applied_state.revision

    def _runner_for(self, vm: VmId) -> RequestHandler:
        if vm == self._vm:
            return self._carriers.run
        return self._peer_connections.runner_for(vm)

    def _join(self, now: float) -> FleetComponents:
        settings = self._settings
        return assemble_fleet(
            FleetDependencies(
                settings=settings,
                address=f'{settings.host}:{settings.peer_port}',
                store=self._store,
                applied_state=self._applied_state,
                open_channel=partial(administration.peer_channel, settings),
                probe=self._probe,
                diverged=self._count_divergence,
            ),
            now,
        )

    async def _probe(
        self,
        request: node_pb2.ProbeRequest,
    ) -> node_pb2.ProbeReply:
        return await probe(request, self._configuration(), self._login)

    def _count_divergence(self, key: str) -> None:
        self._violations.add(
            1,
            {'violation': 'two_contents_of_a_version', 'key': key},
        )

    def _parts(self) -> CarrierDependencies:
        return CarrierDependencies(
            vm=self._settings.vm,
            store=self._store,
            claimer=ClaimerId(f'{self._settings.vm}/{uuid4().hex}'),
            login=self._login,
            configuration=self._configuration,
            record_of=self._record_of,
            announce=self._announce,
            ask_peers=self._peer_connections.ask_peers,
            ranks=self._placement.ranks,
            count_violation=self._count_violation,
            is_leaving=self._applied_state.is_leaving,
            statistics=self._statistics,
        )

    def _record_of(self, group: Group) -> GroupRecord:
        return self._applied_state.records.get(group.name) or first_record(
            group
        )

    def _announce(self, record: GroupRecord) -> None:
        announce(self._fleet.records, record)

    def _count_violation(self, group: GroupName, violation: Violation) -> None:
        log.error(
            'invariant violated',
            extra={'group': group, 'violation': violation.value},
        )
        self._violations.add(
            1,
            {'group': group, 'violation': violation.value},
        )


async def run_node(settings: NodeSettings) -> None:
    """Runs a node until SIGTERM or SIGINT; a second one ends it at once.

    Args:
        settings: the VM's own settings.
    """
    stop = asyncio.Event()
    handle_signals(stop)
    calls: Counter[str] = Counter()
    store = EtcdStore(
        *settings.store,
        count_call=lambda operation: calls.update((operation,)),
    )
    try:
        await Node(settings, store, calls, stop).run()
    finally:
        with suppress(grpc.RpcError):
            await store.close()


def _empty(settings: NodeSettings) -> Configuration:
    """Gives what holds before any configuration was heard."""
    return Configuration(
        Site(
            settings.site,
            RegionName(''),
            (settings.failure_domain,),
        ),
    )
