"""Watches the platform's store and delivers its changes to subscribers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from cowslipfork.store import (
    Entry,
    Event,
    HistoryLost,
    Store,
    StoreDown,
    backoff_delays,
)

log = logging.getLogger(__name__)

#: Upper bounds in seconds of the first delay and of any delay after a failed
#: call.
FIRST_RETRY_DELAY: Final = 0.1
MAX_RETRY_DELAY: Final = 0.5


#: Seconds to wait after an answer so that the next one holds more changes.
BATCH_DELAY: Final = 0.04


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

    For this it keeps the newest revision of each key.
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
        self._revisions: dict[str, int] = {}
        self._revision = 0
        self._store_lost = False
        self._watch_task: asyncio.Task[None] | None = None

    def restart_watch(self) -> None:
        """Restarts the watch, for use after the store was unreachable.

        A watch that was started before the outage may never be answered.
        """
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def run(self) -> None:
        """Watches the store until cancelled."""
        delays = backoff_delays(FIRST_RETRY_DELAY, MAX_RETRY_DELAY)
        while True:
            try:
                await self._list_and_watch()
            except HistoryLost as error:
                log.warning('store_history_lost', extra={'cause': str(error)})
                self._revision = 0
            except StoreDown as error:
                self._record_lost(error)
                await asyncio.sleep(next(delays))

    async def _list_and_watch(self) -> None:
        if not self._revision:
            await self._list()
        self._watch_task = asyncio.create_task(self._watch())
        try:
            await asyncio.wait((self._watch_task,))
        finally:
            self._watch_task.cancel()
        if not self._watch_task.cancelled():
            self._watch_task.result()

    async def _watch(self) -> None:
        async for events in self._store.watch('', self._revision):
            self._record_back()
            self._apply_events(events)
            # Changes in quick succession then arrive in one answer.
            await asyncio.sleep(BATCH_DELAY)

    async def _list(self) -> None:
        entries, revision = await self._store.list_prefix('')
        self._record_back()
        present = {entry.key for entry in entries}
        gone = self._revisions.keys() - present
        changes = [Event(key, None, revision) for key in gone]
        changes.extend(map(_to_event, entries))
        self._apply_events(changes)
        self._revision = revision

    def _apply_events(self, events: Iterable[Event]) -> None:
        new_events = list(filter(self._is_new, events))
        for event in new_events:
            self._revision = max(self._revision, event.revision)
            self._revisions[event.key] = event.revision
            if event.content is None:
                self._revisions.pop(event.key)
        for subscription in self._subscriptions:
            matching = [
                change
                for change in new_events
                if change.key.startswith(subscription.prefix)
            ]
            if matching:
                subscription.on_events(matching)

    def _is_new(self, event: Event) -> bool:
        return event.revision > self._revisions.get(event.key, 0)

    def _record_lost(self, error: StoreDown) -> None:
        if not self._store_lost:
            log.warning(
                'store_lost',
                extra={'cause': str(error), 'revision': self._revision},
            )
        self._store_lost = True

    def _record_back(self) -> None:
        if self._store_lost:
            log.warning('store_back', extra={'revision': self._revision})
        self._store_lost = False


def _to_event(entry: Entry) -> Event:
    return Event(entry.key, entry.content, entry.revision)
