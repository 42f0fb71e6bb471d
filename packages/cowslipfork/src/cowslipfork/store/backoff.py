"""Delays between attempts that spread over time, so that nodes do not herd."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterator

#: Bound of the first delay, in seconds.
FIRST_DELAY = 0.2

#: Bound of every later delay, in seconds.
LONGEST_DELAY = 5.0

#: Keeps the bound a finite number.
MAX_DOUBLINGS = 32


def backoff_delays(
    first: float = FIRST_DELAY,
    longest: float = LONGEST_DELAY,
    uniform: Callable[[float, float], float] = random.uniform,
) -> Iterator[float]:
    """Yields delays in seconds: exponential, with full jitter.

    Args:
        first: upper bound of the first delay.
        longest: upper bound of all delays.
        uniform: draws from a range.

    Yields:
        The next delay, for ever.
    """
    for doublings in itertools.count():
        bound = first * 2 ** min(doublings, MAX_DOUBLINGS)
        yield uniform(0, min(longest, bound))
