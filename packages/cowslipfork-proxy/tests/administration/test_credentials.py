"""Certificates replaced under a running server; the keys serve tests only."""

import shutil
from contextlib import asynccontextmanager
from pathlib import Path

import grpc
import pytest

from cowslipfork.wire import node_pb2, node_pb2_grpc
from cowslipfork_proxy.administration.credentials import (
    channel_credentials,
    server_credentials,
)

PAIRS = Path(__file__).parent / 'certificates'


class Membership(node_pb2_grpc.MembershipServicer):
    async def Probe(self, request, context):
        return node_pb2.ProbeReply(result=node_pb2.PROBE_RESULT_REACHED)


def put(folder, name, *suffixes):
    for suffix in suffixes:
        shutil.copy(PAIRS / f'{name}.{suffix}', folder / f'node.{suffix}')


@asynccontextmanager
async def serving(folder):
    server = grpc.aio.server()
    node_pb2_grpc.add_MembershipServicer_to_server(Membership(), server)
    credentials = server_credentials(folder / 'node.crt', folder / 'node.key')
    port = server.add_secure_port('127.0.0.1:0', credentials)
    await server.start()
    try:
        yield f'127.0.0.1:{port}'
    finally:
        await server.stop(None)


def connect(address, name):
    # Channels of one process share connections unless told not to.
    return grpc.aio.secure_channel(
        address,
        channel_credentials(PAIRS / f'{name}.crt'),
        options=[('grpc.use_local_subchannel_pool', 1)],
    )


async def trusts(address, name):
    async with connect(address, name) as channel:
        return await probe(channel)


async def probe(channel):
    stub = node_pb2_grpc.MembershipStub(channel)
    try:
        await stub.Probe(node_pb2.ProbeRequest(), timeout=10)
    except grpc.aio.AioRpcError as error:
        assert error.code() is grpc.StatusCode.UNAVAILABLE
        return False
    return True


@pytest.fixture
def folder(tmp_path):
    put(tmp_path, 'first', 'crt', 'key')
    return tmp_path


async def test_new_connections_see_the_new_certificate(folder):
    async with (
        serving(folder) as address,
        connect(address, 'first') as kept,
    ):
        assert await probe(kept)
        put(folder, 'second', 'crt', 'key')
        assert await trusts(address, 'second')
        assert not await trusts(address, 'first')
        assert await probe(kept)


@pytest.mark.parametrize('suffix', ['crt', 'key'])
async def test_half_a_replacement_changes_nothing(folder, suffix, caplog):
    async with serving(folder) as address:
        put(folder, 'second', suffix)
        assert await trusts(address, 'first')
        assert 'certificate unusable' in caplog.messages
        put(folder, 'second', 'crt', 'key')
        assert await trusts(address, 'second')


async def test_a_renewed_certificate_of_the_same_key_is_taken(folder):
    async with serving(folder) as address:
        put(folder, 'renewed', 'crt')
        assert await trusts(address, 'renewed')


async def test_a_missing_file_changes_nothing(folder):
    async with serving(folder) as address:
        (folder / 'node.key').unlink()
        assert await trusts(address, 'first')
