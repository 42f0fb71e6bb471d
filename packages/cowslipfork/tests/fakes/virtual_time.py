"""An event loop whose clock jumps to the next timer: same run every time."""

from __future__ import annotations

import asyncio
import heapq


class Deadlock(RuntimeError):
    """Nothing is ready and no timer is set."""


class Livelock(RuntimeError):
    """Tasks run on and on without a timer: a loop that never waits."""


#: Rounds of the loop at one moment after which it is a livelock.
MOST_ROUNDS = 50_000


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._virtual = 0.0
        self._rounds = 0
        super().__init__()

    def time(self):
        return self._virtual

    def _run_once(self):
        while self._scheduled and self._scheduled[0]._cancelled:
            self._timer_cancelled_count -= 1
            heapq.heappop(self._scheduled)._scheduled = False
        if not self._ready and not self._stopping:
            if not self._scheduled:
                raise Deadlock
            if self._scheduled[0]._when > self._virtual:
                self._virtual = self._scheduled[0]._when
                self._rounds = 0
        self._rounds += 1
        if self._rounds > MOST_ROUNDS:
            raise Livelock(self._virtual)
        super()._run_once()


def run_virtual(main):
    """Runs a coroutine under virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


def now():
    return asyncio.get_running_loop().time()
