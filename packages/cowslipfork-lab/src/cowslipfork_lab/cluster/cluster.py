"""A running cluster: store, groups of endpoints, VM list and nodes."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from cowslipfork.configuration import Endpoint
from cowslipfork.groups import EndpointStatus
from cowslipfork.ids import EndpointId, GroupName
from cowslipfork.store.etcd import EtcdStore
from cowslipfork_lab.cluster import controls
from cowslipfork_lab.cluster.node import Node, nodes_of
from cowslipfork_lab.cluster.plan import LOOPBACK, Plan
from cowslipfork_lab.cluster.platform import (
    PlatformList,
    accept_first,
    entry_of,
)
from cowslipfork_lab.cluster.ports import free_ports
from cowslipfork_lab.cluster.processes import Processes, accepts
from cowslipfork_lab.relay import Rule, TrafficPolicy
from cowslipfork_lab.relay.rules import ANY

STORE = 'store'
Rows = Sequence[Sequence[Any]]
_RELAY = 'relay'
_PEERS_ASKED = 3


class Cluster:
    """Own processes on loopback; none is left behind after ``stop``."""

    def __init__(
        self,
        plan: Plan,
        directory: Path,
        *,
        relays: bool = False,
    ) -> None:
        """Prepares a cluster.

        Args:
            plan: what it consists of.
            directory: run directory for settings, journals and logs.
            relays: whether a relay stands before store and endpoints, for
                delays and cuts.
        """
        self._plan = plan
        self._directory = directory
        self._relays = relays
        self._processes = Processes(directory)
        self._relay: controls.RelayControl | None = None
        self._ports: dict[str, int] = {}
        self._control_ports: dict[str, int] = {}
        self._nodes = nodes_of(plan)
        self._store: EtcdStore | None = None
        self._platform: PlatformList | None = None

    @property
    def plan(self) -> Plan:
        """What it consists of."""
        return self._plan

    @property
    def nodes(self) -> tuple[Node, ...]:
        """Its nodes with their ports."""
        return self._nodes

    @property
    def caller_ports(self) -> tuple[int, ...]:
        """MySQL ports of the nodes."""
        return tuple(node.ports.caller_port for node in self._nodes)

    @property
    def platform(self) -> PlatformList:
        """The platform's lists; there once the cluster has started."""
        assert self._platform is not None
        return self._platform

    @property
    def store(self) -> EtcdStore:
        """A connection to the store; there once the cluster has started."""
        assert self._store is not None
        return self._store

    async def __aenter__(self) -> Self:
        """Starts everything; stops it again if that fails."""
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops everything, also after ctrl-C."""
        await self.stop()

    async def start(self) -> None:
        """Starts the platform, then the nodes."""
        await self.start_platform()
        await asyncio.gather(*(self.start_node(node) for node in self._nodes))

    async def start_platform(self) -> None:
        """Starts store and endpoints and fills the platform's lists."""
        self._directory.mkdir(parents=True, exist_ok=True)
        if self._relays:
            child = await self._processes.start_lab(_RELAY, 'relay', pipes=True)
            self._relay = controls.RelayControl(child)
        await self._start_store()
        groups = self._plan.group_names
        await asyncio.gather(*(self._start_group(name) for name in groups))
        overlay = self._plan.overlay_at(
            {EndpointId(name): port for name, port in self._ports.items()},
        )
        await accept_first(
            self.store,
            self._plan.base_of_groups,
            {self._plan.site: overlay},
        )
        await self._fill_lists()

    async def start_node(self, node: Node) -> None:
        """Starts a node and waits until it takes callers."""
        others = [
            other.ports.peer_port for other in self._nodes if other != node
        ]
        settings = node.write_settings(
            self._directory,
            self._plan.site,
            self._ports[STORE],
            others[:_PEERS_ASKED],
        )
        program = Path(sys.executable).with_name('cowslipfork-proxy')
        command = (str(program), 'run', '--settings', str(settings))
        child = await self._processes.start(node.vm, command)
        await self._register_process(child.pid, node.vm)
        port = node.ports.caller_port
        await self._processes.ready(node.vm, accepts(port))

    async def stop(self) -> dict[str, int]:
        """Stops every process.

        Returns:
            Exit status by name; negative for a signal.
        """
        if self._store:
            await self._store.close()
        return await self._processes.stop()

    async def restart(self, name: str) -> None:
        """Starts a process that has ended anew, with its old settings."""
        child = self._processes[name]
        await child.start()
        await self._register_process(child.pid, name)

    async def terminate(self, name: str) -> int:
        """Ends a process by SIGTERM and gives its exit status."""
        return await self._processes[name].stop()

    async def kill(self, name: str) -> None:
        """Ends a process at once."""
        await self._processes[name].kill()

    def freeze(self, name: str) -> None:
        """Stops a process where it stands."""
        self._processes[name].freeze()

    def resume(self, name: str) -> None:
        """Lets a frozen process go on."""
        self._processes[name].resume()

    async def partition(self, name: str, other: str = ANY) -> None:
        """Cuts a process off from another, both ways; needs relays."""
        await self._both_ways(name, other, Rule(policy=TrafficPolicy.SILENT))

    async def heal(self, name: str, other: str = ANY) -> None:
        """Undoes a partition."""
        await self._both_ways(name, other, Rule())

    async def delay(self, seconds: float) -> None:
        """Delays everything that passes the relay one way."""
        if self._relay:
            await self._relay.set_rule(ANY, ANY, Rule(seconds))

    async def set_fault(self, name: str, fault: str, setting: object) -> None:
        """Sets a fault of an endpoint or of the store, unless it has ended.

        Args:
            name: endpoint, or ``STORE``.
            fault: as docs/design/lab.md names it.
            setting: new value.
        """
        port = self._control_ports[name]
        if not self.running(name):
            return
        if name == STORE:
            await controls.set_store_fault(port, fault, setting)
        else:
            await controls.set_endpoint_fault(port, fault, setting)

    async def counts(self, name: str) -> dict[str, int]:
        """Reads the counters of an endpoint or of the store."""
        port = self._control_ports[name]
        if name == STORE:
            return await controls.store_counts(port)
        return await controls.endpoint_counters(port)

    async def status(self, name: EndpointId) -> EndpointStatus | None:
        """Reads the status of an endpoint; None if it has ended."""
        if not self.running(name):
            return None
        return await controls.endpoint_status(self._control_ports[name])

    async def select(self, name: EndpointId, sql: str) -> Rows:
        """Reads from one endpoint, past all nodes."""
        return await controls.query(self._ports[name], sql)

    def running(self, name: str) -> bool:
        """Tells whether a process runs."""
        return self._processes[name].running

    def pid(self, name: str) -> int:
        """Gives the pid of a process."""
        return self._processes[name].pid

    def port(self, name: str) -> int:
        """Gives the port by which others reach an endpoint or the store."""
        return self._ports[name]

    def endpoint_ports(self) -> list[tuple[EndpointId, int, int]]:
        """Lists endpoints with their MySQL port and their control port."""
        return [
            (
                endpoint.name,
                self._ports[endpoint.name],
                self._control_ports[endpoint.name],
            )
            for group in self._plan.group_names
            for endpoint in self._plan.endpoints(group)
        ]

    async def _start_store(self) -> None:
        port = free_ports(1)[0]
        child = await self._processes.start_lab(STORE, STORE, f'--port={port}')
        await self._processes.ready(STORE, accepts(port))
        self._control_ports[STORE] = port
        self._ports[STORE] = await self._stand_before(STORE, port, child.pid)
        self._store = EtcdStore(LOOPBACK, port)
        self._platform = PlatformList(self._store)

    async def _start_group(self, group: GroupName) -> None:
        primary = 'self'
        for endpoint in self._plan.endpoints(group):
            await self._start_endpoint(endpoint, primary)
            if primary == 'self':
                primary = f'{LOOPBACK}:{self._ports[endpoint.name]}'

    async def _start_endpoint(self, endpoint: Endpoint, primary: str) -> None:
        port, control_port = free_ports(2)
        journal = self._directory / f'{endpoint.name}.journal'
        journal.unlink(missing_ok=True)
        child = await self._processes.start_lab(
            endpoint.name,
            'endpoint',
            f'--name={endpoint.name}',
            f'--port={port}',
            f'--control-port={control_port}',
            f'--slots={endpoint.slots}',
            f'--connections={endpoint.connections}',
            f'--primary={primary}',
            f'--journal={journal}',
        )
        await self._processes.ready(endpoint.name, accepts(control_port))
        self._control_ports[endpoint.name] = control_port
        self._ports[endpoint.name] = await self._stand_before(
            endpoint.name,
            port,
            child.pid,
        )

    async def _fill_lists(self) -> None:
        for node in self._nodes:
            port = node.ports.peer_port
            if self._relay:
                port = await self._relay.listen(node.vm, port)
            await self.platform.put_vm(
                entry_of(node.vm, node.failure_domain, port),
            )
        for group in self._plan.group_names:
            for endpoint in self._plan.endpoints(group):
                port = self._ports[endpoint.name]
                await self.platform.put_endpoint(
                    entry_of(endpoint.name, endpoint.failure_domain, port),
                )

    async def _stand_before(self, name: str, port: int, pid: int) -> int:
        if self._relay is None:
            return port
        await self._register_process(pid, name)
        return await self._relay.listen(name, port)

    async def _register_process(self, pid: int, name: str) -> None:
        if self._relay:
            await self._relay.register_process(pid, name)

    async def _both_ways(self, name: str, other: str, rule: Rule) -> None:
        assert self._relay is not None
        await self._relay.set_rule(name, other, rule)
        await self._relay.set_rule(other, name, rule)
