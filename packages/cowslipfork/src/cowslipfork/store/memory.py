"""An in-memory store with settable faults, for tests of the store's users."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum, unique

from cowslipfork.store.change_size import ensure_short
from cowslipfork.store.port import (
    Compare,
    Entry,
    Event,
    HistoryLost,
    LeaseId,
    LeaseLost,
    Put,
    StoreDown,
    StoreEra,
    StoreUncertain,
    SwapResult,
)


@unique
class Fault(Enum):
    """What goes wrong with the calls of the store.

    ``LOST_ANSWER``, ``LOST_REQUEST`` and ``LATE_WRITE`` concern writes only;
    each raises ``StoreUncertain``, after the write, without it, or before it.
    """

    DOWN = 'down'
    LOST_ANSWER = 'lost_answer'
    LOST_REQUEST = 'lost_request'
    LATE_WRITE = 'late_write'


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """All data of a store at one moment.

    Attributes:
        entries: entries by key.
        events: history of changes.
        revision: store revision.
        leases: leases that had not ended.
        granted: number of leases granted so far.
        leased: leases of keys.
    """

    entries: dict[str, Entry]
    events: list[Event]
    revision: int
    leases: set[LeaseId]
    granted: int
    leased: dict[str, LeaseId]


async def _at_once(operation: str) -> None:
    """Delays no call."""


class MemoryStore:
    """A ``Store`` that keeps its keys in a dictionary."""

    def __init__(
        self,
        before: Callable[[str], Awaitable[None]] = _at_once,
    ) -> None:
        """Starts empty and healthy.

        Args:
            before: awaited with the call's name before each call; a slow
                store is one that waits here.
        """
        self._before = before
        self._entries: dict[str, Entry] = {}
        self._events: list[Event] = []
        self._revision = 0
        self._changed = asyncio.Event()
        self._standing: Fault | None = None
        self._once: list[Fault] = []
        self._late: list[tuple[Sequence[Compare], Sequence[Put]]] = []
        self._calls: Counter[str] = Counter()
        self._era = StoreEra(1)
        self._granted = 0
        self._leases: set[LeaseId] = set()
        self._leased: dict[str, LeaseId] = {}

    @property
    def calls(self) -> Counter[str]:
        """Calls made so far, by name."""
        return self._calls

    @property
    def era(self) -> StoreEra:
        """Era of the store; each ``restore`` starts the next one."""
        return self._era

    @property
    def revision(self) -> int:
        """Store revision of the last change."""
        return self._revision

    def fail(self, fault: Fault) -> None:
        """Makes every call fail until ``heal``; watches break when down."""
        self._standing = fault
        self._wake_watches()

    def fail_once(self, fault: Fault) -> None:
        """Makes the next write fail; several calls queue up."""
        self._once.append(fault)

    def heal(self) -> None:
        """Ends all faults; a late write stays late."""
        self._standing = None
        self._once.clear()

    def apply_late_writes(self) -> None:
        """Performs the writes that ``LATE_WRITE`` held back."""
        late = tuple(self._late)
        self._late.clear()
        for compares, puts in late:
            self._apply(compares, puts)

    def copy(self) -> StoreCopy:
        """Copies all data, for ``restore``."""
        return StoreCopy(
            dict(self._entries),
            list(self._events),
            self._revision,
            set(self._leases),
            self._granted,
            dict(self._leased),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Returns to an older copy, in the next era; watches break.

        Args:
            copy: earlier data of this store.
        """
        self._entries = dict(copy.entries)
        self._events = list(copy.events)
        self._revision = copy.revision
        self._leases = set(copy.leases)
        self._granted = copy.granted
        self._leased = dict(copy.leased)
        self._era = StoreEra(self._era + 1)
        self._wake_watches()

    def put(self, key: str, content: bytes | None) -> None:
        """Writes as the platform would: no fault, no condition."""
        self._apply((), (Put(key, content),))

    def revoke(self, key: str) -> None:
        """Takes a leased key away while its lease goes on."""
        self.put(key, None)

    async def grant(self, ttl: float) -> LeaseId:
        """Grants a lease, which ends by ``end`` only."""
        await self._call('grant')
        self._refuse_if_down('grant')
        self._granted += 1
        lease = LeaseId(self._granted)
        self._leases.add(lease)
        return lease

    async def renew(self, lease: LeaseId) -> bool:
        """Tells whether a lease lasts."""
        await self._call('keep')
        return lease in self._leases

    async def end(self, lease: LeaseId) -> bool:
        """Ends a lease and removes its keys."""
        await self._call('end')
        lasted = lease in self._leases
        self._leases.discard(lease)
        leased = [key for key, held in self._leased.items() if held == lease]
        if leased:
            self._apply((), [Put(key, None) for key in leased])
        return lasted

    async def get(self, key: str) -> Entry | None:
        """Reads one key."""
        await self._call('get')
        return self._entries.get(key)

    async def list_prefix(self, prefix: str) -> tuple[Sequence[Entry], int]:
        """Reads all keys below a prefix, sorted by key."""
        await self._call('list')
        found = sorted(key for key in self._entries if key.startswith(prefix))
        return [self._entries[key] for key in found], self._revision

    async def swap(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
    ) -> SwapResult:
        """Writes all puts if all compares hold."""
        await self._call('swap')
        fault = self._once.pop(0) if self._once else self._standing
        if fault is Fault.DOWN:
            raise StoreDown('swap', 'down')
        if fault is Fault.LATE_WRITE:
            self._late.append((compares, puts))
        if fault in {Fault.LATE_WRITE, Fault.LOST_REQUEST}:
            raise StoreUncertain('swap', 'no answer')
        swapped = self._apply(compares, puts)
        if fault is Fault.LOST_ANSWER:
            raise StoreUncertain('swap', 'answer lost')
        return swapped

    async def watch(
        self,
        prefix: str,
        after: int,
        max_size: int | None = None,
    ) -> AsyncIterator[list[Event]]:
        """Yields changes below a prefix in the order of their revisions."""
        await self._call('watch')
        era = self._era
        while True:
            if after > self._revision or era != self._era:
                raise HistoryLost('watch', f'revision {after} does not exist')
            changed = self._changed
            events = [
                event
                for event in self._events
                if event.revision > after and event.key.startswith(prefix)
            ]
            after = self._revision
            if events:
                ensure_short(events, max_size)
                yield events
            if changed is self._changed:
                await changed.wait()
            self._refuse_if_down('watch')

    async def _call(self, operation: str) -> None:
        self._calls[operation] += 1
        await self._before(operation)
        self._refuse_if_down(operation)

    def _refuse_if_down(self, operation: str) -> None:
        if self._standing is Fault.DOWN:
            raise StoreDown(operation, 'down')

    def _apply(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
    ) -> SwapResult:
        held = all(
            self._revision_of(compare.key) == compare.revision
            for compare in compares
        )
        leases = {put.lease for put in puts} - {None}
        if not leases <= self._leases:
            raise LeaseLost('swap', 'no such lease')
        if held and puts:
            self._revision += 1
            for put in puts:
                self._write(put)
            self._wake_watches()
        return SwapResult(held, self._revision)

    def _revision_of(self, key: str) -> int:
        entry = self._entries.get(key)
        return 0 if entry is None else entry.revision

    def _write(self, put: Put) -> None:
        self._leased.pop(put.key, None)
        if put.lease is not None:
            self._leased[put.key] = put.lease
        if put.content is None:
            self._entries.pop(put.key, None)
        else:
            self._entries[put.key] = Entry(
                put.key,
                put.content,
                self._revision,
            )
        self._events.append(Event(put.key, put.content, self._revision))

    def _wake_watches(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
