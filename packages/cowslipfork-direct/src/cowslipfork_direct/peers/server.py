"""Serves the requests of other nodes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from cowslipfork.ids import VmId
from cowslipfork_direct.peers.codec import MalformedLine, decode
from cowslipfork_direct.peers.messages import (
    PeerHello,
    PeerReply,
    PeerRequest,
)
from cowslipfork_direct.peers.served_link import (
    Handler,
    ServedLink,
    ServerCounts,
)
from cowslipfork_direct.peers.session import PeerSession

log = logging.getLogger(__name__)

#: Seconds for other nodes to receive replies that wait to be sent.
FLUSH_TIMEOUT: Final = 0.5

#: Seconds between two checks whether they have.
FLUSH_POLL_INTERVAL: Final = 0.01

_Request = TypeVar('_Request', bound=PeerRequest)


class PeerServer:
    """Passes messages of other nodes to their handlers."""

    def __init__(self, node: VmId) -> None:
        """Starts without handlers and links.

        Args:
            node: this node.
        """
        self._node = node
        self._handlers: dict[str, Handler] = {}
        self._links: set[ServedLink] = set()
        self._counts = ServerCounts()
        self._leaving = False

    @property
    def counts(self) -> ServerCounts:
        """Counters of requests, which only grow."""
        return self._counts

    @property
    def open_links(self) -> int:
        """Number of links of other nodes."""
        return len(self._links)

    def handle(
        self,
        message_type: type[_Request],
        handler: Callable[[_Request, PeerSession], Awaitable[PeerReply]],
    ) -> None:
        """Registers the handler of a type of messages.

        Each message is handled in a task of its own. An exception of the
        handler is logged, and the requester gets ``PeerRefused``.

        Args:
            message_type: the type; its class name is its name on the wire.
            handler: returns the reply to a message. It keeps running when the
                link ends.

        Raises:
            ValueError: there is a handler for messages of this name.
        """
        name = message_type.__name__
        if name in self._handlers:
            raise ValueError(f'second handler for {name}')
        self._handlers[name] = Handler(message_type, handler)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hello: bytes,
    ) -> None:
        """Serves a link until it ends, and closes it.

        Args:
            reader: reader of the connection, after the first line.
            writer: writer of the connection.
            hello: the first line, which should be ``PeerHello``.
        """
        try:
            node = decode(hello, PeerHello).node
        except MalformedLine as error:
            cause = str(error)
            log.warning('peer_hello_malformed', extra={'cause': cause})
            writer.transport.abort()
            return
        streams = (reader, writer)
        link = ServedLink(node, streams, self._handlers, self._counts)
        self._links.add(link)
        try:
            await link.serve(PeerHello(self._node, self._leaving))
        finally:
            self._links.discard(link)

    def announce_leaving(self) -> None:
        """Tells all other nodes to send no new work.

        Requests that run, and those of transactions that have begun, are still
        handled.
        """
        self._leaving = True
        for link in self._links:
            link.announce_leaving()

    async def flush(self) -> None:
        """Waits until the links have sent all replies, for a short time."""
        end = asyncio.get_running_loop().time() + FLUSH_TIMEOUT
        while asyncio.get_running_loop().time() < end:
            # Lines are written once this iteration of the loop has ended.
            await asyncio.sleep(FLUSH_POLL_INTERVAL)
            if not any(link.unsent_bytes for link in self._links):
                return

    def close(self) -> None:
        """Ends all links and cancels the requests that run."""
        for link in tuple(self._links):
            link.close()
