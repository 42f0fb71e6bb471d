"""Two nodes reach each other with their secret, over TLS or without."""

from dataclasses import replace
from pathlib import Path

import grpc
import pytest

from cowslipfork.configuration import node_settings
from cowslipfork.wire import node_pb2, node_pb2_grpc
from cowslipfork_proxy.administration import peer_channel, peer_server

PAIRS = Path(__file__).parent / 'certificates'
SAMPLE = Path(__file__).parents[4] / 'samples' / 'hilal' / 'node.ini'
TLS = {
    'peer_certificate': str(PAIRS / 'first.crt'),
    'peer_key': str(PAIRS / 'first.key'),
    'peer_authority': str(PAIRS / 'first.crt'),
}


class Membership(node_pb2_grpc.MembershipServicer):
    async def Probe(self, request, context):
        return node_pb2.ProbeReply(result=node_pb2.PROBE_RESULT_REACHED)


@pytest.fixture
def settings(tmp_path):
    secrets = tmp_path / 'secrets'
    secrets.write_text('known\n')
    sample = node_settings(SAMPLE.read_text()).ok
    return replace(
        sample,
        host='127.0.0.1',
        peer_port=0,
        peer_secret_file=str(secrets),
    )


@pytest.fixture
async def serve():
    """Serves the peer port of some settings until the test ends."""
    servers = []

    async def start(settings):
        server = peer_server(settings)
        node_pb2_grpc.add_MembershipServicer_to_server(Membership(), server)
        servers.append(server)
        await server.start()

    yield start
    for server in servers:
        await server.stop(None)


@pytest.mark.parametrize('tls', [{}, TLS])
@pytest.mark.parametrize('shown', [True, False])
async def test_nodes_need_the_secret(
    settings,
    serve,
    tls,
    shown,
    unused_tcp_port,
):
    settings = replace(settings, peer_port=unused_tcp_port, **tls)
    await serve(settings)
    own = settings if shown else replace(settings, peer_secret_file='')
    address = f'127.0.0.1:{unused_tcp_port}'
    async with peer_channel(own, address) as channel:
        call = node_pb2_grpc.MembershipStub(channel).Probe
        if shown:
            await call(node_pb2.ProbeRequest())
        else:
            with pytest.raises(grpc.aio.AioRpcError) as raised:
                await call(node_pb2.ProbeRequest())
            assert raised.value.code() is grpc.StatusCode.UNAUTHENTICATED
