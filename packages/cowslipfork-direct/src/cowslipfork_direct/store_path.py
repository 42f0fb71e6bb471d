"""Chooses the path to the store: the direct one or another node's relay.

Pure state over answers and failures of calls; ``rerouting`` makes the calls.
"""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable, Sequence
from typing import Final

from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.relay import Address

log = logging.getLogger(__name__)

#: Seconds between two probes of the direct connection while a relay is used.
DIRECT_RETRY_INTERVAL: Final = 2.0

#: Seconds for which no relay is used after one has failed as well: the store
#: is then likely to be down for all nodes.
RELAY_RETRY_INTERVAL: Final = 2.0

#: Relays that are tried one after the other before the pause.
MAX_RELAYS_IN_A_ROW: Final = 3


class StorePath:
    """The path to the store that calls use now."""

    def __init__(
        self,
        relays: Callable[[], Sequence[Address]],
        on_switch: Callable[[], None],
    ) -> None:
        """Starts with the direct connection.

        Args:
            relays: returns the relays of other nodes, best first.
            on_switch: called when another path has come into use.
        """
        self._relays = relays
        self._on_switch = on_switch
        self._relay: Address | None = None
        self._last_switch_or_probe: float = 0
        self._no_relay_until: float = 0
        self._relays_failed = 0
        self._direct_answered = False
        self._last_answers: dict[Address | None, float] = {}
        self._closed_before = False
        self._rotation = itertools.count()

    @property
    def relay(self) -> Address | None:
        """Relay that is in use; None for the direct connection."""
        return self._relay

    @property
    def direct_answered(self) -> bool:
        """Whether the last call on the direct connection was answered."""
        return self._direct_answered

    @property
    def probe_due(self) -> bool:
        """Whether it is time to try the direct connection beside a relay."""
        due_at = self._last_switch_or_probe + DIRECT_RETRY_INTERVAL
        return self._relay is not None and boot_time() > due_at

    def record_probe(self) -> None:
        """Notes that a probe of the direct connection begins."""
        self._last_switch_or_probe = boot_time()

    def record_answer(self, path: Address | None) -> None:
        """Notes that a call on a path was answered."""
        self._last_answers[path] = boot_time()
        if path is None:
            self._direct_answered = True
        else:
            self._relays_failed = 0

    def record_watch_answer(self, path: Address | None) -> None:
        """Notes that a watch on a path was answered."""
        self._closed_before = False
        self.record_answer(path)

    def record_failure(self, path: Address | None, begun_at: float) -> bool:
        """Switches to another path unless this one is known to work.

        Args:
            path: path of the call that failed.
            begun_at: boot time at which it began. If the path has answered
                another call since, only the call's connection is dead.

        Returns:
            Whether a relay has come into use.
        """
        if self._last_answers.get(path, float('-inf')) > begun_at:
            return False
        return self._switch(path)

    def record_closed_watch(
        self, path: Address | None, begun_at: float
    ) -> bool:
        """Switches to another path after two closed watches in a row.

        Args:
            path: path of the watch.
            begun_at: boot time of its last answer, or at which it began.

        Returns:
            Whether a relay has come into use.
        """
        second = self._closed_before
        self._closed_before = not second
        return second and self.record_failure(path, begun_at)

    def use_direct(self) -> None:
        """Uses the direct connection."""
        self._use(None)

    def _switch(self, failed: Address | None) -> bool:
        """Switches to another path, unless another call has done so."""
        if failed is None:
            self._direct_answered = False
        if failed != self._relay:
            return False
        if failed is not None:
            self._relays_failed += 1
        relays = self._relays()
        if self._relays_failed >= min(MAX_RELAYS_IN_A_ROW, len(relays)):
            self._pause_relays()
        elif boot_time() >= self._no_relay_until:
            self._use(relays[next(self._rotation) % len(relays)])
            return True
        return False

    def _pause_relays(self) -> None:
        """Uses the direct connection, and no relay for some time."""
        if self._relays_failed:
            self._no_relay_until = boot_time() + RELAY_RETRY_INTERVAL
        self._relays_failed = 0
        self._use(None)

    def _use(self, path: Address | None) -> None:
        before = self._relay
        self._relay = path
        self._last_switch_or_probe = boot_time()
        if path != before:
            log.warning(
                'store_way',
                extra={'via': path.host if path else 'direct'},
            )
            self._on_switch()
