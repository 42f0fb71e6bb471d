"""A cluster that stays, for any MySQL client and the command line."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import typer

from cowslipfork_lab.cluster import Cluster, Plan
from cowslipfork_lab.cluster.plan import LOOPBACK


async def serve(sample: Path, directory: Path, first_port: int) -> None:
    """Starts a cluster and keeps it until SIGTERM or ctrl-C.

    Args:
        sample: a sample deployment.
        directory: run directory.
        first_port: port of the first node for callers; 0: any.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    plan = replace(Plan.of_sample(sample), first_port=first_port)
    async with Cluster(plan, directory) as cluster:
        typer.echo('\n'.join(_guide(cluster, directory)))
        await stop.wait()
    typer.echo('stopped')


def _guide(cluster: Cluster, directory: Path) -> Iterator[str]:
    """Says where everything is and how to disturb it."""
    yield f'logs: {directory}'
    for node in cluster.nodes:
        ports = node.ports
        yield (
            f'{node.vm}: mysql {LOOPBACK}:{ports.caller_port}, '
            f'administration {LOOPBACK}:{ports.peer_port}, '
            f'metrics http://{LOOPBACK}:{ports.metrics_port}/metrics, '
            f'pid {cluster.pid(node.vm)}'
        )
    for name, port, control in cluster.endpoint_ports():
        yield (
            f'{name}: mysql {LOOPBACK}:{port}, control port {control}, '
            f'pid {cluster.pid(name)}'
        )
    yield f'store: {LOOPBACK}:{cluster.port("store")}'
    yield ''
    yield 'Teams log in as TEAM with password TEAM-sample. To disturb it:'
    yield '  kill or freeze: kill -KILL | -STOP | -CONT PID'
    yield (
        '  an endpoint, by any MySQL client on its control port: '
        'SET GLOBAL lab_lag_ms = 500, lab_frozen = 1, '
        "lab_partition = 'peers'; docs/design/lab.md lists all"
    )
    yield (
        '  stop the store: put the key /lab/outage = refuse by any etcd '
        'client; an empty value starts it again'
    )
    admin = cluster.nodes[0].ports.peer_port
    yield (
        f'  operate: COWSLIPFORK_TOKEN=ada-sample .venv/bin/cowslipfork '
        f'--node {LOOPBACK}:{admin} status'
    )
    yield 'ctrl-C stops everything.'
