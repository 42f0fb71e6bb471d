"""The client's end of a peer link: requests that wait for their replies."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass
from typing import Final, TypeVar

from cowslipfork.ids import VmId
from cowslipfork_direct.peers.codec import (
    MalformedLine,
    decode,
    decode_for_client,
    encode_body,
    encode_line,
)
from cowslipfork_direct.peers.errors import (
    PeerError,
    PeerLost,
    PeerNotReached,
    PeerRefused,
    PeerTimedOut,
)
from cowslipfork_direct.peers.frames import (
    UNANSWERED,
    FrameToClient,
    Leaving,
    Ping,
    Refused,
    Reply,
    Request,
    RequestNumber,
)
from cowslipfork_direct.peers.heartbeat import HeartbeatLimits
from cowslipfork_direct.peers.line_stream import MAX_LINE
from cowslipfork_direct.peers.link import Link, LinkEvents
from cowslipfork_direct.peers.messages import PeerRequest, RefusalReason
from cowslipfork_direct.relay import Streams

log = logging.getLogger(__name__)

#: Times of the client's end of a link.
CLIENT_LIMITS: Final = HeartbeatLimits(
    ping_after=0.25,
    lost_after=0.6,
    unused_after=30,
)

#: Bytes that may wait to be sent on a link; beyond them, no request is added.
#: Notifications are, since they end what earlier requests have begun.
MAX_UNSENT: Final = 8_388_608

_Reply = TypeVar('_Reply')


@dataclass(frozen=True, slots=True)
class _Pending:
    """A request without a reply.

    Attributes:
        answer: set to the reply, or to the error that takes its place.
        line: number of the request's line on the link.
    """

    answer: asyncio.Future[Reply | Refused | PeerError]
    line: int


class ClientLink:
    """An open link to a node, shared by all requests to it."""

    def __init__(
        self,
        node: VmId,
        streams: Streams,
        on_end: Callable[[str | None], None],
    ) -> None:
        """Starts to receive.

        Args:
            node: the other node.
            streams: reader and writer of the connection, after the hellos.
            on_end: called once when the link has ended, with the cause if it
                was lost, or None if this node closed it.
        """
        self._node = node
        self._on_end = on_end
        self._link = Link(
            streams,
            CLIENT_LIMITS,
            LinkEvents(
                lambda: bool(self._pending),
                lambda: self._end('silent'),
                self._close_unused,
            ),
        )
        self._numbers = itertools.count(UNANSWERED + 1)
        self._pending: dict[RequestNumber, _Pending] = {}
        self._reservations = 0
        self._leaving = False
        self._ended = False
        self._receiving = asyncio.create_task(self._receive())

    @property
    def leaving(self) -> bool:
        """Whether the other node accepts no new work."""
        return self._leaving

    @property
    def ended(self) -> bool:
        """Whether the link is closed or lost."""
        return self._ended

    async def request(
        self, message: PeerRequest, reply_type: type[_Reply], timeout: float
    ) -> _Reply:
        """Sends a message and waits for its reply.

        Args:
            message: the message.
            reply_type: type of its reply.
            timeout: seconds to wait.

        Returns:
            The reply.

        Raises:
            PeerNotReached: nothing was sent.
            PeerLost: the link ended or the time is over.
            PeerRefused: the other node answered with an error.
        """
        if self._link.unsent_bytes > MAX_UNSENT:
            raise PeerNotReached(self._node, 'too much waits to be sent')
        number = RequestNumber(next(self._numbers))
        line = self._send(number, message)
        answer = asyncio.get_running_loop().create_future()
        self._pending[number] = _Pending(answer, line)
        self._link.expect_bytes()
        try:
            async with asyncio.timeout(timeout):
                received = await answer
        except TimeoutError:
            cause = f'no reply within {timeout:.3f} s'
            raise PeerTimedOut(self._node, cause) from None
        finally:
            self._pending.pop(number, None)
        return self._read(received, reply_type)

    def notify(self, message: PeerRequest) -> None:
        """Sends a message without waiting for a reply.

        Args:
            message: the message.

        Raises:
            PeerNotReached: nothing was sent.
            PeerRefused: the message is too long.
        """
        self._send(UNANSWERED, message)

    def reserve(self) -> None:
        """Keeps the link open until ``release`` even if it is not used."""
        self._reservations += 1

    def release(self) -> None:
        """Ends one reservation."""
        self._reservations -= 1

    def close(self) -> None:
        """Closes the link; requests without a reply fail with ``PeerLost``."""
        self._end(None)

    def _send(self, number: RequestNumber, message: PeerRequest) -> int:
        """Sends a message; returns the number of its line."""
        if self._ended:
            raise PeerNotReached(self._node, 'link lost')
        name = message.__class__.__name__
        line = encode_line(Request(number, name, encode_body(message)))
        if len(line) > MAX_LINE:
            reason = RefusalReason.REQUEST_TOO_LONG
            raise PeerRefused(self._node, reason, f'{len(line)} bytes')
        return self._link.send(line)

    def _read(
        self,
        received: Reply | Refused | PeerError,
        reply_type: type[_Reply],
    ) -> _Reply:
        if isinstance(received, PeerError):
            raise received
        if isinstance(received, Refused):
            raise PeerRefused(self._node, received.reason, received.detail)
        try:
            return decode(received.body, reply_type)
        except MalformedLine as error:
            reason = RefusalReason.MALFORMED_REPLY
            raise PeerRefused(self._node, reason, str(error)) from error

    async def _receive(self) -> None:
        try:
            async with aclosing(self._link.lines()) as lines:
                async for line in lines:
                    self._handle(decode_for_client(line))
        except (OSError, MalformedLine) as error:
            self._end(str(error) or error.__class__.__name__)

    def _handle(self, frame: FrameToClient) -> None:
        if isinstance(frame, Reply | Refused):
            pending = self._pending.pop(frame.number, None)
            if pending is not None and not pending.answer.done():
                pending.answer.set_result(frame)
        elif isinstance(frame, Ping):
            self._link.send_pong()
        elif isinstance(frame, Leaving):
            self._leaving = True
            log.info('peer_leaving', extra={'node': self._node})

    def _close_unused(self) -> None:
        if not self._reservations:
            self.close()

    def _end(self, cause: str | None) -> None:
        """Ends the link; the cause is None if this node closes it."""
        if self._ended:
            return
        self._ended = True
        self._link.abort()
        self._receiving.cancel()
        pending = tuple(self._pending.values())
        self._pending.clear()
        if cause is not None:
            log.warning(
                'peer_link_lost',
                extra={
                    'node': self._node,
                    'cause': cause,
                    'requests': len(pending),
                },
            )
        for request in pending:
            self._fail(request, cause or 'closed')
        self._on_end(cause)

    def _fail(self, request: _Pending, cause: str) -> None:
        if request.answer.done():
            return
        sent = self._link.was_written(request.line)
        error_type = PeerLost if sent else PeerNotReached
        request.answer.set_result(error_type(self._node, cause))
