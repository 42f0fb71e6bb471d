"""Whether a request may wait for a slot, and when its caller should retry.

Answers these load patterns: more nodes than slots, a burst at a node that has
few connections, lagging replicas that leave reads to the primary alone, and a
group whose callers all come back after a change of its primary. In each of them
a queue without admission control fills up until every request waits as long as
it may: then most are rejected late, and the others are answered late. So a
request is rejected at once if those before it can't be done in time.

A fifth pattern is a workspace that sends many times its usual load beside
others. What it sends is estimated from its own requests, so that it is rejected
while the others, which get their even shares, are not.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

#: Greatest fraction of the time that a request may wait which its expected wait
#: may take: service times vary, and its own comes on top.
MAX_EXPECTED_FRACTION: Final = 0.5

#: Weight of a new sample in the moving average of the interval.
SMOOTHING: Final = 0.1

#: A sample counts as at most this many times the interval before it: a wait for
#: a new primary says nothing about how fast the queue drains.
MAX_SAMPLE_RATIO: Final = 4

#: Least seconds after which a rejected caller should retry.
MIN_RETRY_AFTER: Final = 0.05

#: Callers that are rejected together come back spread over this many times the
#: wait after which there is room again.
SPREAD: Final = 1.0

_MS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class Backlog:
    """The requests of a class or of a workspace in it before a new one.

    Attributes:
        ahead: number of these requests.
        interval: seconds between two of them being served, which include the
            requests of others that are served in between.
    """

    ahead: int
    interval: float

    @property
    def expected_wait(self) -> float:
        """Seconds until the new request is likely to be served."""
        return self.ahead * self.interval


def has_room(backlog: Backlog, longest_wait: float) -> bool:
    """Returns whether a request may wait for a slot.

    Args:
        backlog: the requests before it.
        longest_wait: seconds that it may wait.
    """
    return backlog.expected_wait <= MAX_EXPECTED_FRACTION * longest_wait


def retry_after(backlog: Backlog, longest_wait: float, draw: float) -> float:
    """Returns after how many seconds a rejected request should come back.

    By then the backlog has become short enough. Callers that were rejected
    together come back one after the other.

    Args:
        backlog: the requests before it.
        longest_wait: seconds that it may wait.
        draw: random number from 0 to 1 that spreads the callers.
    """
    acceptable = MAX_EXPECTED_FRACTION * longest_wait
    excess = max(0, backlog.expected_wait - acceptable)
    return max(excess, backlog.interval, MIN_RETRY_AFTER) * (1 + SPREAD * draw)


def milliseconds(seconds: float) -> int:
    """Returns whole milliseconds, at least 1."""
    return max(1, round(seconds * _MS_PER_SECOND))


def updated_interval(interval: float, waited: float, ahead: int) -> float:
    """Returns the interval of a class after one of its requests was served.

    Args:
        interval: its interval before.
        waited: seconds that the request waited.
        ahead: requests of its class that waited before it.
    """
    sample = min(waited / (ahead + 1), MAX_SAMPLE_RATIO * interval)
    return interval + SMOOTHING * (sample - interval)
