"""Mutants of the statement protocol and of the matching of its answers."""

from __future__ import annotations

from pathlib import PurePosixPath
from typing import Final

from cowslipfork_lab.mutants.mutant import Mutant

_PLATFORM: Final = PurePosixPath('platform/src/cowslipfork_platform')
_PLATFORM_TESTS: Final = '-c platform/pyproject.toml platform/tests'

ANSWER_MUTANTS: Final = (
    Mutant(
        'platform: a line ends with CR LF only',
        _PLATFORM / '_line_protocol.py',
        'line = await reader.readuntil(_TERMINATOR)',
        'line = await reader.readline()',
        f'{_PLATFORM_TESTS}/test_line_protocol.py',
    ),
    Mutant(
        'platform: a line loses its terminator only',
        _PLATFORM / '_line_protocol.py',
        'line.removesuffix(_TERMINATOR)',
        'line.rstrip(_TERMINATOR)',
        f'{_PLATFORM_TESTS}/test_line_protocol.py',
    ),
)
