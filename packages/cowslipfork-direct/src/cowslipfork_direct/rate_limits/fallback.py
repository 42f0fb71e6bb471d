"""Operations that a node grants on its own while no limiter answers.

Answers these failures: a limiter that died and whose successor has no majority
yet, and nodes that are cut off from it. Each node grants half of its even share
of the rate. The bucket starts empty each time that the node begins to grant on
its own: saved tokens would add up over the nodes beyond the limit.
"""

from __future__ import annotations

from typing import Final

from cowslipfork.limits.rate_limit import TokenBucket
from cowslipfork_direct.rate_limits.limits import FALLBACK_FRACTION
from cowslipfork_direct.routes import RateLimit

#: Seconds without use after which a node no longer grants on its own.
FORGOTTEN_AFTER: Final = 1.0


class Fallback:
    """A node's own bucket of one workspace."""

    def __init__(self) -> None:
        """Starts without a bucket, since the limiter is asked first."""
        self._bucket: TokenBucket | None = None
        self._used_at: float = 0
        self._granted_at: float | None = None

    @property
    def granted_at(self) -> float | None:
        """Time of the last operation that was granted here."""
        return self._granted_at

    def in_use(self, now: float) -> bool:
        """Returns whether operations are granted here at present."""
        return self._bucket is not None and (
            now - self._used_at < FORGOTTEN_AFTER
        )

    def stop(self) -> None:
        """Drops the bucket; the limiter answers again."""
        self._bucket = None

    def take(
        self, limit: RateLimit, nodes: int, operations: int, now: float
    ) -> int:
        """Grants as many operations as this node's share allows.

        Args:
            limit: limit of the workspace over all nodes.
            nodes: number of registered nodes.
            operations: number of operations that wait.
            now: current time.

        Returns:
            Number of granted operations.
        """
        fraction = FALLBACK_FRACTION / max(1, nodes)
        rate, burst = limit.rate * fraction, limit.burst * fraction
        bucket = self._bucket
        if bucket is None or not self.in_use(now):
            bucket = TokenBucket(rate, burst, now)
            self._bucket = bucket
        bucket.set_limit(rate, burst, now)
        self._used_at = now
        granted = bucket.take(operations, now)
        if granted:
            self._granted_at = now
        return granted

    def seconds_to_token(self, now: float) -> float:
        """Returns seconds until the next token while the bucket is in use."""
        return 0 if self._bucket is None else self._bucket.seconds_to_token(now)
