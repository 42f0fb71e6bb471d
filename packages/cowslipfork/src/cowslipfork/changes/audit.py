"""Queries of the audit trail: who changed what, when and why."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

from cowslipfork.changes.records import (
    CURRENT_KEY,
    RECORDS_PER_LIST,
    audit_prefix,
    decode_audit,
    decode_configuration,
)
from cowslipfork.store.port import Store
from cowslipfork.wire.records_pb2 import AuditRecord

#: List calls that one query may make; a longer one goes on from its end.
MAX_LISTS = 20


@dataclass(frozen=True, slots=True)
class AuditQuery:
    """What to look for; empty fields match everything.

    Attributes:
        limit: most records.
        operator: who.
        since_ms: accepted at or after this wall clock time.
        containing: text within the difference or the reason.
        before: only revisions below this one; 0: from the newest.
    """

    limit: int = 20
    operator: str = ''
    since_ms: int = 0
    containing: str = ''
    before: int = 0

    def matches(self, record: AuditRecord) -> bool:
        """Tells whether a record is looked for."""
        text = f'{record.reason}\n{record.difference}'
        return (
            self.operator in {'', record.operator}
            and record.accepted_at_ms >= self.since_ms
            and self.containing in text
        )


@dataclass(frozen=True, slots=True)
class AuditPage:
    """Records found, the newest first.

    Attributes:
        records: those that match.
        next_before: where the next query goes on; 0: the trail ends.
    """

    records: tuple[AuditRecord, ...]
    next_before: int


async def query_audit(store: Store, query: AuditQuery) -> AuditPage:
    """Reads a page of the audit trail.

    Args:
        store: the platform's store.
        query: what to look for.

    Returns:
        The newest records that match.

    Raises:
        StoreDown: no answer in time.
        RecordUnreadable: a value is damaged.
    """
    found: list[AuditRecord] = []
    start = query.before - 1 if query.before else await _newest(store)
    lowest = start + 1
    async for record in _walk(store, start):
        lowest = record.revision
        if record.accepted_at_ms < query.since_ms:
            return AuditPage(tuple(found), 0)
        if query.matches(record):
            found.append(record)
        if len(found) == query.limit:
            break
    is_end = lowest == start + 1 or lowest == 1
    return AuditPage(tuple(found), 0 if is_end else lowest)


async def _newest(store: Store) -> int:
    entry = await store.get(CURRENT_KEY)
    if entry is None:
        return 0
    return decode_configuration(CURRENT_KEY, entry.content).revision


async def _walk(store: Store, start: int) -> AsyncIterator[AuditRecord]:
    """Yields records from a revision downwards, ten by each list call."""
    last_list = max(0, start // RECORDS_PER_LIST - MAX_LISTS + 1)
    for tens in range(start // RECORDS_PER_LIST, last_list - 1, -1):
        prefix = audit_prefix(tens * RECORDS_PER_LIST)
        entries, _ = await store.list_prefix(prefix)
        if not entries and tens != start // RECORDS_PER_LIST:
            return
        for entry in reversed(entries):
            record = decode_audit(entry.key, entry.content)
            if record.revision <= start:
                yield record
