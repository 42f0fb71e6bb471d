"""Lease during which no other endpoint can have become the primary.

The lease is extended from the time just before a request whose answer would
have shown a promotion under way. There are two sources:

- A renewal of this node's lease in the store. A promotion first ends the
  leases of all nodes that have not acknowledged that they stopped, and waits
  until what the last renewal proved has expired.
- Statuses of enough replicas, none of which is fenced, together with a status
  of the primary itself. A promotion either demotes the primary, which then no
  longer reports that it leads, or fences all replicas and waits until what
  their last statuses proved has expired.

So while a leader lease is valid there is no other primary.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

#: Seconds for which a renewal of the node's lease in the store extends the
#: leader lease.
RENEWAL_VALIDITY: Final = 1.0

#: Seconds for which confirmations of replicas extend the leader lease.
CONFIRMATION_VALIDITY: Final = 0.45

#: Seconds before expiry at which endpoints are asked to confirm the primary,
#: if the leader lease is needed. The node's lease in the store is renewed
#: earlier, so endpoints are only asked while the store is unreachable.
RENEW_BEFORE: Final = 0.25


@dataclass(frozen=True, slots=True)
class LeaseNeed:
    """What a leader lease must prove before an answer can be used.

    Attributes:
        moment: time at which no other endpoint may have been promoted.
        leading_at: time since which the primary must have shown that it
            leads; minus infinity for work that a demoted primary refuses.
    """

    moment: float
    leading_at: float

    @classmethod
    def of_read(cls, moment: float) -> LeaseNeed:
        """Returns the need of a read that shows the data of a moment."""
        return cls(moment, moment)

    @classmethod
    def of_write(cls, moment: float) -> LeaseNeed:
        """Returns the need of a write that was answered at a moment."""
        return cls(moment, -math.inf)


class LeaderLease:
    """Time until which no other endpoint can become the primary."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts expired.

        Args:
            now: clock in seconds that runs while the machine is suspended.
        """
        self._now = now
        self._renewed_until = -math.inf
        self._confirmed_until = -math.inf
        self._leading_at = -math.inf

    @property
    def valid_until(self) -> float:
        """Time on the ``now`` clock until which no other primary can exist."""
        return max(self._renewed_until, self._confirmed_until)

    @property
    def renewal_due(self) -> bool:
        """Whether the lease has expired or expires within ``RENEW_BEFORE``."""
        return self._now() >= self.valid_until - RENEW_BEFORE

    def covers(self, moment: float) -> bool:
        """Returns whether no other primary can have existed at a moment.

        Args:
            moment: time on the same clock.
        """
        return self.satisfies(LeaseNeed.of_read(moment))

    def satisfies(self, need: LeaseNeed) -> bool:
        """Returns whether the lease proves what an answer needs."""
        if need.moment < self._renewed_until:
            return True
        confirmed = need.moment < self._confirmed_until
        return confirmed and not self.needs_leader_status(need)

    def needs_leader_status(self, need: LeaseNeed) -> bool:
        """Returns whether the primary itself has yet to show that it leads."""
        renewed = need.moment < self._renewed_until
        return not renewed and need.leading_at > self._leading_at

    def extend(self, begun: float, validity: float) -> None:
        """Extends the lease after a renewal in the store; never shortens it.

        Args:
            begun: time just before the request that was answered.
            validity: seconds after ``begun`` at which the lease expires.
        """
        self._renewed_until = max(self._renewed_until, begun + validity)

    def confirm(self, begun: float, validity: float) -> None:
        """Extends the lease after statuses of replicas; never shortens it.

        It also needs a status of the primary, see ``note_leading``.

        Args:
            begun: time just before the earliest of the requests.
            validity: seconds after ``begun`` at which the lease expires.
        """
        self._confirmed_until = max(self._confirmed_until, begun + validity)

    def note_leading(self, begun: float) -> None:
        """Notes that the primary has shown that it leads.

        Args:
            begun: time just before the request that was answered.
        """
        self._leading_at = max(self._leading_at, begun)

    def revoke(self) -> None:
        """Expires the lease at once, for example when the primary changes."""
        self._renewed_until = -math.inf
        self._confirmed_until = -math.inf
        self._leading_at = -math.inf
