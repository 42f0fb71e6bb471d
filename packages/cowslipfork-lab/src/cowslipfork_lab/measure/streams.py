"""Cost of a heartbeat over a real gRPC stream."""

from __future__ import annotations

import asyncio
import time
from typing import Final

import grpc

from cowslipfork.membership.port import PeerStream, PeerUnavailable
from cowslipfork.wire import node_pb2, node_pb2_grpc
from cowslipfork_proxy.peers import GrpcPeers, MembershipService

#: Heartbeats a second in each direction; a node's streams have pauses too.
_RATE: Final = 200

_SECONDS: Final = 5
_MS: Final = 1000


async def measure_stream(size: int) -> float:
    """Measures a heartbeat sent and one received.

    Both ends of the stream are in this process, over a socket.

    Args:
        size: bytes of a heartbeat.

    Returns:
        Milliseconds of processor time for a heartbeat sent and one received.
    """
    server = grpc.aio.server()
    port = server.add_insecure_port('127.0.0.1:0')
    service = MembershipService(_swallow, _no_fetch, _no_probe)
    node_pb2_grpc.add_MembershipServicer_to_server(service, server)
    await server.start()
    peers = GrpcPeers(grpc.aio.insecure_channel)
    stream = await peers.exchange(f'127.0.0.1:{port}')
    heartbeat = node_pb2.Heartbeat(sender='x' * size)
    await stream.send(heartbeat)
    idle = await _spent(None, heartbeat)
    busy = await _spent(stream, heartbeat)
    await stream.close()
    await server.stop(0)
    return _MS * (busy - idle) / (_RATE * _SECONDS)


async def _spent(
    stream: PeerStream | None,
    heartbeat: node_pb2.Heartbeat,
) -> float:
    began = time.process_time()
    for _ in range(_RATE * _SECONDS):
        if stream is not None:
            await stream.send(heartbeat)
        await asyncio.sleep(1 / _RATE)
    return time.process_time() - began


async def _swallow(stream: PeerStream) -> None:
    try:
        while True:
            await stream.receive()
    except PeerUnavailable:
        return


def _no_fetch(request: node_pb2.FetchRequest) -> node_pb2.FetchReply:
    return node_pb2.FetchReply()


async def _no_probe(request: node_pb2.ProbeRequest) -> node_pb2.ProbeReply:
    return node_pb2.ProbeReply()
