"""What a read demands of the endpoint that serves it."""

from __future__ import annotations

from dataclasses import dataclass

from cowslipfork.configuration import AgeRule, ReadingRule, SessionRule
from cowslipfork.ids import ORIGIN, Mark


@dataclass(frozen=True, slots=True)
class Need:
    """A reading rule applied to one read.

    Attributes:
        floor: the endpoint's log must reach it.
        max_age: greatest proved age in seconds; None for any.
        fresh: whether a check begun from now on raises the floor first.
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
        The need; fresh for an unknown kind and for an unknown floor of a
        session rule.
    """
    known = ORIGIN if floor is None else floor
    if isinstance(rule, AgeRule):
        return Need(known, max_age=rule.max_age)
    if isinstance(rule, SessionRule) and floor is not None:
        return Need(floor)
    return Need(known, fresh=True)
