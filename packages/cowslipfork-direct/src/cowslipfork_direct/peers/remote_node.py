"""Another node as its clients see it: its link, and whether it answers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import VmId
from cowslipfork_direct.peers.client_link import ClientLink
from cowslipfork_direct.peers.codec import decode, encode_line
from cowslipfork_direct.peers.errors import PeerNotReached
from cowslipfork_direct.peers.messages import PeerHello
from cowslipfork_direct.peers.suspicion import Suspicion
from cowslipfork_direct.relay import Address, Streams

log = logging.getLogger(__name__)

#: Seconds within which a node must accept a connection and send its hello. A
#: frozen process does not send it although its kernel accepts connections.
CONNECT_TIMEOUT: Final = 0.3

#: Returns the address at which a node accepts links; None if it is not known.
FindAddress = Callable[[VmId], Address | None]

#: Opens a connection; raises ``OSError``.
Dial = Callable[[Address], Awaitable[Streams]]


class HandshakeFailed(CowslipforkError):
    """A node did not open the link that was asked for."""


@dataclass(frozen=True, slots=True)
class PeerNetwork:
    """How nodes are connected to.

    Attributes:
        find: returns the address of a node.
        dial: opens a connection to an address.
    """

    find: FindAddress
    dial: Dial


@dataclass(slots=True)
class PeerCounts:
    """Counters of a client, which only grow.

    Attributes:
        opened: links opened.
        refused: attempts to open a link that failed.
        lost: links that ended although this node had not closed them.
    """

    opened: int = 0
    refused: int = 0
    lost: int = 0


class RemoteNode:
    """Opens a link to one node when it is needed, one at a time."""

    def __init__(
        self,
        node: VmId,
        hello: PeerHello,
        network: PeerNetwork,
        counts: PeerCounts,
    ) -> None:
        """Starts without a link.

        Args:
            node: the other node.
            hello: this node's hello.
            network: how nodes are connected to.
            counts: counters of the client.
        """
        self._node = node
        self._hello = hello
        self._network = network
        self._counts = counts
        self._clock = asyncio.get_running_loop().time
        self._suspicion = Suspicion(self._clock)
        self._link: ClientLink | None = None
        self._opening: asyncio.Task[ClientLink | PeerNotReached] | None = None
        self._closed = False

    @property
    def node(self) -> VmId:
        """The other node."""
        return self._node

    @property
    def available(self) -> bool:
        """Whether new requests may be sent to it."""
        if self._link is not None:
            return not self._link.leaving
        known = self._network.find(self._node) is not None
        return known and not self._suspicion.active

    @property
    def connected(self) -> bool:
        """Whether a link is open."""
        return self._link is not None

    async def open(self, timeout: float) -> ClientLink:
        """Returns the open link, or opens one.

        Args:
            timeout: seconds to wait.

        Returns:
            The link.

        Raises:
            PeerNotReached: the node is suspected, is leaving or does not
                answer.
        """
        if self._link is not None and not self._link.leaving:
            return self._link
        if self._closed or not self.available:
            raise PeerNotReached(self._node, 'not available')
        if self._opening is None:
            self._opening = asyncio.create_task(self._open())
        opening = self._opening
        # Other requests wait for the same task: it must outlive this one.
        await asyncio.wait((opening,), timeout=timeout)
        if not opening.done() or opening.cancelled():
            raise PeerNotReached(self._node, 'not connected in time')
        outcome = opening.result()
        if isinstance(outcome, PeerNotReached):
            raise PeerNotReached(self._node, outcome.cause)
        return outcome

    def close(self) -> None:
        """Closes the link and opens no further one."""
        self._closed = True
        if self._opening is not None:
            self._opening.cancel()
        if self._link is not None:
            self._link.close()

    async def _open(self) -> ClientLink | PeerNotReached:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                streams = await self._connect()
        except (OSError, ValueError, CowslipforkError) as error:
            return self._refuse(str(error) or error.__class__.__name__)
        finally:
            self._opening = None
        self._suspicion.record_answer()
        self._counts.opened += 1
        self._link = ClientLink(self._node, streams, self._on_end)
        log.info('peer_link_opened', extra={'node': self._node})
        return self._link

    async def _connect(self) -> Streams:
        """Opens a connection and exchanges hellos on it."""
        address = self._network.find(self._node)
        if address is None:
            raise HandshakeFailed('address not known')
        reader, writer = await self._network.dial(address)
        accepted = False
        try:
            writer.write(encode_line(self._hello))
            hello = decode(await reader.readline(), PeerHello)
            accepted = hello.node == self._node and not hello.leaving
        finally:
            if not accepted:
                writer.transport.abort()
        if not accepted:
            raise HandshakeFailed(f'{hello.node} leaving: {hello.leaving}')
        return reader, writer

    def _refuse(self, cause: str) -> PeerNotReached:
        self._suspicion.record_failure()
        self._counts.refused += 1
        log.info('peer_not_reached', extra={'node': self._node, 'cause': cause})
        return PeerNotReached(self._node, cause)

    def _on_end(self, cause: str | None) -> None:
        self._link = None
        if cause is not None:
            self._counts.lost += 1
            self._suspicion.record_failure()
