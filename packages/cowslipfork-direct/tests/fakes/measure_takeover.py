"""Prints how long a change of primary takes in virtual time.

Run with ``tests/fakes`` of this package and of ``cowslipfork`` on the path.
"""

import asyncio
import itertools
import logging
import statistics

from direct_fakes.restore import now, write
from direct_fakes.world import run, world

#: Seconds from the start of a world to the loss of its primary.
MOMENTS = [number / 20 for number in range(10)]

#: Seconds after which a change of primary counts as not made.
LONGEST = 20

_MS_PER_SECOND = 1000


def seconds_until_replaced(synchronous, moment, *, leaves):
    """Returns the seconds until another primary leads."""

    async def main():
        async with world(nodes=5, synchronous_replicas=synchronous) as cluster:
            await asyncio.sleep(moment)
            begun = now()
            primary = cluster.servers['e1']
            primary.leaving = leaves
            primary.blocked = not leaves
            if leaves:
                cluster.list_server(primary)
            while len(cluster.database.terms) == 1 and now() < begun + LONGEST:
                await write(cluster)
                await asyncio.sleep(0.01)
            return cluster.database.terms[-1][2] - begun

    return run(main())


def measure():
    logging.disable(logging.CRITICAL)
    for synchronous, leaves in itertools.product((0, 1), (False, True)):
        times = [
            seconds_until_replaced(synchronous, moment, leaves=leaves)
            for moment in MOMENTS
        ]
        figures = [
            round(one * _MS_PER_SECOND)
            for one in (statistics.median(times), min(times), max(times))
        ]
        what = 'leaves' if leaves else 'killed'
        print(f'synchronous replicas {synchronous}, primary {what}: {figures}')


if __name__ == '__main__':
    measure()
