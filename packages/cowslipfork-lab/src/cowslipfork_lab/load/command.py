"""Command line of the load tool."""

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
from cowslipfork_lab.load.runner import Baseline, LoadSettings
from cowslipfork_lab.load.text import report_text

_BROKEN_PROMISE = 1


def run_load(
    sample: Annotated[Path, typer.Argument(help='Such as samples/hilal.')],
    rate: Annotated[float, typer.Option(help='Requests a second.')] = 200,
    seconds: Annotated[float, typer.Option(help='Length of the load.')] = 10,
    callers: Annotated[int, typer.Option(help='Caller connections.')] = 60,
    nodes: Annotated[int, typer.Option(help='Number of nodes.')] = 5,
    fault: Annotated[str, typer.Option(help='name@second.')] = '',
    baseline: Annotated[Baseline, typer.Option()] = Baseline.PROXY,
) -> None:
    """Runs a load with an optional fault and checks the history."""
    name, _, at = fault.partition('@')
    settings = ExperimentSettings(
        LoadSettings(rate, seconds, callers),
        baseline,
        name,
        float(at or 0),
    )
    outcome = uvloop.run(_run(sample, nodes, settings))
    typer.echo(report_text(outcome.document))
    if outcome.violations:
        raise typer.Exit(_BROKEN_PROMISE)


async def _run(
    sample: Path,
    nodes: int,
    settings: ExperimentSettings,
) -> Result:
    directory = Path('run') / 'load'
    async with Cluster(Plan.of_sample(sample, nodes), directory) as cluster:
        return await Experiment(cluster, settings, directory).run()
