"""Faults and limits of the store, set through keys below ``/lab/``."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from types import MappingProxyType
from typing import Any

import grpc

#: Keys that control the store and are exempt from its faults.
CONTROL_PREFIX = b'/lab/'
_MILLISECONDS = 1000


@unique
class Outage(Enum):
    """How the store is down."""

    NONE = ''
    REFUSE = 'refuse'
    SILENT = 'silent'


@dataclass(slots=True)
class Rate:
    """Calls allowed a second, with a burst of one second.

    Attributes:
        per_second: calls a second.
    """

    per_second: float
    _left: float = 0
    _filled_at: float = -1.0

    def take(self, now: float, reserved: int = 0) -> bool:
        """Counts a call.

        Args:
            now: seconds of a monotonic clock.
            reserved: calls a second that waiting watches use up.

        Returns:
            Whether it is within the rate.
        """
        rate = max(self.per_second - reserved, 0)
        if self._filled_at < 0:
            self._left = rate
        else:
            grown = self._left + (now - self._filled_at) * rate
            self._left = min(grown, rate)
        self._filled_at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


@dataclass(slots=True)
class StoreFaults:
    """Current faults, limits and counts of calls.

    Attributes:
        outage: how the store is down.
        slow_seconds: delay before each call.
        lost_answers: writes to come whose answer is lost after the effect.
        writes: rate of writes.
        reads: rate of reads; each waiting watch takes one a second.
        watches: watches that wait now.
        counts: calls by name, refusals and maxima.
    """

    outage: Outage = Outage.NONE
    slow_seconds: float = 0
    lost_answers: int = 0
    writes: Rate = field(default_factory=lambda: Rate(500))
    reads: Rate = field(default_factory=lambda: Rate(2000))
    watches: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def changed(self) -> asyncio.Event:
        """Set and replaced when the outage changes."""
        return self._changed

    async def enter(self, name: str, context: Any, *, write: bool) -> None:
        """Lets a call in, or fails it.

        Args:
            name: name of the call.
            context: gRPC context to abort.
            write: whether it counts as a write.
        """
        self.counts[name] += 1
        await self.check_outage(context)
        now = asyncio.get_running_loop().time()
        allowed = (
            self.writes.take(now)
            if write
            else self.reads.take(now, self.watches)
        )
        if not allowed:
            self.counts['rate_exceeded'] += 1
            await context.abort(
                grpc.StatusCode.RESOURCE_EXHAUSTED,
                'rate exceeded',
            )
        if self.slow_seconds:
            await asyncio.sleep(self.slow_seconds)
            await self.check_outage(context)

    async def check_outage(self, context: Any) -> None:
        """Refuses or swallows a call while the store is down."""
        while self.outage == Outage.SILENT:
            await self._changed.wait()
        if self.outage == Outage.REFUSE:
            await context.abort(grpc.StatusCode.UNAVAILABLE, 'store is down')

    async def leave_write(self, context: Any) -> None:
        """Loses the answer of a write that has taken effect, if so set."""
        if self.lost_answers:
            self.lost_answers -= 1
            self.counts['answers_lost'] += 1
            await context.abort(grpc.StatusCode.UNAVAILABLE, 'answer lost')
        await self.check_outage(context)

    def open_watch(self) -> None:
        """Counts a watch that waits."""
        self.watches += 1
        maximum = max(self.counts['watches_maximum'], self.watches)
        self.counts['watches_maximum'] = maximum

    def set(self, key: bytes, content: bytes) -> bool:
        """Sets a fault by its key.

        Args:
            key: key below ``/lab/``.
            content: new setting as text.

        Returns:
            Whether there is such a fault.
        """
        setter = _SETTERS.get(key.removeprefix(CONTROL_PREFIX).decode())
        if setter is None:
            return False
        setter(self, content.decode())
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    def report(self) -> bytes:
        """Gives the counts as JSON."""
        return json.dumps({**self.counts, 'watches': self.watches}).encode()


def _set_outage(faults: StoreFaults, setting: str) -> None:
    faults.outage = Outage(setting)


def _set_slow(faults: StoreFaults, setting: str) -> None:
    faults.slow_seconds = float(setting) / _MILLISECONDS


def _set_lost(faults: StoreFaults, setting: str) -> None:
    faults.lost_answers = int(setting)


def _set_writes(faults: StoreFaults, setting: str) -> None:
    faults.writes = Rate(float(setting))


def _set_reads(faults: StoreFaults, setting: str) -> None:
    faults.reads = Rate(float(setting))


_SETTERS: Mapping[str, Callable[[StoreFaults, str], None]] = MappingProxyType(
    {
        'outage': _set_outage,
        'slow_ms': _set_slow,
        'lost_answers': _set_lost,
        'writes_per_second': _set_writes,
        'reads_per_second': _set_reads,
    }
)
