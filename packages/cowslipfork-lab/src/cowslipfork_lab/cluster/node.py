"""Settings file of one node."""

from __future__ import annotations

import configparser
from dataclasses import asdict, dataclass, replace
from itertools import cycle, islice
from pathlib import Path

from cowslipfork.ids import FailureDomain, SiteName, VmId
from cowslipfork_lab.cluster.plan import LOOPBACK, Plan
from cowslipfork_lab.cluster.ports import free_ports

_PORTS_OF_NODE = 3


@dataclass(frozen=True, slots=True)
class NodePorts:
    """Ports of a node."""

    caller_port: int
    peer_port: int
    metrics_port: int


@dataclass(frozen=True, slots=True)
class Node:
    """A node of the cluster.

    Attributes:
        vm: its name.
        failure_domain: where it pretends to run.
        ports: its ports.
    """

    vm: VmId
    failure_domain: FailureDomain
    ports: NodePorts

    def write_settings(
        self,
        directory: Path,
        site: SiteName,
        store_port: int,
        peer_ports: list[int],
    ) -> Path:
        """Writes its INI file.

        Args:
            directory: run directory.
            site: its site.
            store_port: port of the store.
            peer_ports: ports of a few other nodes.

        Returns:
            The file.
        """
        parser = configparser.ConfigParser(interpolation=None)
        parser['node'] = {
            'vm': self.vm,
            'failure_domain': self.failure_domain,
            'site': site,
            'host': LOOPBACK,
            'store': f'{LOOPBACK}:{store_port}',
            **{key: str(port) for key, port in asdict(self.ports).items()},
        }
        if peer_ports:
            parser['node']['peers'] = ', '.join(
                f'{LOOPBACK}:{port}' for port in peer_ports
            )
        path = directory / f'{self.vm}.ini'
        with path.open('w') as settings:
            parser.write(settings)
        return path


def nodes_of(plan: Plan) -> tuple[Node, ...]:
    """Spreads a plan's nodes over the failure domains, with free ports."""
    domains = cycle(plan.configuration.site.failure_domains)
    ports = iter(free_ports(plan.nodes * _PORTS_OF_NODE))
    free = [
        NodePorts(*islice(ports, _PORTS_OF_NODE)) for _ in range(plan.nodes)
    ]
    if plan.first_port:
        free = [
            replace(chosen, caller_port=plan.first_port + index)
            for index, chosen in enumerate(free)
        ]
    return tuple(
        Node(VmId(f'proxy-{number}'), domain, chosen)
        for number, (domain, chosen) in enumerate(
            zip(domains, free, strict=False),
            start=1,
        )
    )
