"""Marks of what one caller's session has written."""

from __future__ import annotations

from collections.abc import Mapping

from cowslipfork.ids import GroupName, Mark
from cowslipfork.outcomes import Done, Outcome, Unknown
from cowslipfork.requests import Answer, QueryAttributes


class CallerMarks:
    """Highest acknowledged mark per group, as seen on one connection."""

    __slots__ = ('_in_doubt', '_marks')

    def __init__(self) -> None:
        """Starts with nothing written."""
        self._marks: dict[GroupName, Mark] = {}
        self._in_doubt: set[GroupName] = set()

    def note(self, group: GroupName, outcome: Outcome[Answer]) -> None:
        """Takes in how a request ended.

        Args:
            group: that served it.
            outcome: its end.
        """
        if isinstance(outcome, Unknown):
            self._in_doubt.add(group)
        if isinstance(outcome, Done) and outcome.answer.mark is not None:
            mark = outcome.answer.mark
            self._in_doubt.discard(group)
            self._marks[group] = max(mark, self._marks.get(group, mark))

    def known_to(
        self,
        group: GroupName,
        attributes: QueryAttributes,
    ) -> dict[GroupName, Mark] | None:
        """Gives all marks of the session, if they are all known here.

        A session that gives only its id may have written elsewhere, so what
        this connection wrote is not all of it. Neither is it after a write
        whose outcome is unknown.

        Args:
            group: that the request is for.
            attributes: of the request.

        Returns:
            Marks by group; None if some may be missing.
        """
        if group in self._in_doubt:
            return None
        if attributes.marks is not None:
            return self.joined(attributes.marks)
        return None if attributes.session else dict(self._marks)

    def joined(
        self,
        others: Mapping[GroupName, Mark],
    ) -> dict[GroupName, Mark]:
        """Joins these marks with those of a token.

        Args:
            others: marks of the token.

        Returns:
            The higher mark of each group.
        """
        higher = {
            group: max(mark, self._marks.get(group, mark))
            for group, mark in others.items()
        }
        return {**self._marks, **higher}

    def clear(self) -> None:
        """Forgets all."""
        self._marks.clear()
        self._in_doubt.clear()
