"""An in-memory network with settable faults, for tests and measurements."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from cowslipfork.membership.port import PeerRefused, PeerStream, PeerUnavailable
from cowslipfork.wire import node_pb2

#: Seconds until a call to a node that does not answer gives up.
CALL_TIMEOUT = 0.5

Serve = Callable[[PeerStream], Awaitable[None]]
Answer = Callable[[node_pb2.FetchRequest], node_pb2.FetchReply]


@dataclass(frozen=True, slots=True)
class _Listener:
    serve: Serve
    answer: Answer


class MemoryStream:
    """One end of a stream between two addresses."""

    def __init__(self, network: MemoryNetwork, source: str, sink: str) -> None:
        """Opens an end; ``join`` completes the stream.

        Args:
            network: carries the messages.
            source: address of this end.
            sink: address of the other end.
        """
        self._network = network
        self._ends = (source, sink)
        self._inbox: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._other: MemoryStream = self
        self._ended = False

    def join(self, other: MemoryStream) -> None:
        """Connects two ends.

        Args:
            other: the end at the other address.
        """
        self._other = other

    def end(self) -> None:
        """Breaks this end, as a reset does."""
        self._ended = True
        self._inbox.put_nowait(None)

    def deliver(self, content: bytes) -> None:
        """Takes in a message from the other end.

        Args:
            content: serialized heartbeat.
        """
        self._inbox.put_nowait(content)

    async def send(self, heartbeat: node_pb2.Heartbeat) -> None:
        """Sends a heartbeat, unless the way is cut."""
        if self._ended:
            raise PeerUnavailable(self._ends[1], 'stream ended')
        content = heartbeat.SerializeToString()
        if self._network.carry(*self._ends, len(content)):
            self._other.deliver(content)

    async def receive(self) -> node_pb2.Heartbeat:
        """Waits for the next heartbeat."""
        content = await self._inbox.get()
        if content is None:
            raise PeerUnavailable(self._ends[1], 'stream ended')
        return node_pb2.Heartbeat.FromString(content)

    async def close(self) -> None:
        """Ends the stream; over a cut way the other end learns nothing."""
        if self._ended:
            return
        self.end()
        if self._network.passes(*self._ends):
            self._other.end()


class MemoryNetwork:
    """Nodes by address, and the faults between them."""

    def __init__(self) -> None:
        """Starts without nodes and faults."""
        self._listeners: dict[str, _Listener] = {}
        self._streams: dict[str, set[MemoryStream]] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._messages: Counter[str] = Counter()
        self._bytes: Counter[str] = Counter()
        self._fetched: Counter[str] = Counter()

    @property
    def messages(self) -> Counter[str]:
        """Heartbeats sent, by address of the sender."""
        return self._messages

    @property
    def sent_bytes(self) -> Counter[str]:
        """Bytes sent, by address of the sender."""
        return self._bytes

    @property
    def fetches(self) -> Counter[str]:
        """Fetches, by address of the asker."""
        return self._fetched

    def listen(self, address: str, serve: Serve, answer: Answer) -> None:
        """Lets a node be reached.

        Args:
            address: of the node.
            serve: holds a stream that another node has opened.
            answer: answers a fetch.
        """
        self._listeners[address] = _Listener(serve, answer)

    def kill(self, address: str) -> None:
        """Ends a process: its streams break, its address refuses.

        Args:
            address: of the node.
        """
        self._listeners.pop(address, None)
        for stream in self._streams.pop(address, set()):
            stream.end()

    def cut(self, source: str, sink: str) -> None:
        """Drops what one address sends to another.

        Args:
            source: address of the sender.
            sink: address of the receiver.
        """
        self._cuts.add((source, sink))

    def heal(self) -> None:
        """Ends all cuts."""
        self._cuts.clear()

    def passes(self, source: str, sink: str) -> bool:
        """Tells whether messages go through.

        Args:
            source: address of the sender.
            sink: address of the receiver.

        Returns:
            Whether the way is not cut.
        """
        return (source, sink) not in self._cuts

    def carry(self, source: str, sink: str, size: int) -> bool:
        """Counts a message.

        Args:
            source: address of the sender.
            sink: address of the receiver.
            size: bytes.

        Returns:
            Whether it arrives.
        """
        self._messages[source] += 1
        self._bytes[source] += size
        return self.passes(source, sink)

    async def reach(self, source: str, sink: str) -> _Listener:
        """Connects to an address.

        Args:
            source: address of the caller.
            sink: address of the callee.

        Returns:
            The listening node.

        Raises:
            PeerRefused: no process listens.
            PeerUnavailable: the way there or back is cut.
        """
        if not (self.passes(source, sink) and self.passes(sink, source)):
            await asyncio.sleep(CALL_TIMEOUT)
            raise PeerUnavailable(sink, 'no answer in time')
        listener = self._listeners.get(sink)
        if listener is None:
            raise PeerRefused(sink, 'connection refused')
        return listener

    async def open(self, source: str, sink: str) -> MemoryStream:
        """Opens a stream.

        Args:
            source: address of the caller.
            sink: address of the callee.

        Returns:
            The caller's end.
        """
        listener = await self.reach(source, sink)
        near = MemoryStream(self, source, sink)
        far = MemoryStream(self, sink, source)
        near.join(far)
        far.join(near)
        for end in (source, sink):
            self._streams.setdefault(end, set()).update((near, far))
        task = asyncio.ensure_future(listener.serve(far))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)
        return near


class MemoryPeers:
    """``Peers`` of one address over the in-memory network."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        """Remembers who calls.

        Args:
            network: carries the calls.
            address: of the calling node.
        """
        self._network = network
        self._address = address

    async def exchange(self, address: str) -> PeerStream:
        """Opens a stream of heartbeats."""
        return await self._network.open(self._address, address)

    async def try_connect(self, address: str) -> None:
        """Opens a fresh connection and closes it."""
        await self._network.reach(self._address, address)

    async def fetch(
        self,
        address: str,
        request: node_pb2.FetchRequest,
    ) -> node_pb2.FetchReply:
        """Asks for records that differ."""
        listener = await self._network.reach(self._address, address)
        self._network.fetches[self._address] += 1
        reply = listener.answer(request)
        self._network.sent_bytes[address] += reply.ByteSize()
        return reply
