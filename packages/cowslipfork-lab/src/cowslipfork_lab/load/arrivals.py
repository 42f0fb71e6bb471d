"""Open-loop arrivals: requests come whether or not earlier ones are done."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from cowslipfork.ids import GroupName
from cowslipfork_lab.load.mix import MixEntry


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that is due.

    Attributes:
        at: seconds after the start.
        entry: its kind.
        group: its group.
    """

    at: float
    entry: MixEntry
    group: GroupName


def arrivals(
    mix: Sequence[MixEntry],
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
    weights = [entry.weight for entry in mix]
    at = chance.expovariate(rate)
    while at < seconds:
        entry = chance.choices(mix, weights)[0]
        yield Arrival(at, entry, chance.choice(entry.groups))
        at += chance.expovariate(rate)
