"""Follows the platform's store and passes its changes on."""

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

#: Bounds of the pause after a failed call, in seconds.
FIRST_PAUSE: Final = 0.1
LONGEST_PAUSE: Final = 0.5


#: Seconds after an answer in which further changes are gathered.
GATHER_PAUSE: Final = 0.04


@dataclass(frozen=True, slots=True)
class Subscription:
    """Who is told of changes.

    Attributes:
        prefix: of the keys.
        on_events: called with the changes of one moment, in their order.
    """

    prefix: str
    on_events: Callable[[Sequence[Event]], None]


class StoreWatcher:
    """Knows the newest revision of each key and tells what changes."""

    def __init__(
        self,
        store: Store,
        subscriptions: Iterable[Subscription],
    ) -> None:
        """Follows nothing until ``run``.

        Args:
            store: the platform's store.
            subscriptions: who is told of what.
        """
        self._store = store
        self._subscriptions = tuple(subscriptions)
        self._known: dict[str, int] = {}
        self._revision = 0
        self._lost = False
        self._watching: asyncio.Task[None] | None = None

    def restart_watch(self) -> None:
        """Watches anew, as after the store was out of reach.

        A watch that was begun before may never be answered.
        """
        if self._watching is not None:
            self._watching.cancel()

    async def run(self) -> None:
        """Follows until cancelled."""
        pauses = backoff_delays(FIRST_PAUSE, LONGEST_PAUSE)
        while True:
            try:
                await self._follow()
            except HistoryLost as error:
                log.warning('store_history_lost', extra={'cause': str(error)})
                self._revision = 0
            except StoreDown as error:
                self._note_lost(error)
                await asyncio.sleep(next(pauses))

    async def _follow(self) -> None:
        if not self._revision:
            await self._list()
        self._watching = asyncio.create_task(self._watch())
        try:
            await asyncio.wait((self._watching,))
        finally:
            self._watching.cancel()
        if not self._watching.cancelled():
            self._watching.result()

    async def _watch(self) -> None:
        async for events in self._store.watch('', self._revision):
            self._note_back()
            self._take(events)
            # What changes in a moment comes with one call.
            await asyncio.sleep(GATHER_PAUSE)

    async def _list(self) -> None:
        entries, revision = await self._store.list_prefix('')
        self._note_back()
        present = {entry.key for entry in entries}
        gone = self._known.keys() - present
        changes = [Event(key, None, revision) for key in gone]
        changes.extend(map(_written, entries))
        self._take(changes)
        self._revision = revision

    def _take(self, events: Iterable[Event]) -> None:
        fresh = list(filter(self._is_new, events))
        for event in fresh:
            self._revision = max(self._revision, event.revision)
            self._known[event.key] = event.revision
            if event.content is None:
                self._known.pop(event.key)
        for subscription in self._subscriptions:
            concerned = [
                change
                for change in fresh
                if change.key.startswith(subscription.prefix)
            ]
            if concerned:
                subscription.on_events(concerned)

    def _is_new(self, event: Event) -> bool:
        return event.revision > self._known.get(event.key, 0)

    def _note_lost(self, error: StoreDown) -> None:
        if not self._lost:
            log.warning(
                'store_lost',
                extra={'cause': str(error), 'revision': self._revision},
            )
        self._lost = True

    def _note_back(self) -> None:
        if self._lost:
            log.warning('store_back', extra={'revision': self._revision})
        self._lost = False


def _written(entry: Entry) -> Event:
    return Event(entry.key, entry.content, entry.revision)
