"""A link that several requests in a row must share."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from cowslipfork.ids import VmId
from cowslipfork_direct.peers.client_link import ClientLink
from cowslipfork_direct.peers.errors import PeerError, PeerNotReached
from cowslipfork_direct.peers.messages import PeerRequest
from cowslipfork_direct.peers.remote_node import RemoteNode

_Reply = TypeVar('_Reply')


class PeerLink:
    """Requests that all use the same link, for example of a transaction.

    The first request opens the link if there is none. Once that link is lost,
    every further request fails with ``PeerNotReached``. A node that is leaving
    still accepts requests after the first one.
    """

    def __init__(self, remote: RemoteNode) -> None:
        """Starts without a link.

        Args:
            remote: the other node.
        """
        self._remote = remote
        self._link: ClientLink | None = None
        self._released = False

    @property
    def node(self) -> VmId:
        """The other node."""
        return self._remote.node

    @property
    def lost(self) -> bool:
        """Whether the link has ended since the first request."""
        return self._link is not None and self._link.ended

    async def request(
        self, message: PeerRequest, reply_type: type[_Reply], timeout: float
    ) -> _Reply:
        """Sends a message and waits for its reply.

        Args:
            message: the message.
            reply_type: type of its reply.
            timeout: seconds to wait, opening the link included.

        Returns:
            The reply.

        Raises:
            PeerNotReached: nothing was sent.
            PeerLost: the link ended or the time is over.
            PeerRefused: the other node answered with an error.
        """
        if self._released:
            raise PeerNotReached(self.node, 'reservation released')
        clock = asyncio.get_running_loop().time
        begun = clock()
        link = self._link or self._bind(await self._remote.open(timeout))
        return await link.request(
            message, reply_type, timeout - (clock() - begun)
        )

    def notify(self, message: PeerRequest) -> None:
        """Sends a message without waiting for a reply.

        Does nothing without a link: what was begun on it has ended with it.

        Args:
            message: the message.
        """
        if self._link is None:
            return
        try:
            self._link.notify(message)
        except PeerError:
            return

    def release(self) -> None:
        """Ends the reservation; the link may be closed once it is unused."""
        if not self._released and self._link is not None:
            self._link.release()
        self._released = True

    def _bind(self, link: ClientLink) -> ClientLink:
        """Returns the link of all requests, which is that of the first one."""
        if self._link is not None:
            return self._link
        self._link = link
        if not self._released:
            link.reserve()
        return link
