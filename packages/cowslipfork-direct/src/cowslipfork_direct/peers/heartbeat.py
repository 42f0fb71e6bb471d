"""Detects that the other end of a link is silent, or that it is not used."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

#: Seconds by which a timer may be early without counting as early.
TIMER_TOLERANCE: Final = 0.001

#: Seconds by which a late timer shows that this process itself was paused. What
#: arrived meanwhile has not been read yet, so silence is measured anew.
PAUSE_TOLERANCE: Final = 0.2


@dataclass(frozen=True, slots=True)
class HeartbeatLimits:
    """Times of a link, in seconds.

    Attributes:
        ping_after: silence after which a ping is sent.
        lost_after: silence after which the link counts as lost.
        unused_after: time without any traffic after which the link counts as
            unused.
    """

    ping_after: float
    lost_after: float
    unused_after: float


@dataclass(frozen=True, slots=True)
class HeartbeatActions:
    """What a heartbeat does with its link.

    Attributes:
        ping: sends a ping.
        on_silent: called when the other end is silent for too long.
        on_unused: called when the link has not been used for too long.
    """

    ping: Callable[[], None]
    on_silent: Callable[[], None]
    on_unused: Callable[[], None]


class Heartbeat:
    """Measures the silence of the other end while bytes are expected of it."""

    def __init__(
        self, limits: HeartbeatLimits, actions: HeartbeatActions
    ) -> None:
        """Starts the timer; nothing is expected yet.

        Args:
            limits: times of the link.
            actions: what to do with the link.
        """
        self._limits = limits
        self._actions = actions
        self._loop = asyncio.get_running_loop()
        self._used_at = self._loop.time()
        # Kept until bytes arrive, also if all requests have timed out:
        # otherwise a node that is asked with short time-outs is never found
        # to be silent.
        self._expecting_since: float | None = None
        self._timer = self._loop.call_later(limits.unused_after, self._tick)

    def expect(self) -> None:
        """Expects bytes from now on, unless they are expected already."""
        now = self._loop.time()
        self._used_at = now
        if self._expecting_since is not None:
            return
        self._expecting_since = now
        due = now + self._limits.ping_after
        if self._timer.when() > due:
            self._timer.cancel()
            self._arm(due)

    def record_received(self) -> None:
        """Records that bytes were received; no more are expected for now."""
        self._used_at = self._loop.time()
        self._expecting_since = None

    def stop(self) -> None:
        """Stops the timer."""
        self._timer.cancel()

    def _arm(self, due: float) -> None:
        self._timer = self._loop.call_at(due, self._tick)

    def _tick(self) -> None:
        now = self._loop.time()
        if self._expecting_since is None:
            self._check_use(now)
            return
        if now - self._timer.when() > PAUSE_TOLERANCE:
            self._expecting_since = now
            self._actions.ping()
        self._check_silence(now, self._expecting_since)

    def _check_use(self, now: float) -> None:
        due = self._used_at + self._limits.unused_after
        if now >= due - TIMER_TOLERANCE:
            due = now + self._limits.unused_after
            self._arm(due)
            self._actions.on_unused()
        else:
            self._arm(due)

    def _check_silence(self, now: float, since: float) -> None:
        silence = now - since + TIMER_TOLERANCE
        if silence >= self._limits.lost_after:
            self._actions.on_silent()
        elif silence >= self._limits.ping_after:
            self._actions.ping()
            self._arm(since + self._limits.lost_after)
        else:
            self._arm(since + self._limits.ping_after)
