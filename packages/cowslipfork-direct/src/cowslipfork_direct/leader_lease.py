"""Lease during which no other endpoint can have become the primary.

The lease is extended from the time just before a request whose answer would
have shown a promotion under way: a renewal of this node's lease in the store,
or statuses from a majority of the group's endpoints, none of which is fenced.
A promotion first ends the nodes' leases in the store and fences the endpoints,
then waits until all leader leases have expired, unless all nodes have
acknowledged that they stopped. So while a leader lease is valid there is no
other primary.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

#: Seconds for which a renewal of the node's lease in the store extends the
#: leader lease.
RENEWAL_VALIDITY: Final = 1.0

#: Seconds for which confirmations of endpoints extend the leader lease.
CONFIRMATION_VALIDITY: Final = 0.45

#: Seconds before expiry at which endpoints are asked to confirm the primary,
#: if the leader lease is needed. The node's lease in the store is renewed
#: earlier, so endpoints are only asked while the store is unreachable.
RENEW_BEFORE: Final = 0.25


class LeaderLease:
    """Time until which no other endpoint can become the primary."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts expired.

        Args:
            now: clock in seconds that runs while the machine is suspended.
        """
        self._now = now
        self._valid_until = -math.inf

    @property
    def valid_until(self) -> float:
        """Time on the ``now`` clock until which no other primary can exist."""
        return self._valid_until

    @property
    def renewal_due(self) -> bool:
        """Whether the lease has expired or expires within ``RENEW_BEFORE``."""
        return self._now() >= self._valid_until - RENEW_BEFORE

    def covers(self, moment: float) -> bool:
        """Returns whether no other primary can have existed at a moment.

        Args:
            moment: time on the same clock.
        """
        return moment < self._valid_until

    def extend(self, begun: float, validity: float) -> None:
        """Extends the lease; never shortens it.

        Args:
            begun: time just before the request that was answered.
            validity: seconds after ``begun`` at which the lease expires.
        """
        self._valid_until = max(self._valid_until, begun + validity)

    def revoke(self) -> None:
        """Expires the lease at once, for example when the primary changes."""
        self._valid_until = -math.inf
