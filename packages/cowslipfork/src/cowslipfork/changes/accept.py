"""Accepts changes of the configuration into the platform's store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias

from expression import Error, Ok, Result

from cowslipfork.changes.change import (
    Accepted,
    Change,
    Conflict,
    Refusal,
    Unavailable,
    single_problem,
)
from cowslipfork.changes.records import (
    CURRENT_KEY,
    MAX_RECORD_BYTES,
    MAX_TEXT_BYTES,
    archived_keys,
    audit_key,
    configuration_key,
    decode_audit,
    decode_configuration,
    encode_configuration,
)
from cowslipfork.configuration.check import check_files
from cowslipfork.configuration.difference import difference, files_of
from cowslipfork.configuration.problems import (
    Problem,
    ProblemKind,
    Problems,
)
from cowslipfork.ids import Revision
from cowslipfork.store.port import (
    Compare,
    Put,
    Store,
    StoreDown,
    StoreUncertain,
)
from cowslipfork.wire.records_pb2 import AuditRecord, ConfigurationRecord

#: Seconds after which a change that met a silent store should be repeated.
RETRY_AFTER = 1.0

_MILLISECONDS = 1000

_Outcome = Result[Accepted, Refusal]

#: Finds the problems of a base file with its overlays.
Check: TypeAlias = Callable[
    [str, Mapping[str, str]],
    Awaitable[tuple[Problem, ...]],
]


def wall_clock_ms() -> int:
    """Reads the wall clock, for people who read the audit trail."""
    return int(time.time() * _MILLISECONDS)


async def check_in_thread(
    base: str,
    overlays: Mapping[str, str],
) -> tuple[Problem, ...]:
    """Checks large files without holding up the event loop.

    Args:
        base: text of the base file.
        overlays: texts by site.

    Returns:
        Every problem.
    """
    return await asyncio.to_thread(check_files, base, overlays)


class ConfigurationHistory:
    """The accepted configurations: revision follows revision by one.

    Each change is one transaction on the condition that the current record
    is still the one that the change was checked against.
    """

    def __init__(
        self,
        store: Store,
        now_ms: Callable[[], int] = wall_clock_ms,
        check: Check = check_in_thread,
    ) -> None:
        """Reads nothing yet.

        Args:
            store: the platform's store.
            now_ms: wall clock for the audit trail.
            check: finds the problems of base and overlays.
        """
        self._check = check
        self._store = store
        self._now_ms = now_ms

    async def current(self) -> ConfigurationRecord | None:
        """Reads the current configuration.

        Returns:
            Its record; None if none was ever accepted.

        Raises:
            StoreDown: no answer in time.
            RecordUnreadable: the value is damaged.
        """
        record, _ = await self._current()
        return record if record.revision else None

    async def at(self, revision: Revision) -> ConfigurationRecord | None:
        """Reads the configuration of a revision.

        Args:
            revision: its number.

        Returns:
            Its record; None if there is none or it has been archived.

        Raises:
            StoreDown: no answer in time.
            RecordUnreadable: the value is damaged.
        """
        key = configuration_key(revision)
        entry = await self._store.get(key)
        if entry is None:
            return None
        return decode_configuration(key, entry.content)

    async def accept(self, change: Change) -> _Outcome:
        """Checks a change as a whole and writes it; a repeat is harmless.

        Args:
            change: the proposal.

        Returns:
            The new revision, or why there is none.

        Raises:
            RecordUnreadable: a value in the store is damaged.
        """
        if change.text_bytes > MAX_TEXT_BYTES:
            return Error(_too_large(change.text_bytes, MAX_TEXT_BYTES))
        found = await self._check(change.base, change.overlays)
        problems = (*change.own_problems(), *found)
        if problems:
            return Error(Problems(problems))
        try:
            return await self._accept(change)
        except StoreDown as down:
            return Error(
                Unavailable(
                    RETRY_AFTER,
                    str(down),
                    isinstance(down, StoreUncertain),
                ),
            )

    async def _accept(self, change: Change) -> _Outcome:
        current, store_revision = await self._current()
        if current.revision != change.expected:
            return await self._resolve(change, current)
        record = self._record(change)
        content = encode_configuration(record)
        if len(content) > MAX_RECORD_BYTES:
            return Error(_too_large(len(content), MAX_RECORD_BYTES))
        try:
            swapped = await self._store.swap(
                (Compare(CURRENT_KEY, store_revision),),
                self._puts(content, record, current),
            )
        except StoreUncertain as uncertain:
            return await self._read_back(change, uncertain)
        if swapped.succeeded:
            return Ok(Accepted(change.revision))
        current, _ = await self._current()
        return await self._resolve(change, current)

    async def _read_back(
        self,
        change: Change,
        uncertain: StoreUncertain,
    ) -> _Outcome:
        """Finds out what became of a write whose answer was lost."""
        try:
            current, _ = await self._current()
        except StoreDown:
            raise uncertain from None
        if current.revision == change.expected:
            # The write may still be under way: only a repeat can tell.
            raise uncertain
        return await self._resolve(change, current)

    async def _resolve(
        self,
        change: Change,
        current: ConfigurationRecord,
    ) -> _Outcome:
        """Tells a repeat of an accepted change from a conflict."""
        landed = await self._landed(change)
        if not landed:
            return Error(await self._conflict(change, current))
        accepted = await self.at(change.revision)
        if accepted is not None and not _same_texts(change, accepted):
            return Error(
                single_problem(
                    'change_id',
                    f'belongs to revision {change.revision} with other texts',
                    ProblemKind.CONTRADICTION,
                ),
            )
        return Ok(Accepted(change.revision, repeated=True))

    async def _landed(self, change: Change) -> bool:
        key = audit_key(change.revision)
        entry = await self._store.get(key)
        if entry is None:
            return False
        return decode_audit(key, entry.content).change_id == change.change_id

    async def _conflict(
        self,
        change: Change,
        current: ConfigurationRecord,
    ) -> Conflict:
        expected = await self.at(change.expected) or ConfigurationRecord()
        return Conflict(
            Revision(current.revision),
            current.operator,
            _difference(expected, current),
        )

    async def _current(self) -> tuple[ConfigurationRecord, int]:
        entry = await self._store.get(CURRENT_KEY)
        if entry is None:
            return ConfigurationRecord(), 0
        record = decode_configuration(CURRENT_KEY, entry.content)
        return record, entry.revision

    def _record(self, change: Change) -> ConfigurationRecord:
        return ConfigurationRecord(
            revision=change.revision,
            base=change.base,
            overlays=change.overlays,
            operator=change.operator,
            reason=change.reason,
            accepted_at_ms=self._now_ms(),
            change_id=change.change_id,
        )

    def _puts(
        self,
        content: bytes,
        record: ConfigurationRecord,
        current: ConfigurationRecord,
    ) -> tuple[Put, ...]:
        audit = AuditRecord(
            revision=record.revision,
            operator=record.operator,
            reason=record.reason,
            accepted_at_ms=record.accepted_at_ms,
            change_id=record.change_id,
            difference=_difference(current, record),
        )
        return (
            Put(CURRENT_KEY, content),
            Put(configuration_key(record.revision), content),
            Put(audit_key(record.revision), audit.SerializeToString()),
            *(Put(key, None) for key in archived_keys(record.revision)),
        )


def _difference(old: ConfigurationRecord, new: ConfigurationRecord) -> str:
    return difference(
        files_of(old.base, old.overlays),
        files_of(new.base, new.overlays),
    )


def _same_texts(change: Change, record: ConfigurationRecord) -> bool:
    proposed = files_of(change.base, change.overlays)
    return proposed == files_of(record.base, record.overlays)


def _too_large(found: int, allowed: int) -> Problems:
    return single_problem(
        '',
        f'{found} bytes exceed {allowed}',
        ProblemKind.TOO_LARGE,
    )
