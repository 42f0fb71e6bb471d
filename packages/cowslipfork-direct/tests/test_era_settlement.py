"""Eras of the store that no living node remembers."""

import asyncio

import msgspec
import pytest
from direct_fakes.world import FRESH, run, statement, world

from cowslipfork.outcomes import NotRun
from cowslipfork.store import Event, StoreEra
from cowslipfork_direct.era_settlement import (
    ERA_KEY,
    SETTLE_TIME,
    EraSettlement,
    SettledEra,
)
from cowslipfork_direct.store_era import EraTracker

#: Seconds within which a primary is replaced in a settled era.
REPLACED_WITHIN = 10

#: Writes that the store forgets, so that its revisions fall visibly.
WRITES_AFTER_COPY = 50


async def _replace_primary(cluster):
    """Makes the primary unreachable until another one leads."""
    terms = len(cluster.database.terms)
    leader = next(
        server
        for server in cluster.servers.values()
        if server.role.value == 'primary' and not server.blocked
    )
    leader.blocked = True
    async with asyncio.timeout(REPLACED_WITHIN):
        while len(cluster.database.terms) == terms:
            for node in cluster.nodes:
                session = await cluster.session(FRESH, node)
                if not isinstance(session, NotRun):
                    await session.run(statement('WRITE x'))
            await asyncio.sleep(0.05)
    await asyncio.sleep(1)
    leader.blocked = False
    await asyncio.sleep(1)


async def _restart_all_from(cluster, copy):
    """Kills all nodes, returns the store to a copy and starts them again."""
    names = tuple(cluster.nodes)
    for name in names:
        await cluster.kill_node(name)
    cluster.store.restore(copy)
    for name in names:
        cluster.start_node(name)
    await asyncio.sleep(SETTLE_TIME + 2)


@pytest.mark.parametrize('recorded', [False, True])
def test_fences_rise_though_no_node_remembers_the_era_before(recorded):
    """All processes restart together with a restore, and orders go on.

    With ``recorded`` false the copy is older than the first record of an era,
    so that neither a node nor the store knows of the orders before.
    """

    async def main():
        async with world(nodes=3, settled=False) as cluster:
            if recorded:
                await asyncio.sleep(SETTLE_TIME + 1)
            copy = cluster.store.copy()
            await asyncio.sleep(SETTLE_TIME + 2)
            for _ in range(WRITES_AFTER_COPY):
                cluster.store.put('servers/unused', None)
            await _replace_primary(cluster)
            await _restart_all_from(cluster, copy)
            await _replace_primary(cluster)
            return [order.fence for _, order in cluster.orders]

    fences = run(main())
    assert len(fences) >= 2
    assert fences == sorted(set(fences))


def test_fences_rise_while_a_node_of_the_version_before_serves():
    """The record of an older version tells the era from which it counts."""

    async def main():
        async with world(nodes=2, settled=False) as cluster:
            era = cluster.store.era
            record = msgspec.json.encode({'era': era, 'first': era})
            cluster.store.put(ERA_KEY, record)
            copy = cluster.store.copy()
            await asyncio.sleep(1)
            cluster.store.restore(copy)
            await asyncio.sleep(SETTLE_TIME + 2)
            await _replace_primary(cluster)
            entry = await cluster.store.get(ERA_KEY)
            return era, entry, cluster

    era, entry, cluster = run(main())
    record = msgspec.json.decode(entry.content, type=SettledEra)
    assert (record.era, record.first) == (era + 1, era)
    assert cluster.orders[-1][1].fence >> 40 == 1


def test_a_first_record_counts_all_eras_of_the_store():
    async def main():
        async with world(settled=False) as cluster:
            cluster.store.restore(cluster.store.copy())
            await asyncio.sleep(SETTLE_TIME + 2)
            return await cluster.store.get(ERA_KEY)

    record = msgspec.json.decode(run(main()).content, type=SettledEra)
    assert record.first == StoreEra(0)


def test_an_older_record_replaces_no_newer_one():
    """Guards against a settled era that a late answer unsettles."""

    async def main():
        eras = EraTracker()
        settlement = EraSettlement(None, eras, None, lambda: None)
        eras.check('list', None, StoreEra(5))
        apply_events = settlement.subscription().on_events
        for era, revision in ((5, 9), (4, 8)):
            record = SettledEra(StoreEra(era), StoreEra(1), StoreEra(1))
            content = msgspec.json.encode(record)
            apply_events([Event(ERA_KEY, content, revision)])
        return settlement.settled

    assert run(main())
