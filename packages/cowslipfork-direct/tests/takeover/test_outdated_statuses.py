"""Takeovers whose candidates were last asked in an earlier term."""

import asyncio

import pytest
from direct_fakes.restore import replace_primary, write
from direct_fakes.world import run, world

from cowslipfork.outcomes import Done

#: Seconds by which replicas follow a new primary.
LAG = 0.15

#: Seconds within which a primary that leaves, or fails, is replaced.
REPLACED = 3


def follow_late(cluster):
    """Has replicas follow a new primary, which reports it, after ``LAG``."""
    replicate = cluster.database._replicate_from

    def follow(primary, other):
        cluster.list_server(primary)
        loop = asyncio.get_running_loop()
        loop.call_later(LAG, replicate, primary, other)

    cluster.database._replicate_from = follow


async def lose_first_primary(cluster):
    follow_late(cluster)
    await replace_primary(cluster, 'e1')
    cluster.store.put('servers/e1', None)
    await asyncio.sleep(8)
    return cluster.database.primary


def leave(cluster, server):
    server.leaving = True
    cluster.list_server(server)


def fail(cluster, server):
    server.fail = 10_000


@pytest.mark.parametrize('trouble', [leave, fail])
def test_the_next_primary_is_replaced_after_one_was_lost_for_good(trouble):
    """Guards against a primary that is used until it ends."""

    async def main():
        async with world(nodes=5) as cluster:
            second = await lose_first_primary(cluster)
            trouble(cluster, second)
            for _ in range(REPLACED * 10):
                await asyncio.gather(
                    *(write(cluster, node) for node in cluster.nodes),
                    asyncio.sleep(0.1),
                )
            return cluster, second, await write(cluster)

    cluster, second, outcome = run(main())
    assert cluster.database.primary is not second
    assert isinstance(outcome, Done)
