"""Measures point reads through nodes against the same reads straight.

``python -m cowslipfork_lab.measure.path --nodes 1`` starts a cluster, sends
point reads over a few connections as fast as they are answered, first through
the first node, then straight to a replica, and prints rate, latency and the
processor time of each process.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final

import asyncmy
import typer
import uvloop
from hdrh.histogram import HdrHistogram

from cowslipfork_lab.cluster import Cluster, Plan
from cowslipfork_lab.cluster.plan import LOOPBACK
from cowslipfork_lab.demo.caller import Login, connected_caller

_GROUP: Final = 'orders'
_LOGIN: Final = Login('secretaries', 'secretaries-sample', _GROUP)
_KIND: Final = "SET SESSION cowslipfork_kind = 'festival_list'"
_READ: Final = 'SELECT id, customer, copies FROM batches WHERE id = 1'
_SETTLE_SECONDS: Final = 1
_US_PER_SECOND: Final = 1_000_000
_LONGEST_US: Final = 60_000_000
_DIGITS: Final = 3
_TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')


@dataclass(frozen=True, slots=True)
class PathResult:
    """What one target did.

    Attributes:
        rate: reads a second.
        p50: median latency in milliseconds.
        p99: 99th percentile in milliseconds.
        per_core: reads for each second of processor time, by process.
    """

    rate: float
    p50: float
    p99: float
    per_core: Mapping[str, float]


def _processor_seconds(pid: int) -> float:
    stat = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    user, system = 11, 12
    return (int(stat[user]) + int(stat[system])) / _TICKS_PER_SECOND


async def _read_on(connection: Any, until: float, seen: HdrHistogram) -> None:
    while time.perf_counter() < until:
        begun = time.perf_counter()
        await connection.query(_READ)
        spent = time.perf_counter() - begun
        seen.record_value(round(spent * _US_PER_SECOND))


async def _measured(
    connections: list[Any],
    pids: Mapping[str, int],
    seconds: float,
) -> PathResult:
    seen = HdrHistogram(1, _LONGEST_US, _DIGITS)
    before = {name: _processor_seconds(pid) for name, pid in pids.items()}
    until = time.perf_counter() + seconds
    await asyncio.gather(
        *(_read_on(connection, until, seen) for connection in connections),
    )
    count = seen.get_total_count()
    spent = {
        name: _processor_seconds(pid) - before[name]
        for name, pid in pids.items()
    }
    return PathResult(
        count / seconds,
        seen.get_value_at_percentile(50) / 1000,
        seen.get_value_at_percentile(99) / 1000,
        {name: count / used for name, used in spent.items() if used},
    )


async def _connect(port: int, login: Login) -> Any:
    return await asyncmy.connect(
        host=LOOPBACK,
        port=port,
        user=login.team,
        password=login.password,
        database=login.database,
        autocommit=None,
    )


async def _run(nodes: int, callers: int, seconds: float) -> None:
    sample = Path('samples/hilal')
    plan = Plan.of_sample(sample, nodes, groups=(_GROUP,))
    async with Cluster(plan, Path('run/path')) as cluster:
        entry = cluster.caller_ports[0]
        async with connected_caller(entry, _LOGIN) as caller:
            await caller.run(
                'CREATE TABLE batches (id INTEGER PRIMARY KEY, '
                'customer VARCHAR(80), copies INT)',
            )
            await caller.run("INSERT INTO batches VALUES (1, 'x', 3)")
        await asyncio.sleep(_SETTLE_SECONDS)
        pids = {str(node.vm): cluster.pid(node.vm) for node in cluster.nodes}
        through = [await _connect(entry, _LOGIN) for _ in range(callers)]
        for connection in through:
            await connection.query(_KIND)
        _tell('through nodes', await _measured(through, pids, seconds))
        replica = plan.endpoints(plan.group_names[0])[1].name
        straight = [
            await _connect(cluster.port(replica), _LOGIN)
            for _ in range(callers)
        ]
        _tell('straight', await _measured(straight, {}, seconds))


def _tell(target: str, path_result: PathResult) -> None:
    typer.echo(' '.join(_words(target, path_result)))


def _words(target: str, path_result: PathResult) -> Iterator[str]:
    yield f'{target}: {path_result.rate:.0f} reads/s'
    yield f'p50 {path_result.p50:.2f} ms p99 {path_result.p99:.2f} ms'
    for name, rate in path_result.per_core.items():
        yield f'{name} {rate:.0f}/core-s'


def main(
    nodes: Annotated[int, typer.Option(help='1: the entry carries.')] = 1,
    callers: Annotated[int, typer.Option(help='Connections.')] = 6,
    seconds: Annotated[float, typer.Option(help='For each target.')] = 5,
) -> None:
    """Measures point reads through nodes and straight to a replica."""
    uvloop.run(_run(nodes, callers, seconds))


if __name__ == '__main__':
    typer.run(main)
