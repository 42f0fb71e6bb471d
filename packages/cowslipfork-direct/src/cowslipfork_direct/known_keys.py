"""Newest revision and size of each key of the store that a node has seen."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from cowslipfork.store import Event


@dataclass(frozen=True, slots=True)
class _KnownKey:
    revision: int
    size: int


class KnownKeys:
    """Tells new changes from those that are known already."""

    def __init__(self) -> None:
        """Starts without keys."""
        self._known: dict[str, _KnownKey] = {}

    @property
    def content_size(self) -> int:
        """Bytes of the content of all keys."""
        return sum(known.size for known in self._known.values())

    def absent_from(self, listed: Collection[str]) -> frozenset[str]:
        """Returns the known keys that are not among those listed."""
        return frozenset(self._known.keys() - listed)

    def is_new(self, event: Event) -> bool:
        """Returns whether a change is later than what is known of its key."""
        known = self._known.get(event.key)
        return known is None or event.revision > known.revision

    def add(self, event: Event) -> None:
        """Notes a change."""
        if event.content is None:
            self._known.pop(event.key, None)
        else:
            size = len(event.content)
            self._known[event.key] = _KnownKey(event.revision, size)

    def forget(self, event: Event) -> None:
        """Has a change count as new once more.

        A removed key is noted as known, so that its absence is noticed again.
        """
        if event.content is None:
            self._known[event.key] = _KnownKey(0, 0)
        else:
            self._known.pop(event.key, None)

    def restart(self, absent: Collection[str]) -> None:
        """Forgets all revisions, which the store may give out again.

        Args:
            absent: keys that stay known, though the store lacks them.
        """
        self._known = dict.fromkeys(absent, _KnownKey(0, 0))
