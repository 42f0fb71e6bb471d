"""Measures the cost of control; run it as a module.

The figures of docs/CAPACITY.md come from here.
"""

from __future__ import annotations

import asyncio
import logging
import math
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import astuple, fields
from typing import Annotated

import typer

from cowslipfork_lab.measure.full_size import NODES, Step, measure_state
from cowslipfork_lab.measure.nodes import Cost, ManyNodes
from cowslipfork_lab.measure.streams import measure_stream

_HEARTBEAT_BYTES = 70
_SIZES = '5,10,20,40,80'


def main(
    sizes: Annotated[
        str,
        typer.Option(help='Numbers of nodes, separated by commas.'),
    ] = _SIZES,
) -> None:
    """Measures many nodes, one node at full size, and real streams."""
    logging.getLogger('cowslipfork').setLevel(logging.ERROR)
    memory, steps = measure_state()
    typer.echo(f'state of a node at {NODES} nodes: {memory:.1f} MiB')
    _print_steps(steps)
    stream = asyncio.run(measure_stream(_HEARTBEAT_BYTES))
    typer.echo(f'heartbeat sent and received over gRPC: {stream:.3f} ms')
    typer.echo(' '.join(field.name for field in fields(Cost)))
    costs = [_measured(int(size)) for size in sizes.split(',')]
    for name in ('core_share', 'messages', 'sent_bytes', 'spread_p50'):
        _print_fit(name, costs)


def _print_steps(steps: Iterable[Step]) -> None:
    for step in steps:
        typer.echo(
            f'  {step.name}: {step.milliseconds:.3f} ms, {step.size} bytes',
        )


def _measured(size: int) -> Cost:
    cost = asyncio.run(ManyNodes().measure(size))
    typer.echo(' '.join(f'{value:.4g}' for value in astuple(cost)))
    return cost


def _print_fit(name: str, costs: Sequence[Cost]) -> None:
    logs = [math.log2(cost.nodes) for cost in costs]
    values = [getattr(cost, name) for cost in costs]
    line = statistics.linear_regression(logs, values)
    error = max(
        abs(value - line.intercept - line.slope * log)
        for log, value in zip(logs, values, strict=True)
    )
    at_full = line.intercept + line.slope * math.log2(NODES)
    typer.echo(
        f'{name} = {line.intercept:.4g} + {line.slope:.4g} * log2(nodes), '
        f'off by at most {error:.2g}; at {NODES} nodes: {at_full:.4g}',
    )


if __name__ == '__main__':
    typer.run(main)
