"""Order of recent changes, so that each link sends every change once."""

from __future__ import annotations

from collections.abc import Hashable
from itertools import takewhile
from typing import Generic, TypeVar

_Key = TypeVar('_Key', bound=Hashable)


class ChangeLog(Generic[_Key]):
    """Keys in the order of their last change.

    A reader keeps the number of the last change that it has seen. A key that
    changed twice meanwhile is read once.
    """

    def __init__(self) -> None:
        """Starts without changes."""
        self._numbers: dict[_Key, int] = {}
        self._last = 0

    @property
    def last(self) -> int:
        """Number of the newest change."""
        return self._last

    def note(self, key: _Key) -> None:
        """Moves a key to the newest place.

        Args:
            key: what changed.
        """
        self._last += 1
        self._numbers.pop(key, None)
        self._numbers[key] = self._last

    def forget(self, key: _Key) -> None:
        """Drops a key.

        Args:
            key: what is no longer kept.
        """
        self._numbers.pop(key, None)

    def after(self, number: int, limit: int) -> tuple[int, list[_Key]]:
        """Lists what changed after a number, oldest first.

        Args:
            number: last change that the reader has seen.
            limit: most keys to return.

        Returns:
            The number to ask with next, and the keys.
        """
        if number >= self._last:
            return self._last, []
        newer = list(
            takewhile(
                lambda change: change[1] > number,
                reversed(self._numbers.items()),
            ),
        )
        newer.reverse()
        if len(newer) <= limit:
            return self._last, [key for key, _ in newer]
        return newer[limit - 1][1], [key for key, _ in newer[:limit]]
