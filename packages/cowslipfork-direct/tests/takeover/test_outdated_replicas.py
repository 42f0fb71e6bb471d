"""Replicas that have not followed the last primary."""

import asyncio

import pytest
from direct_fakes.history import History
from direct_fakes.restore import now, write, write_until
from direct_fakes.world import run, world

from cowslipfork.outcomes import Done
from cowslipfork_direct.link import EndpointRole
from cowslipfork_direct.takeover.evidence_collector import LAST_PRIMARY_TIMEOUT

#: Seconds that a takeover takes once a replica can be promoted.
TAKEOVER = 3


async def write_for(cluster, history, seconds):
    """Writes through all nodes."""
    await asyncio.gather(
        *(
            write_until(cluster, history, node, now() + seconds)
            for node in tuple(cluster.nodes)
        )
    )


async def replace_by_deaf(cluster, history):
    """Has e3, which lacks some commits, lead the second term."""
    cluster.servers['e2'].blocked = True
    cluster.servers['e3'].replication_blocked = True
    await write_for(cluster, history, 1)
    cluster.servers['e1'].blocked = True
    await write_for(cluster, history, 3)
    cluster.servers['e3'].replication_blocked = False
    assert cluster.database.primary.name == 'e3'


def return_as_replica(cluster, name):
    """Brings a primary back with its log; another one was promoted."""
    cluster.servers[name].role = EndpointRole.REPLICA
    cluster.servers[name].blocked = False


@pytest.mark.parametrize('away', [0.5, 2.0, 6.0])
def test_a_log_of_an_earlier_term_is_not_promoted_over_a_later_one(away):
    """Guards against rolled-back commits that return, and lost later ones."""

    async def main():
        async with world(nodes=3) as cluster:
            history = History(cluster.database)
            await replace_by_deaf(cluster, history)
            done = history.done
            cluster.servers['e3'].blocked = True
            await asyncio.sleep(0.3)
            return_as_replica(cluster, 'e1')
            await write_for(cluster, history, away)
            cluster.servers['e3'].blocked = False
            await write_for(cluster, history, 2)
            return cluster, history, done

    cluster, history, done = run(main())
    assert [name for _, name, _ in cluster.database.terms] == ['e1', 'e3']
    assert history.find_violations() == []
    assert history.done > done


def test_a_last_primary_that_does_not_return_is_not_waited_for():
    """Guards against a group without a primary for good."""

    async def main():
        async with world(nodes=3) as cluster:
            history = History(cluster.database)
            await replace_by_deaf(cluster, history)
            cluster.servers['e3'].blocked = True
            return_as_replica(cluster, 'e1')
            begun = now()
            while not isinstance(await write(cluster), Done):
                assert now() < begun + 60
                await asyncio.sleep(0.05)
            return cluster, now() - begun

    cluster, gap = run(main())
    assert cluster.database.primary.name == 'e1'
    assert gap > LAST_PRIMARY_TIMEOUT
    # A takeover that has timed out is claimed anew.
    assert gap < LAST_PRIMARY_TIMEOUT + 2 * TAKEOVER
