"""Composition root of a node: wires all of its parts."""

from __future__ import annotations

import asyncio
import logging
import signal
from contextlib import AsyncExitStack, suppress
from functools import partial
from typing import Final

import grpc

from cowslipfork.configuration import Configuration, NodeSettings, Site
from cowslipfork.groups import Violation, first_record
from cowslipfork.ids import GroupName, RegionName, VmId
from cowslipfork.limits import TeamLimits
from cowslipfork.membership import carrier_of
from cowslipfork.requests import Run
from cowslipfork.store import Store
from cowslipfork.store.etcd import EtcdStore
from cowslipfork.wire import node_pb2_grpc
from cowslipfork_proxy.admission import admitting
from cowslipfork_proxy.callers import CallerSettings, serve_callers
from cowslipfork_proxy.carrier import Carried, Carriers, assemble
from cowslipfork_proxy.endpoints import Login
from cowslipfork_proxy.forwarding import CarrierLink, CarrierService
from cowslipfork_proxy.holdings import Holdings
from cowslipfork_proxy.metrics import gauge, set_up_metrics
from cowslipfork_proxy.polling import poll_store
from cowslipfork_proxy.routing import Router

log = logging.getLogger(__name__)

#: Seconds that gRPC streams get to end at shutdown.
_GRACE: Final = 1


class Node:
    """A node's parts and how they reach one another."""

    def __init__(self, settings: NodeSettings, store: Store) -> None:
        """Wires what needs no socket.

        Args:
            settings: the VM's own settings.
            store: the platform's store.
        """
        self._settings = settings
        self._store = store
        self._meter = set_up_metrics(
            settings.vm,
            settings.host,
            settings.metrics_port,
        )
        self._violations = self._meter.create_counter('invariant_violations')
        self._holdings = Holdings(_empty(settings))
        self._carriers = Carriers(self._carry)
        self._links: dict[VmId, CarrierLink] = {}
        self._router = Router(
            self._carrier_of,
            self._run_at,
            lambda: self._holdings.configuration.limits.hold,
        )
        self._holdings.listen(self._settle)

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until told to stop, then drains.

        Args:
            stop: set by a signal.
        """
        gauge(self._meter, 'configuration_revision', self._revision)
        async with AsyncExitStack() as stack:
            server = grpc.aio.server()
            node_pb2_grpc.add_CarrierServicer_to_server(
                CarrierService(self._carriers.run),
                server,
            )
            settings = self._settings
            server.add_insecure_port(f'{settings.host}:{settings.peer_port}')
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
            await stop.wait()
            log.info('node draining')
            await callers.drain()
        log.info('node stopped')

    def _configuration(self) -> Configuration:
        return self._holdings.configuration

    def _revision(self) -> float:
        return self._holdings.revision

    def _carrier_of(self, group: GroupName) -> VmId | None:
        places = [
            neighbour.place
            for neighbour in self._holdings.neighbours.values()
            if not neighbour.leaving
        ]
        region = self._holdings.configuration.site.region
        return carrier_of(group, places, region)

    def _run_at(self, vm: VmId) -> Run:
        if vm == self._settings.vm:
            return self._carriers.run
        neighbour = self._holdings.neighbours[vm]
        link = self._links.get(vm)
        if link is None:
            link = CarrierLink(grpc.aio.insecure_channel(neighbour.address))
            self._links[vm] = link
        return link.run

    def _settle(self) -> None:
        """Carries the groups that rendezvous gives to this VM."""
        groups = self._holdings.configuration.groups
        self._carriers.settle(
            group
            for group in groups
            if self._carrier_of(group) == self._settings.vm
        )

    def _carry(self, name: GroupName) -> Carried | None:
        group = self._holdings.configuration.groups.get(name)
        if group is None:
            return None
        carrier = assemble(
            group,
            self._holdings.records.get(name) or first_record(group),
            self._configuration,
            Login(),
            asyncio.get_running_loop().time,
            partial(self._count_violation, name),
        )
        log.info('group carried', extra={'group': name})
        return Carried(carrier, carrier.tracker.run)

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
        await Node(settings, store).run(stop)
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
