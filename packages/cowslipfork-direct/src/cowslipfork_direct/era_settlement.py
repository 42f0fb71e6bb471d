"""When a new era of the store is settled.

For a moment after the store has returned from an older copy, its records can't
be relied on: a takeover whose record is gone may have an order on its way, a
registered node may be missing, and nodes that have not seen the new era yet
still act in the one before. So for ``SETTLE_TIME`` no takeover is claimed and
no renewal proves anything; nodes that know records which the store has lost
write them again. Then one node records that the era is settled, so that nodes
which start later need not wait.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from typing import Final

import msgspec

from cowslipfork.store import (
    Compare,
    Event,
    LeasingStore,
    Put,
    StoreDown,
    StoreEra,
)
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.decoding import decode_json
from cowslipfork_direct.leader_lease import RENEWAL_VALIDITY
from cowslipfork_direct.newest_changes import NewestChanges
from cowslipfork_direct.order_window import MAX_CLAIM_AGE, ORDER_TIMEOUT
from cowslipfork_direct.store_era import ONLY_ERA, EraTracker
from cowslipfork_direct.store_watcher import Subscription

log = logging.getLogger(__name__)

#: Key of the record of the era that was settled last.
ERA_KEY: Final = 'cowslipfork/era'

#: Seconds for which an era is not settled after a node has first seen it: the
#: validity of renewals in the era before, the age of a claim when its order
#: begins, and the time until the order can't arrive any more, together.
SETTLE_TIME: Final = RENEWAL_VALIDITY + MAX_CLAIM_AGE + ORDER_TIMEOUT

#: Seconds between two checks and between two attempts to write the record.
CHECK_INTERVAL: Final = 0.1


@dataclass(frozen=True, slots=True)
class SettledEra:
    """Record of the era that was settled last.

    Attributes:
        era: the era.
        first: era from which fencing tokens count eras. A first record says 0,
            since a copy that is older than it would otherwise have the count
            start again, below tokens that nobody remembers. Records of older
            versions say the era that they found; their count goes on.
        listed_since: era in which the first record was written; None in
            records of older versions, where ``first`` is that era.
    """

    era: StoreEra
    first: StoreEra
    listed_since: StoreEra | None = None

    @property
    def complete(self) -> bool:
        """Whether the store has kept every record since the first one."""
        first = self.first if self.listed_since is None else self.listed_since
        return self.era == first


class EraSettlement:
    """Whether the present era of the store is settled."""

    def __init__(
        self,
        store: LeasingStore,
        eras: EraTracker,
        write_lost_records: Callable[[], Awaitable[None]],
        on_settled: Callable[[], None],
    ) -> None:
        """Starts unsettled; ``run`` and the subscription settle it.

        Args:
            store: the platform's store.
            eras: newest era of the store.
            write_lost_records: writes records that the store has lost again;
                called repeatedly until the era is settled.
            on_settled: called when an era is settled.
        """
        self._store = store
        self._eras = eras
        self._write_lost_records = write_lost_records
        self._on_settled = on_settled
        self._record: SettledEra | None = None
        self._revision = 0
        self._first_seen: StoreEra | None = None
        self._since: float | None = None
        self._changes = NewestChanges()
        self._settled_event = asyncio.Event()
        eras.listen(self._start_era)

    @property
    def settled(self) -> bool:
        """Whether the records of the present era can be relied on."""
        era = self._eras.current
        recorded = self._record is not None and self._record.era == era
        return era is not None and (era == ONLY_ERA or recorded)

    @property
    def settled_event(self) -> asyncio.Event:
        """Event that is set once an era has been settled."""
        return self._settled_event

    @property
    def records_complete(self) -> bool:
        """Whether the store has kept every record since the first one."""
        if self._record is None:
            return self.settled
        return self.settled and self._record.complete

    @property
    def era_count(self) -> int:
        """Number of eras for fencing tokens; it never falls."""
        if self._record is None or self._eras.current is None:
            return 0
        return self._eras.current - self._record.first

    def subscription(self) -> Subscription:
        """Returns the subscription that reads other nodes' records."""
        return Subscription(ERA_KEY, self._apply_events)

    async def run(self) -> None:
        """Settles each era until cancelled."""
        while True:
            if self.settled:
                self._settled_event.set()
            elif self._eras.current is not None:
                await self._settle()
            await asyncio.sleep(CHECK_INTERVAL)

    async def _settle(self) -> None:
        if self._since is None:
            self._since = boot_time()
        try:
            if self._eras.restored:
                await self._write_lost_records()
            if boot_time() >= self._since + SETTLE_TIME:
                await self._write_record()
        except StoreDown as error:
            log.info('era_not_settled', extra={'cause': str(error)})

    async def _write_record(self) -> None:
        era = self._eras.current
        if era is None or self.settled:
            return
        content = msgspec.json.encode(self._next_record(era))
        swapped = await self._store.swap(
            (Compare(ERA_KEY, self._revision),),
            (Put(ERA_KEY, content),),
        )
        if swapped.succeeded:
            event = Event(ERA_KEY, content, swapped.revision)
            self._apply_events([event])

    def _next_record(self, era: StoreEra) -> SettledEra:
        known = self._record
        if known is not None:
            return replace(known, era=era)
        first_seen = era if self._first_seen is None else self._first_seen
        return SettledEra(era, ONLY_ERA, first_seen)

    def _start_era(self, ended: StoreEra, _: StoreEra) -> None:
        if self._first_seen is None:
            self._first_seen = ended
        self._since = boot_time()
        self._revision = 0
        self._changes.clear()

    def _apply_events(self, events: Sequence[Event]) -> None:
        for event in filter(self._changes.admit, events[-1:]):
            self._apply_event(event)

    def _apply_event(self, event: Event) -> None:
        self._revision = event.revision
        if event.content is None:
            return
        decoded = decode_json(event.content, SettledEra)
        if decoded.is_error():
            log.warning('era_unreadable', extra={'cause': str(decoded.error)})
            return
        record = decoded.ok
        self._record = record
        if self.settled:
            log.warning(
                'era_settled', extra={'era': record.era, 'first': record.first}
            )
            self._settled_event.set()
            self._on_settled()
