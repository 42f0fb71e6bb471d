"""Failures of requests to other nodes."""

from __future__ import annotations

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import VmId
from cowslipfork_direct.peers.messages import NOT_HANDLED, RefusalReason


class PeerError(CowslipforkError):
    """A request to another node has no reply.

    Attributes:
        node: the other node.
        cause: text for the log.
    """

    def __init__(self, node: VmId, cause: str) -> None:
        """Builds the message.

        Args:
            node: the other node.
            cause: text for the log.
        """
        super().__init__(f'{self.__class__.__name__} {node}: {cause}')
        self.node = node
        self.cause = cause

    @property
    def may_have_run(self) -> bool:
        """Whether the other node may have handled the message."""
        return True


class PeerNotReached(PeerError):
    """No byte of the message was sent."""

    @property
    def may_have_run(self) -> bool:
        """Whether the other node may have handled the message: never."""
        return False


class PeerLost(PeerError):
    """The link ended without a reply; the message may have been received."""


class PeerTimedOut(PeerLost):
    """There is no reply within the time-out of the request.

    The link may be intact. The message may have been received.
    """


class PeerRefused(PeerError):
    """The other node answered with an error.

    Attributes:
        reason: kind of the error.
    """

    def __init__(self, node: VmId, reason: RefusalReason, cause: str) -> None:
        """Builds the message.

        Args:
            node: the other node.
            reason: kind of the error.
            cause: text for the log.
        """
        super().__init__(node, f'{reason.value}: {cause}')
        self.reason = reason

    @property
    def may_have_run(self) -> bool:
        """Whether the other node may have handled the message."""
        return self.reason not in NOT_HANDLED
