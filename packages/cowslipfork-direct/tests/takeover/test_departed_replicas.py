"""Takeovers after a replica has left that held acknowledged commits."""

import asyncio
import json

import pytest
from direct_fakes.restore import now, write
from direct_fakes.servers import Server
from direct_fakes.world import run, world

from cowslipfork.outcomes import Done
from cowslipfork_direct.link import EndpointRole
from cowslipfork_direct.takeover.evidence_collector import REPLACEMENT_TIMEOUT

#: Seconds that a takeover takes once it knows every commit.
TAKEOVER = 3

#: Seconds that e2 reports that it leaves before it ends.
DRAIN = 2.0


class Service:
    """Three servers of which e2 leaves while e3 receives nothing."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.acknowledged = []

    async def write(self, count=10, node='n1'):
        """Writes; what is acknowledged must never be lost."""
        for _ in range(count):
            text = f'WRITE a {len(self.acknowledged)}'
            outcome = await write(self._cluster, node, text)
            if isinstance(outcome, Done):
                self.acknowledged.append(text)

    async def drain(self):
        """Has e2 leave, and e3 receive nothing before it has left."""
        cluster = self._cluster
        cluster.servers['e2'].leaving = True
        cluster.list_server(cluster.servers['e2'])
        await asyncio.sleep(DRAIN / 2)
        cluster.servers['e3'].replication_blocked = True
        await self.write()
        await asyncio.sleep(DRAIN / 2)

    def end(self):
        """Ends e2, whose entry is removed at once."""
        self.left = self._cluster.servers['e2']
        self.left.blocked = True
        self._cluster.store.put('servers/e2', None)

    def replace(self, name='e2b'):
        """Starts a server with the log of e2 at its address."""
        left = self.left
        new = Server(name, left.group, left.domain, term=left.term)
        new.log = list(left.log)
        new.applied = len(new.log)
        new.port = left.listed.port
        self._cluster.servers[name] = new
        self._cluster.list_server(new)

    def lost_by(self, server):
        """Returns the acknowledged writes that a server lacks."""
        kept = {text for commit in server.log for text in commit.writes}
        return [text for text in self.acknowledged if text not in kept]


async def served_after(cluster, node='n1', seconds=60):
    """Returns the seconds until a write succeeds; None if none does."""
    begun = now()
    while now() < begun + seconds:
        if isinstance(await write(cluster, node), Done):
            return now() - begun
        await asyncio.sleep(0.05)
    return None


async def restart_all(cluster):
    for name in tuple(cluster.nodes):
        await cluster.kill_node(name)
    await asyncio.sleep(0.1)
    for number in (1, 2, 3):
        cluster.start_node(f'n{number}', 'abc'[number - 1])


@pytest.mark.parametrize('restarted', [False, True])
@pytest.mark.parametrize('replaced_after', [0.5, 2.0, 9.0])
def test_a_replica_without_the_commits_of_one_that_left_is_not_promoted(
    replaced_after, restarted
):
    """Guards against commits that only a replica in replacement holds."""

    async def main():
        async with world(nodes=3, synchronous_replicas=1) as cluster:
            service = Service(cluster)
            await service.write()
            await service.drain()
            service.end()
            await asyncio.sleep(0.3)
            cluster.servers['e1'].blocked = True
            gap = asyncio.create_task(served_after(cluster))
            if restarted:
                gap.cancel()
                await restart_all(cluster)
                gap = asyncio.create_task(served_after(cluster))
            await asyncio.sleep(replaced_after)
            service.replace()
            return cluster, service, await gap

    cluster, service, gap = run(main())
    assert service.lost_by(cluster.database.primary) == []
    assert cluster.database.primary.name == 'e2b'
    # Processes that start again find the lost primary later.
    assert gap < replaced_after + TAKEOVER + 6 * restarted


def test_the_primary_that_returns_ends_the_wait_for_a_replacement():
    """Guards against a wait although the whole log is there again."""

    async def main():
        async with world(nodes=3, synchronous_replicas=1) as cluster:
            service = Service(cluster)
            await service.drain()
            service.end()
            await asyncio.sleep(0.3)
            cluster.servers['e1'].blocked = True
            await asyncio.sleep(4)
            cluster.servers['e1'].blocked = False
            return cluster, service, await served_after(cluster)

    cluster, service, gap = run(main())
    assert cluster.orders == []
    assert service.lost_by(cluster.database.primary) == []
    assert gap < TAKEOVER


def test_a_replacement_that_never_comes_is_not_waited_for_any_longer():
    """Guards against a group without a primary for good."""

    async def main():
        async with world(nodes=3, synchronous_replicas=1) as cluster:
            service = Service(cluster)
            await service.drain()
            service.end()
            await asyncio.sleep(0.3)
            cluster.servers['e1'].blocked = True
            return cluster, await served_after(cluster)

    cluster, gap = run(main())
    assert cluster.database.primary.name == 'e3'
    assert REPLACEMENT_TIMEOUT < gap < REPLACEMENT_TIMEOUT + 8 + TAKEOVER


def test_a_replica_that_left_is_forgotten_once_another_has_its_commits():
    """Guards against a wait for a replica whose log nobody needs."""

    async def main():
        async with world(nodes=3, synchronous_replicas=1) as cluster:
            service = Service(cluster)
            await service.drain()
            service.end()
            await asyncio.sleep(0.3)
            cluster.servers['e3'].replication_blocked = False
            await service.write()
            await asyncio.sleep(1)
            record = await cluster.store.get('cowslipfork/departures/g')
            cluster.servers['e1'].blocked = True
            gap = await served_after(cluster)
            return cluster, service, gap, json.loads(record.content)

    cluster, service, gap, record = run(main())
    assert record['replicas'] == []
    assert service.lost_by(cluster.database.primary) == []
    assert gap < TAKEOVER


def test_a_handover_needs_no_replica_that_left():
    """Guards against a planned change that waits for a replacement."""

    async def main():
        async with world(nodes=3, synchronous_replicas=1) as cluster:
            service = Service(cluster)
            await service.drain()
            service.end()
            cluster.servers['e3'].replication_blocked = False
            primary = cluster.servers['e1']
            primary.leaving = True
            cluster.list_server(primary)
            await service.write()
            await asyncio.sleep(TAKEOVER)
            return cluster, service

    cluster, service = run(main())
    assert cluster.database.primary.name == 'e3'
    assert service.lost_by(cluster.database.primary) == []


def test_two_replicas_that_are_replaced_in_a_row_both_count():
    """Guards against commits that only the second one that left holds."""

    async def main():
        async with world(nodes=3, size=4, synchronous_replicas=1) as cluster:
            service = Service(cluster)
            cluster.servers['e4'].replication_blocked = True
            cluster.servers['e3'].replication_blocked = True
            await service.write()
            for name in ('e3', 'e2'):
                cluster.servers[name].leaving = True
                cluster.list_server(cluster.servers[name])
            await asyncio.sleep(1)
            cluster.servers['e3'].blocked = True
            cluster.store.put('servers/e3', None)
            service.end()
            await asyncio.sleep(0.3)
            cluster.servers['e1'].blocked = True
            await asyncio.sleep(2)
            service.replace()
            gap = await served_after(cluster)
            return cluster, service, gap

    cluster, service, gap = run(main())
    # e3 left as well, and nobody can tell that it holds nothing.
    assert gap > REPLACEMENT_TIMEOUT - TAKEOVER
    assert service.lost_by(cluster.database.primary) == []


def test_departures_outlive_a_store_that_returns_from_an_older_copy():
    """Guards against a record that the store has lost."""

    async def main():
        async with world(nodes=3, synchronous_replicas=1) as cluster:
            service = Service(cluster)
            copy = cluster.store.copy()
            await service.drain()
            service.end()
            cluster.store.restore(copy)
            cluster.store.put('servers/e2', None)
            await asyncio.sleep(5)
            return await cluster.store.get('cowslipfork/departures/g')

    record = json.loads(run(main()).content)
    assert [one['endpoint'] for one in record['replicas']] == ['e2']


def test_a_group_without_synchronous_replicas_keeps_no_record():
    async def main():
        async with world(nodes=3) as cluster:
            service = Service(cluster)
            await service.drain()
            service.end()
            begun = now()
            cluster.servers['e1'].blocked = True
            await served_after(cluster)
            record = await cluster.store.get('cowslipfork/departures/g')
            return cluster.database.primary.role, record, now() - begun

    role, record, gap = run(main())
    assert role is EndpointRole.PRIMARY
    assert record is None
    assert gap < TAKEOVER
