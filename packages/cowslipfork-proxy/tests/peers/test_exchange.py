import asyncio
from functools import partial

import grpc
import pytest

from cowslipfork.ids import FailureDomain, Incarnation, RegionName, VmId
from cowslipfork.membership.fleet import FleetMembership
from cowslipfork.membership.member import GoneProof, MemberState, Report
from cowslipfork.membership.members import Members
from cowslipfork.membership.port import PeerRefused, PeerUnavailable
from cowslipfork.membership.rendezvous import VmLocation
from cowslipfork.record_sync import LocalRecords, read_record
from cowslipfork.record_sync.fetch import answer_fetch
from cowslipfork.record_sync.record import CONFIGURATION_KEY
from cowslipfork.wire import node_pb2, node_pb2_grpc, records_pb2
from cowslipfork_proxy.peers import GrpcPeers, MembershipService

HOME = RegionName('punjab')


async def no_relay():
    await asyncio.Event().wait()


async def no_probe(request):
    return node_pb2.ProbeReply()


class Node:
    """A node's control loops behind a real gRPC server."""

    async def start(self, name, seeds=()):
        self.server = grpc.aio.server()
        port = self.server.add_insecure_port('127.0.0.1:0')
        self.address = f'127.0.0.1:{port}'
        location = VmLocation(VmId(name), FailureDomain('d1'), HOME)
        now = asyncio.get_running_loop().time()
        self.members = Members(
            Report(location, self.address, Incarnation(1)),
            now,
        )
        self.local_records = LocalRecords(print)
        self.fleet = FleetMembership(
            self.members,
            self.local_records,
            GrpcPeers(grpc.aio.insecure_channel),
            lambda domain: HOME,
            no_relay,
        )
        service = MembershipService(
            self.fleet.serve,
            partial(answer_fetch, self.local_records),
            no_probe,
        )
        node_pb2_grpc.add_MembershipServicer_to_server(service, self.server)
        await self.server.start()
        self.task = asyncio.create_task(self.fleet.run(seeds))
        return self

    async def stop(self):
        # No more connections are accepted before the streams break.
        await self.server.stop(0)
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


async def until(condition):
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError


def accept(node, revision):
    content = records_pb2.ConfigurationRecord(revision=revision)
    node.local_records.apply(
        read_record(CONFIGURATION_KEY, content.SerializeToString(), 0),
    )


async def test_nodes_meet_spread_a_change_and_see_an_end():
    first = await Node().start('a')
    second = await Node().start('b', [first.address])
    third = await Node().start('c', [first.address])
    nodes = (first, second, third)
    async with asyncio.timeout(20):
        await until(
            lambda: all(len(node.fleet.linked_peers) == 2 for node in nodes)
        )
        accept(third, 7)
        await until(
            lambda: all(node.local_records.revision == 7 for node in nodes)
        )
        await second.stop()
        await until(
            lambda: all(
                node.members.others['b'].state is MemberState.GONE
                for node in (first, third)
            ),
        )
    proofs = {node.members.others['b'].report.proof for node in (first, third)}
    assert proofs == {GoneProof.REFUSED}
    await asyncio.gather(first.stop(), third.stop())


async def test_calls_to_an_ended_process_have_typed_failures():
    node = await Node().start('a')
    await node.stop()
    peers = GrpcPeers(grpc.aio.insecure_channel)
    with pytest.raises(PeerRefused):
        await peers.try_connect(node.address)
    with pytest.raises(PeerUnavailable):
        await peers.fetch(node.address, node_pb2.FetchRequest())
