"""A relay: watches the store and puts what it reads in force."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable

from cowslipfork.record_sync.local_records import LocalRecords
from cowslipfork.record_sync.record import (
    CONFIGURATION_KEY,
    GROUPS_PREFIX,
    PLATFORM_PREFIX,
    read_record,
)
from cowslipfork.store import Event, Store, StoreDown
from cowslipfork.store.backoff import backoff_delays
from cowslipfork.store.unreadable import RecordUnreadable

#: What relays watch; the history of configurations and the audit trail are
#: read by operators only.
WATCHED = (CONFIGURATION_KEY, GROUPS_PREFIX, PLATFORM_PREFIX)

#: Seconds within which a relay that starts lists the store.
START_SPREAD = 0.5

#: Seconds between proofs that the store still answers.
PROOF_INTERVAL = 1.5

#: Share by which each interval is drawn shorter or longer.
JITTER = 0.3

_logger = logging.getLogger(__name__)


class Relay:
    """Watches of the store by one node."""

    def __init__(
        self,
        store: Store,
        local_records: LocalRecords,
        seen: Callable[[], None],
    ) -> None:
        """Starts idle.

        Args:
            store: the platform's store.
            local_records: where records come into force.
            seen: called when the store has answered.
        """
        self._store = store
        self._local_records = local_records
        self._seen = seen
        self._down: set[str] = set()

    async def run(self) -> None:
        """Watches until it is cancelled."""
        await asyncio.sleep(random.uniform(0, START_SPREAD))
        async with asyncio.TaskGroup() as tasks:
            for prefix in WATCHED:
                tasks.create_task(self._follow(prefix))
            tasks.create_task(self._prove())

    async def _follow(self, prefix: str) -> None:
        delays = backoff_delays()
        while True:
            try:
                after = await self._list(prefix)
            except StoreDown as down:
                self._note_down(prefix, down)
                await asyncio.sleep(next(delays))
                continue
            delays = backoff_delays()
            try:
                await self._watch(prefix, after)
            except StoreDown as broken:
                self._note_down(prefix, broken)
            await asyncio.sleep(next(delays))

    async def _list(self, prefix: str) -> int:
        entries, revision = await self._store.list_prefix(prefix)
        self._seen()
        self._down.discard(prefix)
        self._apply(
            Event(entry.key, entry.content, entry.revision) for entry in entries
        )
        if prefix == PLATFORM_PREFIX:
            present = [entry.key for entry in entries]
            self._local_records.drop_missing(prefix, present, revision)
        return revision

    async def _watch(self, prefix: str, after: int) -> None:
        async for events in self._store.watch(prefix, after):
            self._seen()
            self._apply(events)

    async def _prove(self) -> None:
        # A watch without events is silent also when it is cut off.
        while True:
            await asyncio.sleep(
                PROOF_INTERVAL * random.uniform(1 - JITTER, 1 + JITTER),
            )
            try:
                entry = await self._store.get(CONFIGURATION_KEY)
            except StoreDown:
                continue
            self._seen()
            if entry:
                self._apply((Event(entry.key, entry.content, entry.revision),))

    def _note_down(self, prefix: str, down: StoreDown) -> None:
        # One line for each outage and prefix, not for each attempt.
        if prefix not in self._down:
            self._down.add(prefix)
            _logger.warning(
                'store down',
                extra={'prefix': prefix, 'cause': down.cause},
            )

    def _apply(self, events: Iterable[Event]) -> None:
        for event in events:
            try:
                record = read_record(event.key, event.content, event.revision)
            except RecordUnreadable as error:
                _logger.error(
                    'record unreadable',
                    extra={'cause': str(error)},
                )
                continue
            self._local_records.apply(record)
