"""Several nodes in one loop: the real control loops, small fakes around."""

from __future__ import annotations

import asyncio
from functools import partial

from cowslipfork.ids import (
    FailureDomain,
    Incarnation,
    RegionName,
    Revision,
    VmId,
)
from cowslipfork.membership.fleet import FleetMembership
from cowslipfork.membership.member import MemberState, Report
from cowslipfork.membership.members import Members
from cowslipfork.membership.memory import MemoryNetwork, MemoryPeers
from cowslipfork.membership.rendezvous import VmLocation
from cowslipfork.record_sync.fetch import answer_fetch
from cowslipfork.record_sync.local_records import LocalRecords
from cowslipfork.record_sync.record import CONFIGURATION_KEY, VMS_PREFIX
from cowslipfork.record_sync.relay import Relay
from cowslipfork.store.memory import MemoryStore
from cowslipfork.wire import records_pb2


def region_of(domain):
    return RegionName(domain.split('-')[0])


class FakeNode:
    def __init__(self, world, name, domain, incarnation):
        self.name = VmId(name)
        location = VmLocation(
            self.name,
            FailureDomain(domain),
            region_of(domain),
        )
        now = asyncio.get_running_loop().time()
        own = Report(location, f'{name}:1', Incarnation(incarnation))
        self.members = Members(own, now)
        self.diverged = []
        self.local_records = LocalRecords(self.diverged.append)
        self.fleet = FleetMembership(
            self.members,
            self.local_records,
            MemoryPeers(world.network, f'{name}:1'),
            region_of,
            lambda: Relay(
                world.store,
                self.local_records,
                self.fleet.record_store_answer,
            ).run(),
        )
        self.local_records.watch(self.put_in_force)
        world.network.listen(
            f'{name}:1',
            self.fleet.serve,
            partial(answer_fetch, self.local_records),
        )
        world.list_vm(location)
        self.task = asyncio.create_task(self.fleet.run(world.seeds(name)))

    def put_in_force(self, record):
        if record.key == CONFIGURATION_KEY:
            self.fleet.announce_revision(Revision(record.version.major))

    def states(self):
        return {
            vm: member.state.value for vm, member in self.members.others.items()
        }


class FakeWorld:
    def __init__(self):
        self.network = MemoryNetwork()
        self.store = MemoryStore()
        self.nodes = {}
        self.starts = 0

    def seeds(self, name):
        return [f'{other}:1' for other in self.nodes if other != name][:2]

    def start(self, name, domain='punjab-1'):
        self.starts += 1
        self.nodes[name] = FakeNode(self, name, domain, self.starts)

    async def kill(self, name):
        node = self.nodes.pop(name)
        self.network.kill(f'{name}:1')
        node.task.cancel()
        await asyncio.gather(node.task, return_exceptions=True)

    async def stop(self):
        for name in list(self.nodes):
            await self.kill(name)

    def list_vm(self, location):
        host, _, port = location.vm.partition(':')
        entry = records_pb2.PlatformEntry(
            name=location.vm,
            failure_domain=location.failure_domain,
            host=host,
            port=int(port or 1),
        )
        self.store.put(f'{VMS_PREFIX}{location.vm}', entry.SerializeToString())

    def accept(self, revision, base='base'):
        record = records_pb2.ConfigurationRecord(revision=revision, base=base)
        self.store.put(CONFIGURATION_KEY, record.SerializeToString())

    def partition(self, some, others):
        for one in some:
            for other in others:
                self.network.cut(f'{one}:1', f'{other}:1')
                self.network.cut(f'{other}:1', f'{one}:1')

    def revisions(self):
        return {node.local_records.revision for node in self.nodes.values()}

    def states_at_others(self, name):
        return {
            node.members.others[name].state
            for node in self.nodes.values()
            if node.name != name and name in node.members.others
        }

    def all_in_touch(self):
        now = asyncio.get_running_loop().time()
        return all(
            node.members.has_majority(now) for node in self.nodes.values()
        )

    def all_live(self):
        return all(
            node.states().get(VmId(name)) == MemberState.LIVE.value
            for node in self.nodes.values()
            for name in self.nodes
            if name != node.name
        )


async def wait_until_true(condition, seconds):
    """Waits under virtual time; returns the seconds that it took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while not condition():
        if loop.time() - began > seconds:
            raise AssertionError(f'not within {seconds} s')
        await asyncio.sleep(0.01)
    return loop.time() - began


async def five_nodes():
    world = FakeWorld()
    for number in range(5):
        world.start(f'vm{number}', f'punjab-{number % 4}')
    await wait_until_true(world.all_live, 5)
    return world
