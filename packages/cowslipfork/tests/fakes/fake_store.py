"""A store in memory that can be down and lose answers."""

from __future__ import annotations

import asyncio

from cowslipfork.store import Entry, StoreDown, StoreUncertain, Swapped


class FakeStore:
    def __init__(self):
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.down = False
        #: how many next swaps lose their answer: after taking effect, or
        #: (LOST_BEFORE) without it
        self.lost_after = 0
        self.lost_before = 0
        self.swaps = 0
        self.delay = 0.001

    async def get(self, key):
        await asyncio.sleep(self.delay)
        if self.down:
            raise StoreDown('get', 'unavailable')
        return self.entries.get(key)

    async def swap(self, compares, puts):
        await asyncio.sleep(self.delay)
        if self.down:
            raise StoreDown('swap', 'unavailable')
        if self.lost_before:
            self.lost_before -= 1
            raise StoreUncertain('swap', 'answer lost')
        swapped = self._swap(compares, puts)
        if self.lost_after:
            self.lost_after -= 1
            raise StoreUncertain('swap', 'answer lost')
        return swapped

    def _swap(self, compares, puts):
        self.swaps += 1
        for compare in compares:
            entry = self.entries.get(compare.key)
            if (entry.revision if entry else 0) != compare.revision:
                return Swapped(False, self.revision)
        self.revision += 1
        for put in puts:
            self.entries[put.key] = Entry(put.key, put.content, self.revision)
        return Swapped(True, self.revision)
