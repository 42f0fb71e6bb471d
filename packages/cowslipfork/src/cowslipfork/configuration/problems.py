"""What is wrong with a configuration, each problem with its place."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from cowslipfork.errors import CowslipforkError


@unique
class ProblemKind(Enum):
    """What sort of mistake a problem is."""

    SYNTAX = 'syntax'
    UNKNOWN_SECTION = 'unknown_section'
    UNKNOWN_KEY = 'unknown_key'
    DUPLICATE = 'duplicate'
    MISSING = 'missing'
    BAD_VALUE = 'bad_value'
    OUT_OF_RANGE = 'out_of_range'
    BAD_REFERENCE = 'bad_reference'
    CONTRADICTION = 'contradiction'
    TOO_LARGE = 'too_large'


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake.

    Attributes:
        file: ``base``, ``overlay <site>`` or a file name.
        section: section heading without brackets; empty for the whole file.
        key: key within the section; empty for the whole section.
        text: the mistake in words.
        kind: sort of mistake, for programs.
    """

    file: str
    section: str
    key: str
    text: str
    kind: ProblemKind = ProblemKind.BAD_VALUE

    def __str__(self) -> str:
        """Words the problem on one line."""
        section = f' [{self.section}]' if self.section else ''
        key = f' {self.key}' if self.key else ''
        return f'{self.file}:{section}{key}: {self.text}'


@dataclass(frozen=True, slots=True)
class Problems:
    """All mistakes of a configuration, in the order of its files."""

    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        """Words all problems, one line each."""
        return '\n'.join(map(str, self.problems))


class BadValue(CowslipforkError):
    """A value that its key does not accept."""

    def __init__(
        self,
        text: str,
        kind: ProblemKind = ProblemKind.BAD_VALUE,
    ) -> None:
        """Remembers what is wrong.

        Args:
            text: what the key expects.
            kind: sort of mistake.
        """
        super().__init__(text)
        self.text = text
        self.kind = kind
