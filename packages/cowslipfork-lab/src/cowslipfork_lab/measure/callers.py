"""Measures the callers' side: statements per core, memory, a profile.

Run as ``python -m cowslipfork_lab.measure.callers --help``.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import resource
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import count, repeat
from pathlib import Path

import asyncmy
import typer
import uvloop

from cowslipfork_lab.measure._caller_node import DATABASE, PASSWORD, TEAM

_NODE = 'cowslipfork_lab.measure._caller_node'
_WARM_UP_SECONDS = 0.5
_SETTLE_SECONDS = 1
_IDLE_STEPS = (0, 1000, 3000)
_CONNECTS_AT_ONCE = 50
_FILES = 8192
_KIB = 1024

app = typer.Typer(add_completion=False)


@dataclass(frozen=True, slots=True)
class NodeProcess:
    """A measured process.

    Attributes:
        pid: process id.
        port: that callers connect to.
    """

    pid: int
    port: int

    def cpu_seconds(self) -> float:
        """Processor time used so far, in user and kernel mode."""
        text = Path(f'/proc/{self.pid}/stat').read_text()
        figures = text.rpartition(')')[2].split()
        ticks = int(figures[11]) + int(figures[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def resident_kib(self) -> int:
        """Resident memory in KiB."""
        pages = int(Path(f'/proc/{self.pid}/statm').read_text().split()[1])
        return pages * os.sysconf('SC_PAGE_SIZE') // _KIB


@contextmanager
def _node(*options: str) -> Iterator[NodeProcess]:
    process = subprocess.Popen(
        [sys.executable, '-m', _NODE, *options],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        line = process.stdout.readline() if process.stdout else ''
        yield NodeProcess(process.pid, int(line))
    finally:
        process.terminate()
        process.wait()


async def _connect(port: int) -> asyncmy.Connection:
    return await asyncmy.connect(
        host='127.0.0.1',
        port=port,
        user=TEAM,
        password=PASSWORD,
        database=DATABASE,
        autocommit=True,
    )


async def _read_until(port: int, end: float, start: float) -> int:
    connection = await _connect(port)
    done = 0
    async with connection.cursor() as cursor:
        for number in count():
            await cursor.execute(
                'SELECT id, name, day FROM festivals'
                f" WHERE id = {number} AND place = 'lahore'",
            )
            await cursor.fetchall()
            now = time.monotonic()
            done += now >= start
            if now >= end:
                break
    connection.close()
    return done


async def _load(port: int, connections: int, end: float, start: float) -> int:
    reads = (_read_until(port, end, start) for _ in range(connections))
    return sum(await asyncio.gather(*reads))


def _load_process(port: int, connections: int, end: float, start: float) -> int:
    return uvloop.run(_load(port, connections, end, start))


@dataclass(frozen=True, slots=True)
class Rate:
    """One run of the load.

    Attributes:
        per_second: statements a second.
        per_core: statements for each second of the node's processor time.
    """

    per_second: float
    per_core: float


def _measure_rate(
    node: NodeProcess,
    processes: int,
    connections: int,
    seconds: float,
) -> Rate:
    start = time.monotonic() + _WARM_UP_SECONDS + processes / 10
    end = start + seconds
    given = (node.port, connections, end, start)
    with multiprocessing.get_context('spawn').Pool(processes) as pool:
        running = pool.starmap_async(_load_process, repeat(given, processes))
        time.sleep(max(start - time.monotonic(), 0))
        before = node.cpu_seconds()
        time.sleep(max(end - time.monotonic(), 0))
        used = node.cpu_seconds() - before
        done = sum(running.get())
    return Rate(done / seconds, done / used)


@app.command()
def statements(
    runs: int = 5,
    processes: int = 2,
    connections: int = 16,
    seconds: float = 3,
) -> None:
    """Point reads per second of the node's processor time."""
    rates = []
    for number in range(runs):
        with _node() as node:
            rate = _measure_rate(node, processes, connections, seconds)
        rates.append(rate.per_core)
        typer.echo(
            f'run={number} per_second={rate.per_second:.0f}'
            f' per_core={rate.per_core:.0f}',
        )
    typer.echo(
        f'per_core median={statistics.median(rates):.0f}'
        f' low={min(rates):.0f} high={max(rates):.0f}',
    )


@app.command()
def profile(connections: int = 16, seconds: float = 3) -> None:
    """Where the node's time goes; the profiler itself slows it down."""
    with _node('--profile') as node:
        rate = _measure_rate(node, 1, connections, seconds)
        typer.echo(f'profiled per_core={rate.per_core:.0f}')


@app.command()
def memory() -> None:
    """Memory of the node for each idle caller connection."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (_FILES, _FILES))
    with _node() as node:
        uvloop.run(_fill(node))


async def _fill(node: NodeProcess) -> None:
    connections: list[asyncmy.Connection] = []
    empty = 0
    for step in _IDLE_STEPS:
        while len(connections) < step:
            opened = (_connect(node.port) for _ in range(_CONNECTS_AT_ONCE))
            connections.extend(await asyncio.gather(*opened))
        await asyncio.sleep(_SETTLE_SECONDS)
        held = node.resident_kib()
        empty = empty or held
        each = (held - empty) / step if step else 0
        typer.echo(f'idle={step} resident_kib={held} each_kib={each:.1f}')
    for connection in connections:
        connection.close()


if __name__ == '__main__':
    app()
