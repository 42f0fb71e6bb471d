"""Requests to other nodes, over one link for each of them."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from cowslipfork.ids import VmId
from cowslipfork_direct.peers.messages import PeerHello, PeerRequest
from cowslipfork_direct.peers.remote_node import (
    Dial,
    FindAddress,
    PeerCounts,
    PeerNetwork,
    RemoteNode,
)
from cowslipfork_direct.peers.reserved_link import PeerLink
from cowslipfork_direct.relay import dial as dial_tcp

_Reply = TypeVar('_Reply')


class PeerClient:
    """Sends requests to other nodes and opens links to them on demand."""

    def __init__(
        self, node: VmId, find: FindAddress, dial: Dial = dial_tcp
    ) -> None:
        """Starts without links.

        Args:
            node: this node.
            find: returns the address of a node; None if it is not known.
            dial: opens a connection to an address.
        """
        self._hello = PeerHello(node)
        self._counts = PeerCounts()
        self._network = PeerNetwork(find, dial)
        self._remotes: dict[VmId, RemoteNode] = {}

    @property
    def counts(self) -> PeerCounts:
        """Counters of links, which only grow."""
        return self._counts

    @property
    def open_links(self) -> int:
        """Number of open links."""
        return sum(remote.connected for remote in self._remotes.values())

    async def request(
        self,
        node: VmId,
        message: PeerRequest,
        reply_type: type[_Reply],
        timeout: float,
    ) -> _Reply:
        """Sends a message to a node and waits for its reply.

        Args:
            node: the other node.
            message: the message.
            reply_type: type of its reply.
            timeout: seconds to wait, opening a link included.

        Returns:
            The reply.

        Raises:
            PeerNotReached: nothing was sent.
            PeerLost: the link ended or the time is over; the message may have
                been received.
            PeerRefused: the other node answered with an error.
        """
        clock = asyncio.get_running_loop().time
        begun = clock()
        link = await self._remote(node).open(timeout)
        return await link.request(
            message, reply_type, timeout - (clock() - begun)
        )

    def available(self, node: VmId) -> bool:
        """Returns whether a node is known, not suspected and not leaving.

        Args:
            node: the other node.
        """
        return self._remote(node).available

    def reserve(self, node: VmId) -> PeerLink:
        """Returns a link for several requests; it must be released.

        Args:
            node: the other node.
        """
        return PeerLink(self._remote(node))

    def close(self) -> None:
        """Closes all links; those nodes are not connected to again."""
        for remote in self._remotes.values():
            remote.close()

    def _remote(self, node: VmId) -> RemoteNode:
        remote = self._remotes.get(node)
        if remote is not None:
            return remote
        return self._remotes.setdefault(
            node, RemoteNode(node, self._hello, self._network, self._counts)
        )
