"""Interface to other nodes, as the control loops see it."""

from __future__ import annotations

from typing import Protocol

from cowslipfork.errors import CowslipforkError
from cowslipfork.wire import node_pb2


class PeerUnavailable(CowslipforkError):
    """Another node did not answer, or its stream ended."""

    def __init__(self, address: str, cause: str) -> None:
        """Remembers who was silent.

        Args:
            address: ``host:port`` of the node.
            cause: error of the client library.
        """
        super().__init__(f'node at {address} is silent: {cause}')
        self.address = address
        self.cause = cause


class PeerRefused(PeerUnavailable):
    """The host answers, but no process listens at the address."""


class PeerStream(Protocol):
    """An open stream of heartbeats in both directions."""

    async def send(self, heartbeat: node_pb2.Heartbeat) -> None:
        """Sends a heartbeat.

        Raises:
            PeerUnavailable: the stream ended.
        """

    async def receive(self) -> node_pb2.Heartbeat:
        """Waits for the next heartbeat.

        Raises:
            PeerUnavailable: the stream ended.
        """

    async def close(self) -> None:
        """Ends the stream."""


class Peers(Protocol):
    """What a node asks of other nodes, each call bounded by a time-out."""

    async def exchange(self, address: str) -> PeerStream:
        """Opens a stream of heartbeats on a fresh connection.

        Raises:
            PeerRefused: no process listens.
            PeerUnavailable: no answer in time.
        """

    async def try_connect(self, address: str) -> None:
        """Opens a fresh connection and closes it.

        Raises:
            PeerRefused: no process listens.
            PeerUnavailable: no answer in time.
        """

    async def fetch(
        self,
        address: str,
        request: node_pb2.FetchRequest,
    ) -> node_pb2.FetchReply:
        """Asks for records that differ.

        Raises:
            PeerUnavailable: no answer in time.
        """
