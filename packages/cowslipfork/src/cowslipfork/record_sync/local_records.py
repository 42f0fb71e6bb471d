"""Aggregate of all records that a node holds."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from enum import Enum, unique
from itertools import chain, repeat
from typing import TypeAlias

import xxhash
from expression import Error, Ok, Result

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import Revision
from cowslipfork.record_sync.change_log import ChangeLog
from cowslipfork.record_sync.record import (
    CONFIGURATION_KEY,
    HeldRecord,
    Version,
)

#: Buckets of keys; one digest each finds the records that differ.
BUCKETS = 256

#: Records in an answer to a fetch, but for those of its last bucket.
FETCH_RECORDS = 500


@unique
class RecordRefusal(Enum):
    """Why a record was not applied."""

    KNOWN = 'known'
    OLDER = 'older'
    DIVERGED = 'diverged'


class RecordRefused(CowslipforkError):
    """A record was not applied; what is held stays in force."""

    def __init__(self, record: HeldRecord, refusal: RecordRefusal) -> None:
        """Remembers the record.

        Args:
            record: what was refused.
            refusal: why.
        """
        super().__init__(
            f'record {record.key} at {record.version} refused: {refusal.value}',
        )
        self.record = record
        self.refusal = refusal


Applied: TypeAlias = Result[HeldRecord, RecordRefused]
Watcher: TypeAlias = Callable[[HeldRecord], None]


class LocalRecords:
    """Configuration, group records and platform entries in force.

    A record replaces only one of a lower version, whoever brings it.
    """

    def __init__(self, diverged: Watcher) -> None:
        """Starts empty.

        Args:
            diverged: called with a record that has another content than the
                held one of the same version: an invariant is broken.
        """
        self._records: dict[str, HeldRecord] = {}
        self._buckets: list[dict[str, HeldRecord]] = [
            {} for _ in range(BUCKETS)
        ]
        self._digests = list(repeat(0, BUCKETS))
        self._digest = 0
        self._changes: ChangeLog[str] = ChangeLog()
        self._watchers: list[Watcher] = []
        self._diverged = diverged

    @property
    def revision(self) -> Revision:
        """Configuration in force; 0 without one."""
        held = self._records.get(CONFIGURATION_KEY)
        return Revision(held.version.major if held else 0)

    @property
    def digest(self) -> int:
        """64 bits over keys and versions of all records."""
        return self._digest

    @property
    def digests(self) -> Sequence[int]:
        """Digest of each bucket."""
        return self._digests

    @property
    def changes(self) -> ChangeLog[str]:
        """Keys in the order of their last change."""
        return self._changes

    def watch(self, watcher: Watcher) -> None:
        """Calls back with each applied record.

        Args:
            watcher: called in the order of application.
        """
        self._watchers.append(watcher)

    def get(self, key: str) -> HeldRecord | None:
        """Returns the record of a key.

        Args:
            key: key in the store.

        Returns:
            The record in force, or None.
        """
        return self._records.get(key)

    def with_prefix(self, prefix: str) -> list[HeldRecord]:
        """Lists records that are not deleted.

        Args:
            prefix: beginning of their keys.

        Returns:
            The records in force.
        """
        return [
            record
            for key, record in self._records.items()
            if key.startswith(prefix) and record.content is not None
        ]

    def apply(self, record: HeldRecord) -> Applied:
        """Puts a record in force if it is newer.

        Args:
            record: from the store or a peer.

        Returns:
            The record, or why it was refused.
        """
        held = self._records.get(record.key)
        if held and record.version <= held.version:
            return Error(RecordRefused(record, self._refusal(held, record)))
        self._replace(held, record)
        self._changes.note(record.key)
        for watcher in self._watchers:
            watcher(record)
        return Ok(record)

    def drop_missing(
        self,
        prefix: str,
        present: Iterable[str],
        revision: int,
    ) -> None:
        """Deletes records that a whole list of the store no longer has.

        Args:
            prefix: what was listed.
            present: keys in the list.
            revision: store revision of the list; later records stay.
        """
        missing = {record.key for record in self.with_prefix(prefix)}
        missing.difference_update(present)
        for key in missing:
            self.apply(HeldRecord(key, Version(revision), None))

    def differing(
        self, digests: Sequence[int]
    ) -> tuple[list[HeldRecord], bool]:
        """Finds records for a peer that holds others.

        Args:
            digests: the peer's, one for each bucket.

        Returns:
            All records of the first differing buckets, and whether more
            buckets differ.
        """
        pages = self._differing(digests)
        found: list[HeldRecord] = []
        for page in pages:
            found.extend(page)
            if len(found) >= FETCH_RECORDS:
                break
        return found, next(pages, None) is not None

    def _differing(self, digests: Sequence[int]) -> Iterator[list[HeldRecord]]:
        theirs = chain(digests, repeat(0))
        return (
            list(bucket.values())
            for bucket, ours, other in zip(
                self._buckets,
                self._digests,
                theirs,
                strict=False,
            )
            if ours != other and bucket
        )

    def _refusal(self, held: HeldRecord, record: HeldRecord) -> RecordRefusal:
        if record.version < held.version:
            return RecordRefusal.OLDER
        if record.content == held.content:
            return RecordRefusal.KNOWN
        self._diverged(record)
        return RecordRefusal.DIVERGED

    def _replace(self, held: HeldRecord | None, record: HeldRecord) -> None:
        number = xxhash.xxh3_64_intdigest(record.key.encode()) % BUCKETS
        change = _fingerprint(record)
        if held:
            change ^= _fingerprint(held)
        self._digests[number] ^= change
        self._digest ^= change
        self._buckets[number][record.key] = record
        self._records[record.key] = record


def _fingerprint(record: HeldRecord) -> int:
    version = record.version
    text = f'{record.key}\0{version.major}\0{version.minor}'
    return xxhash.xxh3_64_intdigest(text.encode())
