"""Open-loop arrivals: requests come whether or not earlier ones are done."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from cowslipfork.ids import GroupName
from cowslipfork_lab.load.mix import Share


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that is due.

    Attributes:
        at: seconds after the start.
        share: its kind.
        group: its group.
    """

    at: float
    share: Share
    group: GroupName


def arrivals(
    mix: Sequence[Share],
    rate: float,
    seconds: float,
    seed: int,
) -> Iterator[Arrival]:
    """Draws a Poisson stream of requests.

    Args:
        mix: kinds with their weights.
        rate: requests a second.
        seconds: length of the run.
        seed: the same seed gives the same stream.

    Yields:
        Requests in the order of their times.
    """
    chance = random.Random(seed)
    weights = [share.weight for share in mix]
    at = chance.expovariate(rate)
    while at < seconds:
        share = chance.choices(mix, weights)[0]
        yield Arrival(at, share, chance.choice(share.groups))
        at += chance.expovariate(rate)
