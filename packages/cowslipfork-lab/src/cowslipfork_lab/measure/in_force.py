"""Measures five real proxies: changes in force, ends seen by the others.

Run as a module; the figures include the accept call and the status polls.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from pathlib import Path
from typing import Annotated, Final

import typer

from cowslipfork.ids import GroupName, VmId
from cowslipfork.wire import admin_pb2
from cowslipfork_lab.cluster import Cluster, Plan
from cowslipfork_lab.demo.changes import (
    accept_change,
    revisions_in_force,
    status_at,
)

_RULES: Final = ('reads = age 30s', 'reads = age 20s')
_DIRECTORY: Final = Path('run/in_force')
_SETTLE: Final = 3.0
_LOOK_PAUSE: Final = 0.02
_LONGEST: Final = 10.0
_P99: Final = 98
_PERCENTS: Final = 100


def main(
    sample: Annotated[Path, typer.Argument(help='Sample configuration.')],
    directory: Annotated[Path, typer.Option(help='For logs.')] = _DIRECTORY,
    changes: Annotated[int, typer.Option(help='How many.')] = 100,
) -> None:
    """Measures changes, then a drain, a kill and a freeze."""
    asyncio.run(_measure(sample, directory, changes))


async def _measure(sample: Path, directory: Path, changes: int) -> None:
    plan = Plan.of_sample(sample, groups=(GroupName('orders'),))
    async with Cluster(plan, directory) as cluster:
        await asyncio.sleep(_SETTLE)
        times = sorted(
            [await _change(cluster, turn) for turn in range(changes)]
        )
        cuts = statistics.quantiles(times, n=_PERCENTS)
        typer.echo(
            f'in force on five proxies, {changes} changes: '
            f'p50 {statistics.median(times):.3f} s, '
            f'p99 {cuts[_P99]:.3f} s, most {times[-1]:.3f} s',
        )
        await _measure_ends(cluster)


async def _measure_ends(cluster: Cluster) -> None:
    first, second, *_, last = (node.vm for node in cluster.nodes)
    ending = asyncio.create_task(cluster.terminate(last))
    took = await _until(cluster, last, {'leaving', 'gone'})
    typer.echo(f'drained proxy leaving at all others after {took:.3f} s')
    await ending
    await cluster.kill(second)
    took = await _until(cluster, second, {'gone'})
    typer.echo(f'killed proxy gone at all others after {took:.3f} s')
    cluster.freeze(first)
    took = await _until(cluster, first, {'gone'})
    typer.echo(f'frozen proxy gone at all others after {took:.3f} s')
    cluster.resume(first)
    took = await _until(cluster, first, {'live'})
    typer.echo(f'woken proxy live at all others after {took:.3f} s')


async def _change(cluster: Cluster, turn: int) -> float:
    began = time.monotonic()
    old, new = _RULES if turn % 2 == 0 else reversed(_RULES)
    revision = await accept_change(cluster, old, new, 'measurement')
    await revisions_in_force(cluster, revision)
    return time.monotonic() - began


async def _until(cluster: Cluster, victim: VmId, states: set[str]) -> float:
    began = time.monotonic()
    others = [
        index
        for index, node in enumerate(cluster.nodes)
        if node.vm != victim and cluster.running(node.vm)
    ]
    for _ in range(round(_LONGEST / _LOOK_PAUSE)):
        replies = [await status_at(cluster, index) for index in others]
        if all(_state(reply, victim) in states for reply in replies):
            return time.monotonic() - began
        await asyncio.sleep(_LOOK_PAUSE)
    raise TimeoutError


def _state(reply: admin_pb2.StatusReply, vm: str) -> str:
    return next((node.state for node in reply.nodes if node.vm == vm), '')


if __name__ == '__main__':
    typer.run(main)
