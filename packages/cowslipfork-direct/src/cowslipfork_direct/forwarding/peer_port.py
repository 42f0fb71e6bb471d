"""What forwarding uses of the links between nodes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import VmId


class PeerNotReached(CowslipforkError):
    """The node was not reached; nothing was sent to it."""


class PeerLost(CowslipforkError):
    """The reply did not arrive; the node may have received the request."""


class PeerLink(Protocol):
    """One link to a node."""

    async def request(self, message: Any, timeout: float) -> Any:
        """Sends a request and waits for the reply.

        Args:
            message: the request.
            timeout: longest wait in seconds.

        Raises:
            PeerNotReached: nothing was sent.
            PeerLost: no reply arrived on this link.
        """


class PeerRequests(Protocol):
    """Links to other nodes."""

    async def request(self, node: VmId, message: Any, timeout: float) -> Any:
        """Sends a request to a node and waits for the reply.

        Args:
            node: the node.
            message: the request.
            timeout: longest wait in seconds.

        Raises:
            PeerNotReached: nothing was sent.
            PeerLost: no reply arrived.
        """

    def available(self, node: VmId) -> bool:
        """Returns whether a node is neither suspected nor leaving."""

    def reserve(self, node: VmId) -> PeerLink:
        """Returns a link for several requests; it is never replaced.

        Raises:
            PeerNotReached: the node cannot be reached.
        """


class PeerSession(Protocol):
    """A link on which requests of another node arrive."""

    def on_close(self, callback: Callable[[], None]) -> None:
        """Calls a function once the link has ended, at once if it has."""


#: Answers a request of another node.
Handler = Callable[[Any, PeerSession], Awaitable[Any]]


class PeerHandlers(Protocol):
    """Receives requests of other nodes."""

    def handle(self, message_type: type, handler: Handler) -> None:
        """Registers what answers the requests of a type."""

    def announce_leaving(self) -> None:
        """Tells other nodes to send nothing new."""
