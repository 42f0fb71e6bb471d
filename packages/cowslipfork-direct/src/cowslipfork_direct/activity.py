"""Whether a node uses the endpoints of a group.

A node that runs no statement of a group keeps no connections to its endpoints
and requests no statuses: where there are many more nodes than connections, the
nodes that run statements need all of them.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

#: Seconds after its last use of a group for which a node stays active.
LINGER: Final = 5.0


class Activity:
    """Whether this node uses the endpoints of one group."""

    def __init__(
        self,
        on_begin: Callable[[], None],
        on_end: Callable[[], None],
    ) -> None:
        """Starts active, and required to be.

        Args:
            on_begin: called when the node becomes active.
            on_end: called when it stops to be.
        """
        self._on_begin = on_begin
        self._on_end = on_end
        self._required = True
        self._used_at = -math.inf
        self._uses = 0
        self._begun = asyncio.Event()
        self._begun.set()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def required(self) -> bool:
        """Whether the node has to be active without being used."""
        return self._required

    @property
    def active(self) -> bool:
        """Whether the node uses the endpoints."""
        return self._begun.is_set()

    async def wait(self) -> None:
        """Waits until the node is active."""
        await self._begun.wait()

    def require(self, *, required: bool) -> None:
        """Sets whether the node has to be active without being used."""
        self._required = required
        if required:
            self._begin()
        elif self.active and self._timer is None:
            self._check()

    def record_use(self) -> None:
        """Records that a statement is executed now."""
        self._used_at = asyncio.get_running_loop().time()
        self._begin()

    @contextmanager
    def in_use(self) -> Iterator[None]:
        """Keeps the node active during the block, however long it lasts."""
        self._uses += 1
        self.record_use()
        try:
            yield
        finally:
            self._uses -= 1
            self.record_use()

    def _begin(self) -> None:
        if self.active:
            return
        self._begun.set()
        self._on_begin()
        if not self._required:
            self._check_later()

    def _check_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self._used_at + LINGER, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._required:
            return
        now = asyncio.get_running_loop().time()
        if self._uses:
            self._used_at = now
        if now < self._used_at + LINGER:
            self._check_later()
            return
        self._begun.clear()
        self._on_end()
