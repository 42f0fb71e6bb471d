"""Watches the platform's store and delivers its changes to subscribers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Sequence,
)
from dataclasses import dataclass, replace
from typing import Final

from cowslipfork.store import (
    Entry,
    EraEnded,
    Event,
    HistoryLost,
    Store,
    StoreDown,
    TooManyChanges,
    WatchClosed,
    backoff_delays,
)
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.known_keys import KnownKeys
from cowslipfork_direct.watch_race import WatchRace

log = logging.getLogger(__name__)

#: Upper bounds in seconds of the first delay and of any delay after a failed
#: call.
FIRST_RETRY_DELAY: Final = 0.1
MAX_RETRY_DELAY: Final = 0.5


#: Seconds for which a key counts as present though the store lacks it after
#: its return from an older copy: its writer may write it again.
ABSENCE_GRACE: Final = 3.0

#: Seconds to wait after an answer so that the next one holds more changes.
BATCH_DELAY: Final = 0.04

#: Changes that are longer than this multiple of the store's content are not
#: read: listing the store tells their result sooner.
MAX_CHANGES_RATIO: Final = 2

#: Bytes of changes that are always read.
MIN_CHANGES_SIZE: Final = 65_536

#: Longest regular time in seconds from the call of a watch to its answer. An
#: answer that took longer may have waited while this VM was suspended, and
#: shows the store as it was when the call began.
MAX_ANSWER_TIME: Final = 3.5


_MS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class Subscription:
    """A callback for changes of keys with a common prefix.

    Attributes:
        prefix: prefix of the keys.
        on_events: called with the changes of one answer, in order.
    """

    prefix: str
    on_events: Callable[[Sequence[Event]], None]


class StoreWatcher:
    """Delivers each change of the store once, also across outages.

    For this it keeps the newest revision of each key. After the store has
    returned from an older copy all keys are delivered again, marked as
    restored; keys that are missing then count as deleted only if they are
    still missing after ``ABSENCE_GRACE``.
    """

    def __init__(
        self,
        store: Store,
        subscriptions: Iterable[Subscription],
    ) -> None:
        """Starts without a watch; ``run`` lists and watches the store.

        Args:
            store: the platform's store.
            subscriptions: callbacks and the prefixes of their keys.
        """
        self._store = store
        self._subscriptions = tuple(subscriptions)
        self._keys = KnownKeys()
        self._revision = 0
        self._store_lost = False
        self._eras_begun = 0
        self._restored = False
        self._absent_until: float | None = None
        self._watches: WatchRace | None = None
        self._last_answer_at = float('-inf')
        self._delays = _retry_delays()

    @property
    def last_answer_at(self) -> float:
        """Boot time up to which the store's changes are likely to be known.

        Minus infinity before the first answer.
        """
        return self._last_answer_at

    @property
    def revision(self) -> int:
        """Store revision up to which all changes were delivered."""
        return self._revision

    def start_era(self) -> None:
        """Lists the store again after its return from an older copy."""
        self._eras_begun += 1
        self._restored = True
        self._revision = 0
        if self._watches is not None:
            self._watches.cancel()

    def start_another_watch(self) -> None:
        """Starts another watch beside the present one.

        For use after the store was unreachable: a watch that was started
        before that may never be answered.
        """
        if self._watches is None:
            return
        log.info('store_watch_added', extra={'revision': self._revision})
        self._watches.start_another()

    async def run(self) -> None:
        """Watches the store until cancelled."""
        while True:
            try:
                await self._list_and_watch()
            except EraEnded as error:
                # A listener of the tracker has called start_era already.
                log.info('store_answer_outdated', extra={'cause': str(error)})
            except HistoryLost as error:
                _log_unread_changes(error)
                self._revision = 0
            except StoreDown as error:
                if isinstance(error, WatchClosed):
                    # The store may be about to compact its history; a watch
                    # begun before that may deliver nothing until it times out.
                    self._revision = 0
                self._record_lost(error)
                await asyncio.sleep(next(self._delays))

    async def _list_and_watch(self) -> None:
        if not self._revision:
            await self._list()
        watches = WatchRace(self._watch)
        self._watches = watches
        try:
            async with asyncio.timeout(self._grace_left()):
                await watches.run()
        except TimeoutError:
            # Keys that are still missing are reported by the next list.
            self._revision = 0
        finally:
            self._watches = None
            watches.cancel()

    def _grace_left(self) -> float | None:
        if self._absent_until is None:
            return None
        return max(0, self._absent_until - boot_time())

    async def _watch(self, on_answer: Callable[[], None]) -> None:
        begun_at = boot_time()
        max_size = max(
            MIN_CHANGES_SIZE, MAX_CHANGES_RATIO * self._keys.content_size
        )
        async for events in self._store.watch('', self._revision, max_size):
            on_answer()
            self._record_answer(begun_at)
            self._apply_events(events)
            # Changes in quick succession then arrive in one answer.
            await asyncio.sleep(BATCH_DELAY)
            begun_at = boot_time()

    async def _list(self) -> None:
        eras_begun = self._eras_begun
        begun_at = boot_time()
        entries, revision = await self._store.list_prefix('')
        log.info(
            'store_listed',
            extra={
                'revision': revision,
                'keys': len(entries),
                'ms': round((boot_time() - begun_at) * _MS_PER_SECOND),
            },
        )
        if eras_begun != self._eras_begun:
            raise EraEnded('list', 'read before the store was restored')
        self._record_answer(begun_at)
        absent = self._keys.absent_from({entry.key for entry in entries})
        if self._restored:
            self._apply_restored(entries, absent, revision)
            self._restored = False
        else:
            # After ``ABSENCE_GRACE`` a key that is missing is gone for good.
            waited = self._absent_until is not None
            self._absent_until = None
            changes = [
                Event(key, None, revision, restored=waited) for key in absent
            ]
            changes.extend(map(_to_event, entries))
            self._apply_events(changes)
        self._revision = revision

    def _apply_restored(
        self,
        entries: Sequence[Entry],
        absent: Collection[str],
        revision: int,
    ) -> None:
        """Delivers the content of a store that returned from an older copy.

        Args:
            entries: everything that the store holds.
            absent: known keys that it lacks.
            revision: revision of the store.
        """
        log.warning(
            'store_relisted',
            extra={
                'revision': revision,
                'keys': len(entries),
                'absent': len(absent),
            },
        )
        self._keys.restart(absent)
        self._absent_until = boot_time() + ABSENCE_GRACE
        self._apply_events(
            replace(_to_event(entry), restored=True) for entry in entries
        )

    def _apply_events(self, events: Iterable[Event]) -> None:
        """Delivers changes to all subscribers.

        After an error in one of them the others still get theirs, and the
        changes that it was to read are listed and delivered again.
        """
        new_events = list(filter(self._keys.is_new, events))
        for event in new_events:
            self._revision = max(self._revision, event.revision)
            self._keys.add(event)
        errors = [
            error
            for subscription in self._subscriptions
            if (error := self._deliver(subscription, new_events))
        ]
        if errors:
            self._revision = 0
            raise errors[0]

    def _deliver(
        self, subscription: Subscription, events: Sequence[Event]
    ) -> Exception | None:
        """Returns the error of a subscriber; None if it read its changes."""
        matching = [
            change
            for change in events
            if change.key.startswith(subscription.prefix)
        ]
        try:
            if matching:
                subscription.on_events(matching)
        except Exception as error:
            for change in matching:
                self._keys.forget(change)
            return error
        return None

    def _record_lost(self, error: StoreDown) -> None:
        if not self._store_lost:
            log.warning(
                'store_lost',
                extra={'cause': str(error), 'revision': self._revision},
            )
        self._store_lost = True

    def _record_answer(self, begun_at: float) -> None:
        """Notes an answer of the store.

        Args:
            begun_at: boot time at which the call began.
        """
        now = boot_time()
        in_time = now <= begun_at + MAX_ANSWER_TIME
        known_until = now if in_time else begun_at
        self._last_answer_at = max(self._last_answer_at, known_until)
        if self._store_lost:
            log.warning('store_back', extra={'revision': self._revision})
        self._store_lost = False
        self._delays = _retry_delays()


def _retry_delays() -> Iterator[float]:
    """Yields the delays in seconds after calls that fail in a row."""
    return backoff_delays(FIRST_RETRY_DELAY, MAX_RETRY_DELAY)


def _to_event(entry: Entry) -> Event:
    return Event(entry.key, entry.content, entry.revision)


def _log_unread_changes(error: HistoryLost) -> None:
    """Logs why the store is listed instead of its changes being read."""
    if isinstance(error, TooManyChanges):
        log.info('store_changes_skipped', extra={'cause': str(error)})
    else:
        log.warning('store_history_lost', extra={'cause': str(error)})
