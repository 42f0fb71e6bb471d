"""A mechanism that can be switched off."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import PurePosixPath


@dataclass(frozen=True, slots=True)
class Mutant:
    """A mechanism and how it is switched off.

    Attributes:
        mechanism: what is off.
        path: source file.
        text: text that is replaced; it occurs once.
        replacement: what stands there instead.
        tests: tests of which at least one must fail.
    """

    mechanism: str
    path: PurePosixPath
    text: str
    replacement: str
    tests: str
