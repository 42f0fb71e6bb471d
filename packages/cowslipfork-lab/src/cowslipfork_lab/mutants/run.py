"""Runs the tests on copies of the tree, one mechanism off in each."""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

import typer

from cowslipfork.errors import CowslipforkError
from cowslipfork_lab.mutants.mutant import Mutant
from cowslipfork_lab.mutants.table import MUTANTS

#: Copies of the tree that are tested at once.
_AT_ONCE: Final = 3

_LEFT_OUT: Final = shutil.ignore_patterns(
    '.git',
    '.venv',
    'run',
    '*.egg-info',
    '__pycache__',
    '.*_cache',
)
_TESTS_FAILED: Final = 1

#: Seconds after which tests without a mechanism count as failed.
_LONGEST_SECONDS: Final = 90


class MutantOutdated(CowslipforkError):
    """The text that a mutant replaces does not occur just once."""

    def __init__(self, mutant: Mutant) -> None:
        """Remembers the mutant.

        Args:
            mutant: the outdated mutant.
        """
        super().__init__(f'{mutant.path}: {mutant.text!r} is not there once')
        self.mutant = mutant


@dataclass(frozen=True, slots=True)
class Verdict:
    """What came of a mutant.

    Attributes:
        caught_by: names of the failed tests; empty if none noticed.
    """

    mutant: Mutant
    caught_by: Sequence[str]


async def run_mutants(tree: Path, name: str = '') -> bool:
    """Tries every mutant and reports which test notices.

    Args:
        tree: root of the repository.
        name: part of the mechanisms to try; empty for all.

    Returns:
        Whether each was noticed.
    """
    chosen = [mutant for mutant in MUTANTS if name in mutant.mechanism]
    room = asyncio.Semaphore(_AT_ONCE)
    verdicts = await asyncio.gather(
        *(_try(tree, mutant, room) for mutant in chosen),
    )
    for verdict in verdicts:
        caught = len(verdict.caught_by)
        first = verdict.caught_by[0] if caught else 'nobody'
        typer.echo(
            f'{"caught" if caught else "MISSED"}  {verdict.mutant.mechanism}: '
            f'{first} ({caught} tests)',
        )
    return all(judged.caught_by for judged in verdicts)


async def _try(
    tree: Path,
    mutant: Mutant,
    room: asyncio.Semaphore,
) -> Verdict:
    async with room:
        with TemporaryDirectory() as directory:
            copy = Path(directory) / 'tree'
            shutil.copytree(tree, copy, ignore=_LEFT_OUT)
            _switch_off(copy, mutant)
            return Verdict(mutant, await _failed_tests(copy, mutant))


def _switch_off(copy: Path, mutant: Mutant) -> None:
    path = copy / mutant.path
    source = path.read_text()
    if source.count(mutant.text) != 1:
        raise MutantOutdated(mutant)
    path.write_text(source.replace(mutant.text, mutant.replacement))


def _environment(copy: Path) -> dict[str, str]:
    sources = map(str, (*copy.glob('packages/*/src'), copy / 'platform/src'))
    return {**os.environ, 'PYTHONPATH': os.pathsep.join(sources)}


async def _failed_tests(copy: Path, mutant: Mutant) -> list[str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'pytest',
        *mutant.tests.split(),
        cwd=copy,
        env=_environment(copy),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        async with asyncio.timeout(_LONGEST_SECONDS):
            output, _ = await process.communicate()
    except TimeoutError:
        process.kill()
        await process.wait()
        return ['tests that did not end']
    if process.returncode != _TESTS_FAILED:
        return []
    return [
        line.split()[1].rpartition('/')[2]
        for line in output.decode().splitlines()
        if line.startswith('FAILED ')
    ]
