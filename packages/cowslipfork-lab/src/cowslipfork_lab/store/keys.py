"""Keys and their history, by store revision."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from typing import Any

from aetcd import rpc

_ALL_KEYS = b'\0'


class KeySpace:
    """Versioned keys in memory; all methods run without waiting."""

    def __init__(self) -> None:
        """Starts empty at revision 1, as etcd does."""
        self._revision = 1
        self._entries: dict[bytes, Any] = {}
        self._history: list[tuple[int, Sequence[Any]]] = []
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Store revision of the last change."""
        return self._revision

    @property
    def changed(self) -> asyncio.Event:
        """Set and replaced with each change."""
        return self._changed

    def find(self, key: bytes) -> Any | None:
        """Gives the entry of a key, or None."""
        return self._entries.get(key)

    def select(self, key: bytes, range_end: bytes) -> list[Any]:
        """Gives the entries of a key or range, in key order."""
        if not range_end:
            entry = self._entries.get(key)
            return [] if entry is None else [entry]
        return [
            self._entries[known]
            for known in sorted(self._entries)
            if in_range(known, key, range_end)
        ]

    def change(
        self,
        puts: Iterable[Any],
        deletes: Iterable[tuple[bytes, bytes]] = (),
    ) -> int:
        """Writes and deletes at one new revision.

        Args:
            puts: etcd's put requests.
            deletes: keys or ranges as (key, range_end).

        Returns:
            Number of entries deleted.
        """
        revision = self._revision + 1
        gone = [
            entry.key
            for key, range_end in deletes
            for entry in self.select(key, range_end)
        ]
        events = [self._put(put, revision) for put in puts]
        events.extend(self._delete(key, revision) for key in gone)
        if events:
            self._revision = revision
            self._history.append((revision, events))
            self._changed.set()
            self._changed = asyncio.Event()
        return len(gone)

    def since(
        self,
        revision: int,
        key: bytes,
        range_end: bytes,
    ) -> list[Any]:
        """Gives the events of a range at or after a revision."""
        return [
            event
            for changed_at, events in self._history
            if changed_at >= revision
            for event in events
            if in_range(event.kv.key, key, range_end)
        ]

    def _put(self, put: Any, revision: int) -> Any:
        before = self._entries.get(put.key)
        entry = rpc.KeyValue(
            key=put.key,
            value=put.value,
            lease=put.lease,
            create_revision=before.create_revision if before else revision,
            mod_revision=revision,
            version=before.version + 1 if before else 1,
        )
        self._entries[put.key] = entry
        return rpc.Event(type=rpc.Event.PUT, kv=entry, prev_kv=before)

    def _delete(self, key: bytes, revision: int) -> Any:
        before = self._entries.pop(key)
        tombstone = rpc.KeyValue(key=key, mod_revision=revision)
        return rpc.Event(type=rpc.Event.DELETE, kv=tombstone, prev_kv=before)


def in_range(key: bytes, first: bytes, range_end: bytes) -> bool:
    """Tells whether a key lies in etcd's [first, range_end)."""
    if not range_end:
        return key == first
    return key >= first and (range_end == _ALL_KEYS or key < range_end)
