"""What a read requires of the endpoint that serves it."""

from __future__ import annotations

from dataclasses import dataclass

from cowslipfork.configuration import AgeRule, ReadingRule, SessionRule
from cowslipfork.ids import ORIGIN, Mark


@dataclass(frozen=True, slots=True)
class Need:
    """A reading rule applied to one read.

    Attributes:
        floor: mark that the endpoint's log must have reached.
        max_age: maximum proved age of the data in seconds; None for any.
        fresh: whether the minimum mark must first be raised to the mark of a
            check that begins after the read arrived.
    """

    floor: Mark = ORIGIN
    max_age: float | None = None
    fresh: bool = False


def need_of(rule: ReadingRule | None, floor: Mark | None) -> Need:
    """Applies a reading rule.

    Args:
        rule: rule of the read's kind; None for an unknown kind.
        floor: highest mark that the session wrote in the group; None if it
            is not known.

    Returns:
        The requirement; it is fresh for an unknown kind, and for a session
        rule if the session's mark is not known.
    """
    known = ORIGIN if floor is None else floor
    if isinstance(rule, AgeRule):
        return Need(known, max_age=rule.max_age)
    if isinstance(rule, SessionRule) and floor is not None:
        return Need(floor)
    return Need(known, fresh=True)
