import os
from contextlib import asynccontextmanager

import grpc
import pytest

from cowslipfork.wire import node_pb2, node_pb2_grpc
from cowslipfork_proxy.administration.peer_secret import (
    PeerSecretCheck,
    read_secrets,
    secret_interceptors,
)


class Membership(node_pb2_grpc.MembershipServicer):
    async def Probe(self, request, context):
        return node_pb2.ProbeReply(result=node_pb2.PROBE_RESULT_REACHED)

    async def Exchange(self, requests, context):
        async for heartbeat in requests:
            yield heartbeat


@asynccontextmanager
async def serving(known, shown):
    server = grpc.aio.server(interceptors=[PeerSecretCheck(lambda: known)])
    node_pb2_grpc.add_MembershipServicer_to_server(Membership(), server)
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    address = f'127.0.0.1:{port}'
    try:
        async with grpc.aio.insecure_channel(
            address,
            interceptors=secret_interceptors(lambda: shown),
        ) as channel:
            yield node_pb2_grpc.MembershipStub(channel)
    finally:
        await server.stop(None)


async def _probe(stub):
    await stub.Probe(node_pb2.ProbeRequest())


async def _stream(stub):
    stream = stub.Exchange(iter([node_pb2.Heartbeat(sender='a')]))
    assert [beat.sender async for beat in stream] == ['a']


@pytest.mark.parametrize('call', [_probe, _stream])
@pytest.mark.parametrize(
    ('known', 'shown', 'let_in'),
    [
        (['old'], ['old'], True),
        (['old', 'new'], ['new', 'old'], True),
        (['new', 'old'], ['old', 'new'], True),
        (['new'], ['old'], False),
        (['new'], [], False),
        ([], ['old'], False),
    ],
)
async def test_secrets(call, known, shown, let_in):
    async with serving(known, shown) as stub:
        if let_in:
            await call(stub)
        else:
            with pytest.raises(grpc.aio.AioRpcError) as raised:
                await call(stub)
            assert raised.value.code() is grpc.StatusCode.UNAUTHENTICATED


def test_a_replaced_file_is_read_again(tmp_path):
    path = tmp_path / 'secrets'
    secrets = read_secrets(path)
    assert not secrets()
    path.write_text('old\n')
    assert secrets() == ('old',)
    path.write_text('old\nnew\n')
    os.utime(path, ns=(1, 1))
    assert secrets() == ('old', 'new')
    path.unlink()
    assert secrets() == ('old', 'new')
