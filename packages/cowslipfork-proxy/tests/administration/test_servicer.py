import hashlib
from contextlib import asynccontextmanager

import grpc
import pytest

from cowslipfork.changes import (
    ConfigurationHistory,
    new_change_id,
)
from cowslipfork.changes.records import CURRENT_KEY
from cowslipfork.configuration import (
    Configuration,
    parse_configuration,
)
from cowslipfork.ids import SiteName, VmId
from cowslipfork.store.memory import Fault, MemoryStore
from cowslipfork.wire import admin_pb2, admin_pb2_grpc
from cowslipfork_proxy.administration import AdminDependencies, AdminService

BASE = """
[operator ada]
token_hash = {ada}
role = operator
[operator screen]
token_hash = {screen}
role = viewer
"""
OVERLAY = '[site]\nregion = punjab\nfailure_domains = lahore-a\n'
HASHES = {
    name: hashlib.sha256(name.encode()).hexdigest()
    for name in ('ada', 'screen', 'first')
}


class Node:
    """A node that puts in force what its store holds, when told to."""

    def __init__(self, vm):
        self.vm = VmId(vm)
        self.store = MemoryStore()
        self.changes = ConfigurationHistory(self.store, lambda: 7)
        self.configuration = None
        self.drained = 0
        self.others = {}

    async def refresh(self):
        record = await self.changes.current()
        self.configuration = parse_configuration(
            record.base,
            record.overlays['punjab'],
            SiteName('punjab'),
        ).ok

    async def drain(self):
        self.drained += 1

    def admin_stub_for(self, vm):
        return self.others.get(vm)

    def parts(self):
        return AdminDependencies(
            self.vm,
            self.store,
            self.changes,
            lambda: self.configuration or Configuration(None),
            lambda: admin_pb2.StatusReply(vm='proxy-1', revision=4),
            self.drain,
            self.admin_stub_for,
            HASHES['first'],
        )


@asynccontextmanager
async def serving(vm='proxy-1'):
    node = Node(vm)
    server = grpc.aio.server()
    admin_pb2_grpc.add_AdminServicer_to_server(
        AdminService(node.parts()),
        server,
    )
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    try:
        async with grpc.aio.insecure_channel(f'127.0.0.1:{port}') as channel:
            yield node, admin_pb2_grpc.AdminStub(channel)
    finally:
        await server.stop(None)


@pytest.fixture
async def served():
    async with serving() as node_and_stub:
        yield node_and_stub


def as_(name):
    return {'metadata': (('authorization', f'Bearer {name}'),)}


def change(expected=0, base=BASE, **fields):
    return admin_pb2.AcceptRequest(
        expected_revision=expected,
        base=base.format(**HASHES),
        overlays={'punjab': OVERLAY},
        reason='why not',
        change_id=fields.get('change_id', new_change_id(expected)),
    )


CALLS = {
    'Accept': change(1),
    'Current': admin_pb2.CurrentRequest(),
    'History': admin_pb2.HistoryRequest(),
    'Status': admin_pb2.StatusRequest(),
    'Drain': admin_pb2.DrainRequest(),
}
OK = None
UNKNOWN = grpc.StatusCode.UNAUTHENTICATED
DENIED = grpc.StatusCode.PERMISSION_DENIED


@pytest.mark.parametrize(
    ('call', 'nobody', 'first', 'viewer', 'operator'),
    [
        ('Accept', UNKNOWN, DENIED, DENIED, OK),
        ('Current', UNKNOWN, DENIED, OK, OK),
        ('History', UNKNOWN, DENIED, OK, OK),
        ('Status', UNKNOWN, OK, OK, OK),
        ('Drain', UNKNOWN, DENIED, DENIED, OK),
    ],
)
async def test_roles(served, call, nobody, first, viewer, operator):
    node, stub = served
    await stub.Accept(change(), **as_('first'))
    await node.refresh()
    method = getattr(stub, call)
    seen = {}
    for name in ('', 'stranger', 'first', 'screen', 'ada'):
        try:
            await method(CALLS[call], **(as_(name) if name else {}))
            seen[name] = OK
        except grpc.aio.AioRpcError as error:
            seen[name] = error.code()
    assert seen == {
        '': nobody,
        'stranger': nobody,
        'first': first,
        'screen': viewer,
        'ada': operator,
    }


@pytest.mark.parametrize(
    ('call', 'request_', 'code'),
    [
        ('Accept', change(3), DENIED),
        ('Current', admin_pb2.CurrentRequest(), DENIED),
        ('Drain', admin_pb2.DrainRequest(), DENIED),
    ],
)
async def test_the_first_credential_only_accepts_the_first(
    served,
    call,
    request_,
    code,
):
    _, stub = served
    with pytest.raises(grpc.aio.AioRpcError) as raised:
        await getattr(stub, call)(request_, **as_('first'))
    assert raised.value.code() is code


async def test_accept_answers_by_type(served):
    node, stub = served
    first = change()
    reply = await stub.Accept(first, **as_('first'))
    assert (reply.accepted_revision, reply.repeated) == (1, False)
    reply = await stub.Accept(first, **as_('first'))
    assert (reply.accepted_revision, reply.repeated) == (1, True)
    await node.refresh()
    reply = await stub.Accept(change(), **as_('ada'))
    assert reply.conflict.current_revision == 1
    assert reply.conflict.operator == 'bootstrap'
    assert HASHES['ada'] not in reply.conflict.difference
    reply = await stub.Accept(change(1, f'{BASE}\n[limit]'), **as_('ada'))
    assert reply.problems.problems[0].kind == 'unknown_section'
    node.store.fail(Fault.DOWN)
    reply = await stub.Accept(change(1), **as_('ada'))
    assert reply.unavailable.retry_after_ms > 0
    node.store.heal()
    node.store.fail_once(Fault.LATE_WRITE)
    reply = await stub.Accept(change(1), **as_('ada'))
    assert reply.unavailable.may_have_landed
    history = await stub.History(admin_pb2.HistoryRequest(), **as_('screen'))
    assert [record.operator for record in history.records] == ['bootstrap']


async def test_viewers_see_no_secrets(served):
    node, stub = served
    await stub.Accept(change(), **as_('first'))
    await node.refresh()
    request = admin_pb2.CurrentRequest(revision=1)
    assert HASHES['ada'] in (await stub.Current(request, **as_('ada'))).base
    shown = await stub.Current(request, **as_('screen'))
    assert HASHES['ada'] not in shown.base
    assert '[operator ada]' in shown.base


@pytest.mark.parametrize(
    ('call', 'request_', 'break_store', 'code'),
    [
        (
            'Current',
            admin_pb2.CurrentRequest(revision=9),
            lambda store: None,
            grpc.StatusCode.NOT_FOUND,
        ),
        (
            'Current',
            admin_pb2.CurrentRequest(),
            lambda store: store.fail(Fault.DOWN),
            grpc.StatusCode.UNAVAILABLE,
        ),
        (
            'History',
            admin_pb2.HistoryRequest(),
            lambda store: store.put(CURRENT_KEY, b'\xff'),
            grpc.StatusCode.DATA_LOSS,
        ),
        (
            'Drain',
            admin_pb2.DrainRequest(vm='nowhere'),
            lambda store: None,
            grpc.StatusCode.NOT_FOUND,
        ),
    ],
)
async def test_failures_have_their_status(
    served,
    call,
    request_,
    break_store,
    code,
):
    node, stub = served
    await stub.Accept(change(), **as_('first'))
    await node.refresh()
    break_store(node.store)
    with pytest.raises(grpc.aio.AioRpcError) as raised:
        await getattr(stub, call)(request_, **as_('ada'))
    assert raised.value.code() is code


async def test_a_drain_without_a_name_is_the_nodes_own(served):
    node, stub = served
    await stub.Accept(change(), **as_('first'))
    await node.refresh()
    await stub.Drain(admin_pb2.DrainRequest(), **as_('ada'))
    assert node.drained == 1


async def test_a_drain_of_another_vm_is_passed_on_with_its_credential(served):
    node, stub = served
    await stub.Accept(change(), **as_('first'))
    await node.refresh()
    request = admin_pb2.DrainRequest(vm='proxy-2')
    async with serving('proxy-2') as (other, other_stub):
        other.configuration = node.configuration
        node.others['proxy-2'] = other_stub
        await stub.Drain(request, **as_('ada'))
        assert (node.drained, other.drained) == (0, 1)


async def test_a_drain_of_a_silent_vm_is_told(served, unused_tcp_port):
    node, stub = served
    await stub.Accept(change(), **as_('first'))
    await node.refresh()
    nobody = f'127.0.0.1:{unused_tcp_port}'
    async with grpc.aio.insecure_channel(nobody) as channel:
        node.others['proxy-2'] = admin_pb2_grpc.AdminStub(channel)
        with pytest.raises(grpc.aio.AioRpcError) as raised:
            request = admin_pb2.DrainRequest(vm='proxy-2')
            await stub.Drain(request, **as_('ada'))
    assert raised.value.code() is grpc.StatusCode.UNAVAILABLE
    assert 'VM proxy-2' in raised.value.details()
