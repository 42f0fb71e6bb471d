"""Steps of the demo, in their order."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final, TypeAlias

import typer

from cowslipfork.errors import CowslipforkError
from cowslipfork_lab.cluster import Cluster, Plan
from cowslipfork_lab.demo import steps

#: Seconds that one step may take.
STEP_TIMEOUT: Final = 30

Step: TypeAlias = Callable[[Cluster], Awaitable[str]]


class StepFailed(CowslipforkError):
    """A step of the demo failed."""

    def __init__(self, step: str, cause: str, logs: Path) -> None:
        """Remembers the step.

        Args:
            step: its name.
            cause: what went wrong.
            logs: directory of the processes' logs.
        """
        super().__init__(f'step "{step}" failed: {cause}; logs: {logs}')
        self.step = step


_STEPS: Final[tuple[tuple[str, Step], ...]] = (
    ('create tables', steps.create_tables),
    ('book a job', steps.book),
    ('read it back through another proxy', steps.read_back),
    ('repeat the booking', steps.repeat),
    ('read the festival list from a replica', steps.read_list),
    ('change a reading rule', steps.change_rule),
    ('kill the primary and book again', steps.fail_over),
    ('drain a proxy with requests in flight', steps.drain),
)


async def run_demo(sample: Path, directory: Path) -> None:
    """Starts a cluster, drives it through every step and stops it.

    Args:
        sample: a sample deployment.
        directory: run directory.

    Raises:
        StepFailed: a step failed; the cluster is stopped all the same.
    """
    plan = Plan.of_sample(sample, groups=(steps.GROUP,))
    begun = time.monotonic()
    async with Cluster(plan, directory) as cluster:
        _tell('start the store, three endpoints and five proxies', begun)
        for name, step in _STEPS:
            await _run(name, step, cluster, directory)
    typer.echo('demo: ok')


async def _run(
    name: str,
    step: Step,
    cluster: Cluster,
    directory: Path,
) -> None:
    begun = time.monotonic()
    try:
        async with asyncio.timeout(STEP_TIMEOUT):
            found = await step(cluster)
    except Exception as error:
        cause = str(error) or type(error).__name__
        raise StepFailed(name, cause, directory) from error
    _tell(f'{name}: {found}', begun)


def _tell(text: str, begun: float) -> None:
    typer.echo(f'{time.monotonic() - begun:7.3f} s  {text}')
