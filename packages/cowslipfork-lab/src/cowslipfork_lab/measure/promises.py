"""Measures gaps, replica reads, availability and overload, several runs each.

``python -m cowslipfork_lab.measure.promises --runs 5`` prints a table for
docs/MEASURES.md: medians with the least and the greatest of all runs.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final

import typer
import uvloop

from cowslipfork_lab.cluster import Cluster, Plan
from cowslipfork_lab.load.experiment import (
    Experiment,
    ExperimentSettings,
    Result,
)
from cowslipfork_lab.load.mix import job_group, mix_of
from cowslipfork_lab.load.runner import Baseline, LoadSettings
from cowslipfork_lab.load.schedule import read_fault

_RUN: Final = Path('run/promises')
_FAULT_AT: Final = 4
_CALLERS: Final = 60

#: Service time of a statement that makes slots the scarce thing here.
_SERVICE_MS: Final = 20

#: Requests a second at which the replicas of the busiest group have all
#: slots in use, with that service time: Hilal's observances take 65% of the
#: requests as reads on 2 x 3 slots, which serve 300 a second.
_CAPACITY: Final = 460


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load and what happens in it.

    Attributes:
        rate: requests a second.
        faults: names of faults that strike together.
    """

    name: str
    sample: str = 'hilal'
    rate: float = 200
    seconds: float = 12
    faults: tuple[str, ...] = ()
    service_ms: float = 0
    baseline: Baseline = Baseline.PROXY


_STRIKES: Final = ('kill-primary', 'freeze-primary', 'cut-primary')

SCENARIOS: Final = (
    Scenario('hilal, no fault'),
    Scenario('nilebean, no fault', sample='nilebean'),
    Scenario('hilal, straight to the primary', baseline=Baseline.DIRECT),
    *(Scenario(f'hilal, {name}', faults=(name,)) for name in _STRIKES),
    *(
        Scenario(
            f'hilal, {name} and kill-carrier', faults=(name, 'kill-carrier')
        )
        for name in _STRIKES
    ),
    Scenario('hilal, kill-carrier', faults=('kill-carrier',)),
    Scenario('hilal, store-down', faults=('store-down',)),
    Scenario(
        'nilebean, kill-primary',
        sample='nilebean',
        faults=('kill-primary',),
    ),
    *(
        Scenario(
            f'hilal, {share:.0%} of slots',
            rate=_CAPACITY * share,
            service_ms=_SERVICE_MS,
        )
        for share in (0.5, 0.9, 1.5)
    ),
)


async def _once(scenario: Scenario, seed: int) -> Result:
    plan = Plan.of_sample(Path('samples') / scenario.sample)
    group = job_group(mix_of(plan.site, plan.group_names))
    settings = ExperimentSettings(
        LoadSettings(scenario.rate, scenario.seconds, _CALLERS, seed),
        scenario.baseline,
        [read_fault(f'{name}@{_FAULT_AT}', group) for name in scenario.faults],
        scenario.service_ms,
    )
    async with Cluster(plan, _RUN) as cluster:
        return await Experiment(cluster, settings, _RUN).run()


def _row(scenario: Scenario, results: Sequence[Result]) -> str:
    documents = [result.document for result in results]
    violations = sum(len(result.violations) for result in results)
    cells = (
        scenario.name,
        f'{scenario.rate:.0f}',
        _figure(_all(documents, 'goodput_per_second'), 0),
        _figure(_all(documents, 'weighted_availability'), 4),
        _figure(_all(documents, 'replica_read_share'), 4),
        _figure(_all(documents, 'failover_gap_seconds'), 3),
        _latency(documents, 'p50'),
        _latency(documents, 'p99'),
        str(violations),
    )
    return f'| {" | ".join(cells)} |'


def _all(documents: Sequence[Any], name: str) -> list[float]:
    return [
        document[name] for document in documents if document[name] is not None
    ]


def _latency(documents: Sequence[Any], quantile: str) -> str:
    """Gives a latency of the class that must never be shed."""
    found = [
        kind['latency_ms'][quantile]
        for document in documents
        for name, kind in document['kinds'].items()
        if name in {'confirm_sighting', 'record_grade'}
    ]
    return _figure(found, 0)


def _figure(found: Sequence[float], digits: int) -> str:
    if not found:
        return '-'
    middle = statistics.median(found)
    least, greatest = min(found), max(found)
    return f'{middle:.{digits}f} ({least:.{digits}f} to {greatest:.{digits}f})'


def _table(runs: int, name: str) -> Iterator[str]:
    yield (
        '| scenario | requests/s | done in time/s | weighted availability '
        '| reads by replicas | gap s | confirmation p50 ms | p99 ms '
        '| violations |'
    )
    yield f'|{"---|" * 9}'
    for scenario in SCENARIOS:
        if name in scenario.name:
            yield _row(
                scenario,
                [
                    uvloop.run(_once(scenario, seed))
                    for seed in range(1, runs + 1)
                ],
            )


def main(
    runs: Annotated[int, typer.Option(help='Runs of each.')] = 5,
    name: Annotated[str, typer.Option(help='Part of names; empty: all.')] = '',
) -> None:
    """Measures every scenario and prints a table."""
    for line in _table(runs, name):
        typer.echo(line)


if __name__ == '__main__':
    typer.run(main)
