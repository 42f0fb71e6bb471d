"""Prints the gap from a fault to the next acknowledged write, virtual time.

Run from the root: ``.venv/bin/python
packages/cowslipfork/tests/fakes/measure_promotion.py``. The fault comes at
ten moments spread over the sampling interval; the network takes 1 ms one way,
the store 2 ms, replication 4 ms, and a caller tries each 10 ms.
"""

from __future__ import annotations

import asyncio
import logging
from statistics import median

from cluster import Cluster
from tracker_fixture import E1, E2, E3
from virtual_time import run_virtual

MOMENTS = 10
INTERVAL = 0.1


def kill(cluster):
    cluster.group.servers[E1].dead = True


def restart(cluster):
    cluster.group.servers[E1].restart()


def freeze(cluster):
    cluster.group.servers[E1].not_frozen.clear()


def cut_off(cluster):
    for name in (E2, E3, *(node.name for node in cluster.nodes)):
        cluster.group.cut(E1, name)


def cut_from_replicas(cluster):
    cluster.group.cut(E1, E2)
    cluster.group.cut(E1, E3)


def leave(cluster):
    cluster.group.servers[E1].leaving = True


FAULTS = (kill, restart, freeze, cut_off, cut_from_replicas, leave)


async def gap(fault, lost_nodes, moment):
    cluster = Cluster(nodes=5)
    cluster.start()
    await asyncio.sleep(0.5 + moment * INTERVAL / MOMENTS)
    if lost_nodes:
        # Membership makes the next in rank the carrier at once here.
        cluster.nodes[0].kill()
        cluster.nodes[1].rank = 0
    fault(cluster)
    try:
        return await cluster.until_serving(term=2)
    finally:
        await cluster.stop()


def main():
    logging.disable()
    print('| fault | nodes lost | median s | least s | most s |')
    print('|---|---|---|---|---|')
    for fault in FAULTS:
        for lost_nodes in (0, 1):
            gaps = [
                run_virtual(gap(fault, lost_nodes, moment))
                for moment in range(MOMENTS)
            ]
            figures = ' | '.join(
                f'{figure:.2f}'
                for figure in (median(gaps), min(gaps), max(gaps))
            )
            print(f'| {fault.__name__} | {lost_nodes} | {figures} |')


if __name__ == '__main__':
    main()
