"""What a read requires of the endpoint that serves it."""

from __future__ import annotations

from dataclasses import dataclass

from cowslipfork.configuration import AgeRule, ReadingRule, SessionRule
from cowslipfork.ids import INITIAL_MARK, Mark


@dataclass(frozen=True, slots=True)
class ReadRequirement:
    """A reading rule applied to one read.

    Attributes:
        minimum_mark: mark that the endpoint's log must have reached.
        max_age: maximum proved age of the data in seconds; None for any.
        fresh: whether the minimum mark must first be raised to the mark of a
            check that begins after the read arrived.
    """

    minimum_mark: Mark = INITIAL_MARK
    max_age: float | None = None
    fresh: bool = False


def read_requirement(
    rule: ReadingRule | None,
    session_mark: Mark | None,
) -> ReadRequirement:
    """Applies a reading rule.

    Args:
        rule: rule of the read's kind; None for an unknown kind.
        session_mark: highest mark that the session wrote in the group; None
            if it is not known.

    Returns:
        The requirement; it is fresh for an unknown kind, and for a session
        rule if the session's mark is not known.
    """
    known = INITIAL_MARK if session_mark is None else session_mark
    if isinstance(rule, AgeRule):
        return ReadRequirement(known, max_age=rule.max_age)
    if isinstance(rule, SessionRule) and session_mark is not None:
        return ReadRequirement(session_mark)
    return ReadRequirement(known, fresh=True)
