"""Other nodes over gRPC, as the control loops see them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

import grpc

from cowslipfork.membership.port import PeerRefused, PeerStream, PeerUnavailable
from cowslipfork.wire import node_pb2, node_pb2_grpc

#: Seconds for a fresh connection.
CONNECT_TIMEOUT: Final = 0.5

#: Seconds for an answer to a fetch.
FETCH_TIMEOUT: Final = 3.0

#: What gRPC raises when a stream has ended.
_ENDED: Final = (grpc.RpcError, asyncio.InvalidStateError, grpc.aio.UsageError)

OpenChannel = Callable[[str], grpc.aio.Channel]


class ClientStream:
    """The dialling end of a stream of heartbeats."""

    def __init__(self, address: str, channel: grpc.aio.Channel) -> None:
        """Opens the stream.

        Args:
            address: ``host:port`` of the node.
            channel: fresh channel to it, closed with the stream.
        """
        self._address = address
        self._channel = channel
        stub: Any = node_pb2_grpc.MembershipStub(channel)
        self._call = stub.Exchange()

    async def send(self, heartbeat: node_pb2.Heartbeat) -> None:
        """Sends a heartbeat."""
        try:
            await self._call.write(heartbeat)
        except _ENDED as error:
            raise PeerUnavailable(self._address, _cause(error)) from error

    async def receive(self) -> node_pb2.Heartbeat:
        """Waits for the next heartbeat."""
        try:
            heartbeat = await self._call.read()
        except _ENDED as error:
            raise PeerUnavailable(self._address, _cause(error)) from error
        if heartbeat is grpc.aio.EOF:
            raise PeerUnavailable(self._address, 'stream ended')
        return heartbeat

    async def close(self) -> None:
        """Ends the stream and its connection."""
        self._call.cancel()
        await self._channel.close()


class GrpcPeers:
    """``Peers`` over gRPC."""

    def __init__(self, open_channel: OpenChannel) -> None:
        """Remembers how to connect.

        Args:
            open_channel: opens a fresh channel to ``host:port``.
        """
        self._open_channel = open_channel

    async def exchange(self, address: str) -> PeerStream:
        """Opens a stream of heartbeats on a fresh connection."""
        await self.try_connect(address)
        return ClientStream(address, self._open_channel(address))

    async def try_connect(self, address: str) -> None:
        """Opens a fresh connection and closes it."""
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError as error:
            raise PeerRefused(address, str(error)) from error
        except OSError as error:
            raise PeerUnavailable(address, str(error)) from error
        writer.close()

    async def fetch(
        self,
        address: str,
        request: node_pb2.FetchRequest,
    ) -> node_pb2.FetchReply:
        """Asks for records that differ."""
        async with self._open_channel(address) as channel:
            stub: Any = node_pb2_grpc.MembershipStub(channel)
            try:
                return await stub.Fetch(request, timeout=FETCH_TIMEOUT)
            except grpc.aio.AioRpcError as error:
                raise PeerUnavailable(address, _cause(error)) from error


def _cause(error: BaseException) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        return f'{error.code().name} {error.details()}'
    return str(error)
