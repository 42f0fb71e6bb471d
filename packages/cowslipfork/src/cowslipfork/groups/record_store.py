"""Reads and writes of group records, with lost answers resolved."""

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

#: Lost answers in a row after which a write is given up.
SWAP_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record and the store revision of its last change.

    Attributes:
        revision: 0 for the first record, which no claimer has written.
    """

    record: GroupRecord
    revision: int


class RecordConflict(CowslipforkError):
    """Another claimer changed the record first."""

    def __init__(self, expected: GroupRecord) -> None:
        """Remembers what was to be replaced.

        Args:
            expected: the record that is no longer there.
        """
        super().__init__(f'{expected} was replaced by another claimer')
        self.expected = expected


def _stored(entry: Entry) -> StoredRecord:
    return StoredRecord(
        decode_record(entry.key, entry.content),
        entry.revision,
    )


async def read_record(store: Store, group: Group) -> StoredRecord:
    """Reads the record of a group; an absent one is the first record.

    Raises:
        StoreDown: no answer in time.
        RecordInvalid: the stored bytes are no record.
    """
    entry = await store.get(record_key(group.name))
    if entry is None:
        return StoredRecord(first_record(group), 0)
    return _stored(entry)


async def _written(
    store: Store,
    before: StoredRecord,
    put: Put,
) -> StoredRecord | None:
    """Reads back after a lost answer or a conflict with an own lost try.

    Returns:
        Our record, or None if the record has not changed.

    Raises:
        RecordConflict: another claimer changed it.
        StoreDown: no answer in time.
    """
    found = await store.get(put.key)
    if found is None or found.revision == before.revision:
        return None
    if found.content != put.content:
        raise RecordConflict(before.record)
    return _stored(found)


async def _replace(
    store: Store,
    before: StoredRecord,
    wanted: GroupRecord,
) -> StoredRecord:
    key = record_key(wanted.group)
    put = Put(key, encode_record(wanted))
    # A lost try may still arrive later; as every try has the same
    # comparison, at most one takes effect.
    for _ in range(SWAP_ATTEMPTS):
        with suppress(StoreUncertain):
            swapped = await store.swap([Compare(key, before.revision)], [put])
            if swapped.succeeded:
                return StoredRecord(wanted, swapped.revision)
        written = await _written(store, before, put)
        if written is not None:
            return written
    raise StoreUncertain('swap', f'{SWAP_ATTEMPTS} answers lost')


async def claim_record(
    store: Store,
    before: StoredRecord,
    claimer: ClaimerId,
) -> StoredRecord:
    """Claims the next term by compare-and-swap.

    Args:
        store: the platform's store.
        before: the record as it was read.
        claimer: who claims; one process claims a group only once at a time.

    Returns:
        The claimed record with its store revision.

    Raises:
        RecordConflict: another claimer was first.
        StoreDown: no answer; the claim may have taken effect and is then
            left to be superseded by a later term.
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
        PublishRefused: the claim is another's.
        RecordConflict: a later term was claimed meanwhile.
        StoreDown: no answer; the primary may have been published.
    """
    wanted = claimed.record.publish(claimer, primary)
    return await _replace(store, claimed, wanted)
