"""Reads and writes group records; reads back a write without an answer."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass

from cowslipfork.configuration import Group
from cowslipfork.errors import CowslipforkError
from cowslipfork.groups.record import (
    ClaimerId,
    GroupRecord,
    decode_record,
    encode_record,
    first_record,
    record_key,
)
from cowslipfork.ids import EndpointId
from cowslipfork.store import (
    Compare,
    Entry,
    Put,
    Store,
    StoreUncertain,
)

#: Consecutive attempts without an answer after which a write fails.
SWAP_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record and the store revision of its last change.

    Attributes:
        revision: 0 for the first record, which is not stored.
    """

    record: GroupRecord
    revision: int


class RecordConflict(CowslipforkError):
    """Another claimer changed the record first."""

    def __init__(self, expected: GroupRecord) -> None:
        """Describes the conflict.

        Args:
            expected: the record that is no longer stored.
        """
        super().__init__(f'{expected} was replaced by another claimer')
        self.expected = expected


def _stored_record(entry: Entry) -> StoredRecord:
    return StoredRecord(
        decode_record(entry.key, entry.content),
        entry.revision,
    )


async def read_record(store: Store, group: Group) -> StoredRecord:
    """Reads the record of a group, or returns the first one if none is stored.

    Raises:
        StoreDown: the store did not answer in time.
        RecordInvalid: the stored bytes are no valid record.
    """
    entry = await store.get(record_key(group.name))
    if entry is None:
        return StoredRecord(first_record(group), 0)
    return _stored_record(entry)


async def _read_back(
    store: Store,
    before: StoredRecord,
    put: Put,
) -> StoredRecord | None:
    """Reads back after a lost answer, or a conflict with an own late write.

    Returns:
        The record if this process wrote it, or None if it has not changed.

    Raises:
        RecordConflict: another claimer changed the record.
        StoreDown: the store did not answer in time.
    """
    found = await store.get(put.key)
    if found is None or found.revision == before.revision:
        return None
    if found.content != put.content:
        raise RecordConflict(before.record)
    return _stored_record(found)


async def _replace(
    store: Store,
    before: StoredRecord,
    new_record: GroupRecord,
) -> StoredRecord:
    key = record_key(new_record.group)
    put = Put(key, encode_record(new_record))
    # The store may still receive an unanswered attempt later. As every attempt
    # has the same comparison, at most one takes effect.
    for _ in range(SWAP_ATTEMPTS):
        with suppress(StoreUncertain):
            swapped = await store.swap([Compare(key, before.revision)], [put])
            if swapped.succeeded:
                return StoredRecord(new_record, swapped.revision)
        written = await _read_back(store, before, put)
        if written is not None:
            return written
    raise StoreUncertain('swap', f'{SWAP_ATTEMPTS} attempts without an answer')


async def claim_record(
    store: Store,
    before: StoredRecord,
    claimer: ClaimerId,
) -> StoredRecord:
    """Claims the next term by compare-and-swap.

    Args:
        store: the platform's store.
        before: the record as it was read.
        claimer: process that claims; it claims a group only once at a time.

    Returns:
        The claimed record with its store revision.

    Raises:
        RecordConflict: another claimer was first.
        StoreDown: the store did not answer; the claim may have taken effect
            and stays until a later term supersedes it.
    """
    return await _replace(store, before, before.record.claim(claimer))


async def publish_record(
    store: Store,
    claimed: StoredRecord,
    claimer: ClaimerId,
    primary: EndpointId,
) -> StoredRecord:
    """Publishes the primary of a claimed term by compare-and-swap.

    Raises:
        PublishRefused: another process holds the claim.
        RecordConflict: a later term was claimed meanwhile.
        StoreDown: the store did not answer; the primary may have been
            published.
    """
    published = claimed.record.publish(claimer, primary)
    return await _replace(store, claimed, published)
