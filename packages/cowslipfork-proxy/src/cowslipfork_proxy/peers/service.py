"""The node's answers to other nodes over gRPC."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeAlias

import grpc

from cowslipfork.membership.port import PeerStream, PeerUnavailable
from cowslipfork.wire import node_pb2, node_pb2_grpc

Serve: TypeAlias = Callable[[PeerStream], Awaitable[None]]
AnswerFetch: TypeAlias = Callable[
    [node_pb2.FetchRequest],
    node_pb2.FetchReply,
]
Probe: TypeAlias = Callable[
    [node_pb2.ProbeRequest],
    Awaitable[node_pb2.ProbeReply],
]


class ServerStream:
    """The accepting end of a stream of heartbeats."""

    def __init__(self, context: Any) -> None:
        """Takes over the stream of the handler that calls.

        Args:
            context: of gRPC.
        """
        self._context = context
        self._peer = str(context.peer())
        self._handler = asyncio.current_task()
        self._inbox: asyncio.Queue[node_pb2.Heartbeat | None] = asyncio.Queue()

    def deliver(self, heartbeat: node_pb2.Heartbeat | None) -> None:
        """Takes in what the handler has read.

        Args:
            heartbeat: as it was received; None at the stream's end.
        """
        self._inbox.put_nowait(heartbeat)

    async def send(self, heartbeat: node_pb2.Heartbeat) -> None:
        """Sends a heartbeat."""
        try:
            await self._context.write(heartbeat)
        except (grpc.RpcError, asyncio.InvalidStateError) as error:
            raise PeerUnavailable(self._peer, str(error)) from error

    async def receive(self) -> node_pb2.Heartbeat:
        """Waits for the next heartbeat."""
        heartbeat = await self._inbox.get()
        if heartbeat is None:
            raise PeerUnavailable(self._peer, 'stream ended')
        return heartbeat

    async def close(self) -> None:
        """Ends the stream."""
        self.deliver(None)
        if self._handler:
            self._handler.cancel()


class MembershipService(node_pb2_grpc.MembershipServicer):
    """Heartbeats, fetches and probes of other nodes."""

    def __init__(
        self,
        serve: Serve,
        answer: AnswerFetch,
        probe: Probe,
    ) -> None:
        """Remembers what answers.

        Args:
            serve: holds a link that another node has opened.
            answer: answers a fetch.
            probe: examines a primary.
        """
        self._serve = serve
        self._answer = answer
        self._probe = probe
        self._holding: set[asyncio.Future[None]] = set()

    async def Exchange(
        self,
        request_iterator: AsyncIterator[node_pb2.Heartbeat],
        context: Any,
    ) -> None:
        """Exchanges heartbeats until either end closes the stream.

        gRPC cancels this handler when the other process ends; the link's own
        task goes on to find out why.

        Args:
            request_iterator: the other node's heartbeats.
            context: of gRPC.
        """
        stream = ServerStream(context)
        holding = asyncio.ensure_future(self._serve(stream))
        self._holding.add(holding)
        holding.add_done_callback(self._holding.discard)
        try:
            async for heartbeat in request_iterator:
                stream.deliver(heartbeat)
        finally:
            stream.deliver(None)

    async def Fetch(
        self,
        request: node_pb2.FetchRequest,
        context: Any,
    ) -> node_pb2.FetchReply:
        """Gives records that another node lacks.

        Args:
            request: digests of what it holds.
            context: of gRPC.

        Returns:
            Records that differ, bounded.
        """
        return self._answer(request)

    async def Probe(
        self,
        request: node_pb2.ProbeRequest,
        context: Any,
    ) -> node_pb2.ProbeReply:
        """Examines a primary.

        Args:
            request: which endpoint, in which term.
            context: of gRPC.

        Returns:
            What was found.
        """
        return await self._probe(request)
