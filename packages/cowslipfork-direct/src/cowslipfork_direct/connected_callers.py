"""Callers' connections, whatever their protocol, and the end of their keys.

When a routing table withdraws keys, connections of these keys that are idle
are closed, and transactions of theirs that are idle are rolled back, also those
of keys that belong to another workspace now. Statements that run are finished
first.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from typing import Final

from cowslipfork_direct.connected_caller import (
    CallerActivity,
    ConnectedCaller,
    Withdrawal,
)

log = logging.getLogger(__name__)

#: Seconds between two checks whether the statements of withdrawn keys have
#: ended.
POLL_INTERVAL: Final = 0.05


class ConnectedCallers:
    """All callers that are connected to this node."""

    def __init__(self) -> None:
        """Starts without callers."""
        self._connected: set[ConnectedCaller] = set()
        self._keys_changed = asyncio.Event()
        #: Connections that were accepted and are not served yet.
        self._accepted = 0
        self._last_accepted_at = -math.inf
        self._answer_by: float | None = None

    @property
    def connected(self) -> Collection[ConnectedCaller]:
        """Callers that are connected now."""
        return self._connected

    @property
    def last_accepted_at(self) -> float:
        """Loop time at which the last connection was accepted."""
        return self._last_accepted_at

    def count_by_activity(self) -> Counter[CallerActivity]:
        """Counts connections, with those that are accepted and not served."""
        counts = Counter(caller.activity for caller in self._connected)
        counts[CallerActivity.STARTING] += self._accepted
        return counts

    def limit_answers(self, answer_by: float) -> None:
        """Has all requests, also of new connections, answered in time.

        Args:
            answer_by: loop time by which each request must be answered.
        """
        self._answer_by = answer_by
        for caller in self._connected:
            caller.limit_answers(answer_by)

    def count_accepted(self) -> None:
        """Counts a connection that was accepted and is not served yet."""
        self._accepted += 1
        self._last_accepted_at = asyncio.get_running_loop().time()

    def count_served(self) -> None:
        """Counts an accepted connection no more, since it is served now."""
        self._accepted -= 1

    @contextmanager
    def connection_of(self, caller: ConnectedCaller) -> Iterator[None]:
        """Counts a caller as connected during the block."""
        self._connected.add(caller)
        if self._answer_by is not None:
            caller.limit_answers(self._answer_by)
        try:
            yield
        finally:
            self._connected.discard(caller)

    def check_keys(self) -> None:
        """Has the keys of all connected callers checked soon."""
        self._keys_changed.set()

    async def run(self) -> None:
        """Ends connections and transactions of withdrawn keys."""
        while True:
            await self._keys_changed.wait()
            self._keys_changed.clear()
            await self._end_withdrawn()

    async def _end_withdrawn(self) -> None:
        unchecked = tuple(self._connected)
        while unchecked and not self._keys_changed.is_set():
            withdrawn = [caller for caller in unchecked if caller.key_loss]
            busy = [caller for caller in withdrawn if not caller.idle]
            await _end_idle([caller for caller in withdrawn if caller.idle])
            unchecked = tuple(self._connected.intersection(busy))
            if unchecked:
                await asyncio.sleep(POLL_INTERVAL)


async def _end_idle(callers: Collection[ConnectedCaller]) -> None:
    """Ends what idle callers of withdrawn keys have open."""
    if not callers:
        return
    results = await asyncio.gather(
        *(caller.end_idle() for caller in callers), return_exceptions=True
    )
    failed = [one for one in results if isinstance(one, BaseException)]
    for error in failed:
        log.error('withdrawal_failed', extra={'cause': repr(error)})
    ended = Counter(one.value for one in results if isinstance(one, Withdrawal))
    log.info('withdrawn_keys_ended', extra=ended)
