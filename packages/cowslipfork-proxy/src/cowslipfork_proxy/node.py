"""Composition root of a node: wires all of its parts."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Sequence
from contextlib import AsyncExitStack, suppress
from functools import partial
from typing import Final
from uuid import uuid4

import grpc

from cowslipfork.configuration import (
    ChangeLog,
    Configuration,
    Group,
    NodeSettings,
    Site,
)
from cowslipfork.groups import (
    ClaimerId,
    Evidence,
    GroupRecord,
    Violation,
    first_record,
)
from cowslipfork.ids import EndpointId, GroupName, RegionName, Term, VmId
from cowslipfork.limits import TeamLimits
from cowslipfork.membership import Place, carrier_of, rank
from cowslipfork.requests import Run
from cowslipfork.store import Store
from cowslipfork.store.etcd import EtcdStore
from cowslipfork.wire import admin_pb2, admin_pb2_grpc, node_pb2_grpc
from cowslipfork_proxy.administration import (
    AdminParts,
    AdminService,
    peer_channel,
    peer_server,
)
from cowslipfork_proxy.admission import admitting
from cowslipfork_proxy.callers import CallerSettings, serve_callers
from cowslipfork_proxy.carrier import Carriers, CarryingParts, carry
from cowslipfork_proxy.endpoints import Login
from cowslipfork_proxy.forwarding import CarrierLink, CarrierService
from cowslipfork_proxy.holdings import Holdings
from cowslipfork_proxy.metrics import gauge, set_up_metrics
from cowslipfork_proxy.polling import poll_store
from cowslipfork_proxy.probing import MOST_ASKED, ProbeService, ask_nodes
from cowslipfork_proxy.routing import Router
from cowslipfork_proxy.status import group_statuses, impediments

log = logging.getLogger(__name__)

#: Seconds that gRPC streams get to end at shutdown.
_GRACE: Final = 1


class Node:
    """A node's parts and how they reach one another."""

    def __init__(
        self,
        settings: NodeSettings,
        store: Store,
        stop: asyncio.Event,
    ) -> None:
        """Wires what needs no socket.

        Args:
            settings: the VM's own settings.
            store: the platform's store.
            stop: set when the node has to drain.
        """
        self._stop = stop
        self._settings = settings
        self._vm = settings.vm
        self._store = store
        self._meter = set_up_metrics(
            settings.vm,
            settings.host,
            settings.metrics_port,
        )
        self._violations = self._meter.create_counter('invariant_violations')
        self._holdings = Holdings(_empty(settings))
        self._login = Login()
        self._carriers = Carriers(partial(carry, self._parts()))
        self._channels: dict[VmId, grpc.aio.Channel] = {}
        self._links: dict[VmId, CarrierLink] = {}
        self._router = Router(
            self._carrier_of,
            self._run_at,
            lambda: self._holdings.configuration.limits.hold,
        )
        self._holdings.listen(self._settle)

    async def run(self) -> None:
        """Serves until told to stop, then drains."""
        gauge(self._meter, 'configuration_revision', self._revision)
        settings = self._settings
        async with AsyncExitStack() as stack:
            server = self._peer_server()
            await server.start()
            stack.push_async_callback(server.stop, _GRACE)
            poller = asyncio.create_task(
                poll_store(self._store, self._holdings, settings.site),
            )
            stack.callback(poller.cancel)
            callers = await serve_callers(
                CallerSettings(settings.host, settings.caller_port),
                admitting(self._router.run, TeamLimits(), self._configuration),
                self._configuration,
            )
            stack.push_async_callback(callers.close)
            stack.callback(self._carriers.close)
            log.info('node started', extra={'port': callers.port})
            await self._stop.wait()
            log.info('node draining')
            await callers.drain()
        log.info('node stopped')

    def _peer_server(self) -> grpc.aio.Server:
        server = peer_server(self._settings)
        node_pb2_grpc.add_CarrierServicer_to_server(
            CarrierService(self._carriers.run),
            server,
        )
        node_pb2_grpc.add_MembershipServicer_to_server(
            ProbeService(self._configuration, self._login),
            server,
        )
        admin_pb2_grpc.add_AdminServicer_to_server(
            AdminService(
                AdminParts(
                    vm=self._vm,
                    store=self._store,
                    changes=ChangeLog(self._store),
                    configuration=self._configuration,
                    status=self._status,
                    drain=self._drain,
                    admin_of=self._admin_of,
                    bootstrap_hash=self._settings.bootstrap_token_hash,
                ),
            ),
            server,
        )
        return server

    async def _drain(self) -> None:
        self._stop.set()

    def _admin_of(self, vm: VmId) -> admin_pb2_grpc.AdminStub | None:
        if vm not in self._holdings.neighbours:
            return None
        return admin_pb2_grpc.AdminStub(self._channel(vm))

    def _status(self) -> admin_pb2.StatusReply:
        records = [
            self._record_of(group)
            for group in self._configuration().groups.values()
        ]
        return admin_pb2.StatusReply(
            vm=self._vm,
            revision=self._holdings.revision,
            store_reachable=True,
            nodes=[
                admin_pb2.NodeStatus(
                    vm=vm,
                    state='leaving' if neighbour.leaving else 'live',
                    failure_domain=neighbour.place.failure_domain,
                )
                for vm, neighbour in self._holdings.neighbours.items()
            ],
            groups=group_statuses(
                records,
                self._carriers.carried,
                self._carrier_of,
            ),
            cannot=impediments(self._carriers.carried),
        )

    def _configuration(self) -> Configuration:
        return self._holdings.configuration

    def _revision(self) -> float:
        return self._holdings.revision

    def _places(self) -> list[Place]:
        return [
            neighbour.place
            for neighbour in self._holdings.neighbours.values()
            if not neighbour.leaving
        ]

    def _carrier_of(self, group: GroupName) -> VmId | None:
        region = self._holdings.configuration.site.region
        return carrier_of(group, self._places(), region)

    def _channel(self, vm: VmId) -> grpc.aio.Channel:
        channel = self._channels.get(vm)
        if channel is None:
            address = self._holdings.neighbours[vm].address
            channel = peer_channel(self._settings, address)
            self._channels[vm] = channel
        return channel

    def _run_at(self, vm: VmId) -> Run:
        if vm == self._vm:
            return self._carriers.run
        link = self._links.get(vm)
        if link is None:
            link = CarrierLink(self._channel(vm))
            self._links[vm] = link
        return link.run

    def _settle(self) -> None:
        """Carries the groups that rendezvous gives to this VM."""
        groups = self._holdings.configuration.groups
        self._carriers.settle(
            group for group in groups if self._carrier_of(group) == self._vm
        )
        for name, carrier in self._carriers.carried.items():
            record = self._holdings.records.get(name)
            if record is not None:
                carrier.adopt(record)

    def _parts(self) -> CarryingParts:
        return CarryingParts(
            vm=self._settings.vm,
            store=self._store,
            claimer=ClaimerId(f'{self._settings.vm}/{uuid4().hex}'),
            login=self._login,
            configuration=self._configuration,
            record_of=self._record_of,
            announce=self._announce,
            ask_peers=self._ask_peers,
            ranks=self._ranks,
            count_violation=self._count_violation,
        )

    def _record_of(self, group: Group) -> GroupRecord:
        return self._holdings.records.get(group.name) or first_record(group)

    def _announce(self, record: GroupRecord) -> None:
        self._holdings.hear_records([record])

    def _ranks(self, group: GroupName) -> list[VmId]:
        region = self._holdings.configuration.site.region
        return rank(group, self._places(), region)

    async def _ask_peers(
        self,
        endpoint: EndpointId,
        term: Term,
    ) -> Sequence[Evidence]:
        others = [vm for vm in self._holdings.neighbours if vm != self._vm]
        return await ask_nodes(
            [self._channel(vm) for vm in others[:MOST_ASKED]],
            endpoint,
            term,
            self._holdings.configuration.failover.probe_timeout,
        )

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
    """Runs a node until SIGTERM or SIGINT.

    Args:
        settings: the VM's own settings.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    store = EtcdStore(*settings.store)
    try:
        await Node(settings, store, stop).run()
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
