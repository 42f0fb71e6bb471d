"""Command lines of the load tool."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
import uvloop

from cowslipfork_lab.cluster import Cluster, Plan
from cowslipfork_lab.load.experiment import (
    Experiment,
    ExperimentSettings,
    Result,
)
from cowslipfork_lab.load.mix import job_group, mix_of
from cowslipfork_lab.load.runner import Baseline, LoadSettings, callers_for
from cowslipfork_lab.load.schedule import random_faults, read_fault
from cowslipfork_lab.load.text import report_text

_BROKEN_PROMISE = 1
_LOAD_RUN = Path('run') / 'load'
_SOAK_RUN = Path('run') / 'soak'

_Sample = Annotated[Path, typer.Argument(help='Such as samples/hilal.')]
_Rate = Annotated[float, typer.Option(help='Requests a second.')]
_Seconds = Annotated[float, typer.Option(help='Length of the load.')]
_Nodes = Annotated[int, typer.Option(help='Number of nodes.')]


def run_load(
    sample: _Sample,
    rate: _Rate = 200,
    seconds: _Seconds = 10,
    nodes: _Nodes = 5,
    fault: Annotated[
        list[str] | None,
        typer.Option(help='name[#node]@second[+length]; repeatable.'),
    ] = None,
    baseline: Annotated[Baseline, typer.Option()] = Baseline.PROXY,
    service_ms: Annotated[float, typer.Option(help='Of a statement.')] = 0,
) -> None:
    """Runs a load with faults and checks the history."""
    plan = Plan.of_sample(sample, nodes)
    group = job_group(mix_of(plan.site, plan.group_names))
    settings = ExperimentSettings(
        LoadSettings(rate, seconds, callers_for(rate)),
        baseline,
        [read_fault(text, group) for text in fault or ()],
        service_ms,
    )
    _conclude(uvloop.run(_run(plan, settings, _LOAD_RUN)))


def run_soak(
    sample: _Sample,
    rate: _Rate = 100,
    seconds: _Seconds = 60,
    nodes: _Nodes = 5,
    seed: Annotated[int, typer.Option(help='Of load and faults.')] = 1,
) -> None:
    """Runs a load under random faults and checks the history."""
    plan = Plan.of_sample(sample, nodes)
    faults = random_faults(seed, seconds, plan.group_names, nodes)
    typer.echo(f'seed={seed}')
    for fault in faults:
        typer.echo(fault)
    settings = ExperimentSettings(
        LoadSettings(rate, seconds, callers_for(rate), seed),
        faults=faults,
    )
    _conclude(uvloop.run(_run(plan, settings, _SOAK_RUN)))


def _conclude(outcome: Result) -> None:
    typer.echo(report_text(outcome.document))
    if outcome.violations:
        raise typer.Exit(_BROKEN_PROMISE)


async def _run(
    plan: Plan,
    settings: ExperimentSettings,
    directory: Path,
) -> Result:
    async with Cluster(plan, directory) as cluster:
        return await Experiment(cluster, settings, directory).run()
