"""Endpoints that sent replies which answer no command."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Final

from cowslipfork.ids import EndpointId
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.reply_matching import Match

#: Seconds after a copy of a reply for which connections to its endpoint serve
#: one caller each: copies can't be told from all replies to another.
DISTRUST_TIME: Final = 60


class CopyRecord:
    """Counts unmatched replies, and remembers which endpoints repeat theirs.

    Attributes:
        counts: replies that may answer no command, by how they match.
    """

    def __init__(self, now: Callable[[], float] = boot_time) -> None:
        """Starts without replies.

        Args:
            now: clock in seconds that runs while the machine is suspended.
        """
        self.counts: Counter[str] = Counter()
        self._now = now
        self._distrusted_until: dict[EndpointId, float] = {}

    def count(self, match: Match) -> None:
        """Counts a reply that may answer no command."""
        self.counts[match.value] += 1

    def record_copy(self, endpoint: EndpointId) -> None:
        """Records that a reply of an endpoint answered no command."""
        self._distrusted_until[endpoint] = self._now() + DISTRUST_TIME

    def repeats(self, endpoint: EndpointId) -> bool:
        """Returns whether an endpoint sent such a reply a short time ago."""
        until = self._distrusted_until.get(endpoint)
        if until is None:
            return False
        if self._now() < until:
            return True
        del self._distrusted_until[endpoint]
        return False
