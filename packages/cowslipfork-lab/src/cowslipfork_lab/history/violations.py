"""What a history can prove wrong."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from cowslipfork_lab.history.attempt import Attempt


@unique
class Rule(Enum):
    """Promises to callers that a history is checked against."""

    ACKNOWLEDGED_JOB_LOST = 'an acknowledged job is missing'
    JOB_RAN_TWICE = 'a job ran more than once'
    NOT_RUN_BUT_RAN = 'a request that was "not run" left its effect'
    ACKNOWLEDGED_WRITE_LOST = 'an acknowledged write was lost'
    STALE_READ = 'a read missed a write that its rule demands'
    READ_BACKWARDS = 'a session read an older value than before'
    READ_OF_NOTHING = 'a read saw a value that nobody had written'


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise.

    Attributes:
        rule: the promise.
        key: job or register.
        expected: what should have been seen.
        found: what was seen.
        attempt: the attempt that shows it, if one does.
    """

    rule: Rule
    key: str
    expected: str
    found: str
    attempt: Attempt | None = None

    def __str__(self) -> str:
        """Says it in one line."""
        return (
            f'violation={self.rule.name.lower()} key={self.key} '
            f'expected="{self.expected}" found="{self.found}" '
            f'attempt={self.attempt}'
        )
