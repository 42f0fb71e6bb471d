"""A network of streams between nodes, in memory and under virtual time."""

from __future__ import annotations

import asyncio
from collections import deque
from functools import partial

from cowslipfork_direct.peers import PeerClient, PeerServer
from cowslipfork_direct.relay import Address, Relay

#: Seconds between two attempts to deliver what a fault holds back.
POLL_INTERVAL = 0.01


def address_of(node):
    """Returns the address at which a node listens: its name is the host."""
    return Address(node, 1)


class StreamNetwork:
    """Connects nodes; tests change its sets to inject faults.

    Bytes that a fault holds back are delivered once it has ended, as TCP does.
    """

    def __init__(self, delay, is_partitioned=lambda one, other: False):
        #: Seconds in one direction.
        self.delay = delay
        #: Pairs (from, to) of nodes; nothing is delivered in that direction.
        self.blocked = set()
        #: Nodes that neither send nor receive, though their kernels accept
        #: connections.
        self.frozen = set()
        #: Numbers of calls of ``write`` by (from, to).
        self.writes = {}
        #: Numbers of connections opened by (from, to).
        self.dials = {}
        self._is_partitioned = is_partitioned
        self._serve = {}
        self._connections = []
        self._tasks = set()

    def listen(self, node, serve):
        """Serves connections to a node with ``serve(reader, writer)``."""
        self._serve[node] = serve

    def dialer(self, source):
        """Returns the function that opens connections from a node."""
        return partial(self._dial, source)

    def client(self, node, find=address_of):
        """Returns a new client of a node."""
        return PeerClient(node, find, self.dialer(node))

    def server(self, node):
        """Returns a new server of a node, which listens."""
        server = PeerServer(node)
        self.listen(node, Relay(tuple, server.serve).serve)
        return server

    def block_both(self, one, other):
        self.blocked |= {(one, other), (other, one)}

    def kill(self, node):
        """Ends a process: its connections are reset, it accepts no more."""
        self._serve.pop(node, None)
        for connection in tuple(self._connections):
            if node in connection.ends:
                connection.reset(node)
                self._connections.remove(connection)

    def holds_back(self, source, target):
        """Returns whether nothing is delivered in a direction now."""
        return bool({source, target} & self.frozen) or self._cut(source, target)

    def _cut(self, source, target):
        return (source, target) in self.blocked or self._is_partitioned(
            source, target
        )

    async def _dial(self, source, address):
        target = address.host
        await asyncio.sleep(2 * self.delay)
        if self._cut(source, target) or self._cut(target, source):
            await asyncio.Event().wait()
        if target not in self._serve:
            raise ConnectionRefusedError(f'{target} does not listen')
        self.dials[source, target] = self.dials.get((source, target), 0) + 1
        connection = _Connection(self, source, target)
        self._connections.append(connection)
        task = asyncio.create_task(
            self._serve[target](*connection.streams(target))
        )
        connection.serving = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection.streams(source)


class _Connection:
    def __init__(self, network, source, target):
        self.ends = (source, target)
        self.serving = None
        readers = {
            source: asyncio.StreamReader(),
            target: asyncio.StreamReader(),
        }
        to_target = _Pipe(network, source, target, readers[target])
        to_source = _Pipe(network, target, source, readers[source])
        self._streams = {
            source: (readers[source], FakeWriter(to_target, readers[source])),
            target: (readers[target], FakeWriter(to_source, readers[target])),
        }

    def streams(self, node):
        return self._streams[node]

    def reset(self, killed):
        """Ends both directions; the killed node's server stops."""
        if killed == self.ends[1]:
            self.serving.cancel()
        reader, writer = self._streams[killed]
        writer.reset()
        reader.feed_eof()


class _Pipe:
    """One direction of a connection, in order and without loss."""

    def __init__(self, network, source, target, reader):
        self._network = network
        self._ends = (source, target)
        self._reader = reader
        self._items = deque()
        self._loop = asyncio.get_running_loop()

    @property
    def waiting(self):
        return sum(len(item) for item in self._items if item)

    def send(self, item):
        """Delivers bytes, an end (b'') or a reset (None) after the delay."""
        writes = self._network.writes
        writes[self._ends] = writes.get(self._ends, 0) + 1
        self._items.append(item)
        self._loop.call_later(self._network.delay, self._deliver)

    def _deliver(self):
        if self._network.holds_back(*self._ends):
            self._loop.call_later(POLL_INTERVAL, self._deliver)
            return
        item = self._items.popleft()
        if item is None:
            self._reader.set_exception(ConnectionResetError('reset'))
        elif item:
            self._reader.feed_data(item)
        else:
            self._reader.feed_eof()


class FakeWriter:
    """The part of ``StreamWriter`` and its transport that nodes use."""

    def __init__(self, pipe, reader):
        self._pipe = pipe
        self._reader = reader
        self._closed = False

    @property
    def transport(self):
        return self

    def write(self, chunk):
        if chunk and not self._closed:
            self._pipe.send(bytes(chunk))

    def writelines(self, chunks):
        self.write(b''.join(chunks))

    async def drain(self):
        await asyncio.sleep(0)

    def is_closing(self):
        return self._closed

    def close(self):
        if not self._closed:
            self._closed = True
            self._pipe.send(b'')
            self._reader.feed_eof()

    abort = close

    def reset(self):
        if not self._closed:
            self._closed = True
            self._pipe.send(None)

    async def wait_closed(self):
        await asyncio.sleep(0)

    def get_write_buffer_size(self):
        return self._pipe.waiting
