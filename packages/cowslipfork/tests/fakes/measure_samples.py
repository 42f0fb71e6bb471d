"""Prints the processor time that one sample costs the tracker.

Run from the root: ``.venv/bin/python
packages/cowslipfork/tests/fakes/measure_samples.py``. Each third sample of
three endpoints brings a new mark; asking and answering are not counted.
"""

from __future__ import annotations

import asyncio
import time
from statistics import median

from fake_group import FakeGroup
from tracker_fixture import E1, GROUP

from cowslipfork.configuration import Failover
from cowslipfork.groups import (
    EndpointRole,
    EndpointStatus,
    Tracker,
    first_record,
)
from cowslipfork.groups.check import Sample
from cowslipfork.ids import Mark, Position, Term

SAMPLES = 60_000
RUNS = 5


async def cost():
    """Gives the microseconds of a sample."""
    tracker = Tracker(
        first_record(GROUP),
        FakeGroup().controls('node'),
        Failover(),
        time.monotonic,
        print,
    )
    samples = [sample(number) for number in range(SAMPLES)]
    begun = time.process_time()
    for taken in samples:
        tracker.observe(taken.status.endpoint, taken)
    return (time.process_time() - begun) / SAMPLES * 1e6


def sample(number):
    endpoint = GROUP.endpoints[number % 3]
    role = EndpointRole.PRIMARY if endpoint == E1 else EndpointRole.REPLICA
    mark = Mark(Term(1), Position(number // 3 + 1))
    status = EndpointStatus(endpoint, role, Term(1), mark)
    return Sample(number + 1, float(number), status)


def main():
    costs = [asyncio.run(cost()) for _ in range(RUNS)]
    print(
        f'median {median(costs):.1f} us, '
        f'least {min(costs):.1f}, most {max(costs):.1f}'
    )


if __name__ == '__main__':
    main()
