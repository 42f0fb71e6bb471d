"""How a command ended, for scripts."""

from __future__ import annotations

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit codes; operators' scripts rely on the numbers."""

    OK = 0
    FAILED = 1
    USAGE = 2
    PROBLEMS = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNCERTAIN = 6
    NOT_IN_FORCE = 7
    DENIED = 8
    NOT_FOUND = 9
