"""Proof that no other endpoint can have become the primary.

A proof is the moment before somebody was asked who would have told of a
promotion under way: the store, which renewed this node's lease, or a majority
of the group's endpoints, none of which was held. A promotion first ends the
leases and holds the endpoints, then waits until all proofs have lapsed, unless
all nodes have said that they stopped. So while a proof holds there is no other
primary.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

#: Seconds for which a renewal of the lease proves.
RENEWAL_VALIDITY: Final = 1.0

#: Seconds for which the word of endpoints proves.
CONFIRMATION_VALIDITY: Final = 0.45

#: Seconds before a proof lapses at which endpoints are asked for another, if
#: it is in demand. The lease is renewed earlier, so that they are only asked
#: while the store is away.
RENEW_BEFORE: Final = 0.25


class LeaderLease:
    """The newest proof about one primary."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts without a proof.

        Args:
            now: clock in seconds that runs while the machine is suspended.
        """
        self._now = now
        self._valid_until = -math.inf

    @property
    def valid_until(self) -> float:
        """Time until which no other primary can exist."""
        return self._valid_until

    @property
    def renewal_due(self) -> bool:
        """Whether the proof should be renewed."""
        return self._now() >= self._valid_until - RENEW_BEFORE

    def covers(self, moment: float) -> bool:
        """Tells whether no other primary existed at a moment.

        Args:
            moment: time on the same clock.
        """
        return moment < self._valid_until

    def extend(self, begun: float, validity: float) -> None:
        """Takes a proof in.

        Args:
            begun: time before the asking.
            validity: seconds for which it holds.
        """
        self._valid_until = max(self._valid_until, begun + validity)

    def revoke(self) -> None:
        """Drops the proof, as when the primary changes."""
        self._valid_until = -math.inf
