"""The server's end of a peer link: requests run as tasks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from cowslipfork.ids import VmId
from cowslipfork_direct.peers.codec import (
    MalformedLine,
    decode,
    decode_for_server,
    encode_body,
    encode_line,
)
from cowslipfork_direct.peers.frames import (
    UNANSWERED,
    FrameToServer,
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
from cowslipfork_direct.peers.messages import (
    PeerHello,
    PeerReply,
    RefusalReason,
)
from cowslipfork_direct.peers.session import PeerSession
from cowslipfork_direct.relay import Streams

log = logging.getLogger(__name__)

#: Times of the server's end of a link. Silence counts only while a handler
#: wants to know when the link ends. It may last longer than at the client's
#: end: a short pause of the client's process must not end its transactions.
SERVER_LIMITS: Final = HeartbeatLimits(
    ping_after=1,
    lost_after=3,
    unused_after=45,
)

#: Requests of one link that may run at once.
MAX_RUNNING: Final = 1024

#: Bytes of replies that may wait to be sent before more requests are read.
MAX_UNSENT: Final = 8_388_608

#: Seconds between two signs of life while no requests are read.
BUSY_INTERVAL: Final = 0.2

_LEAVING: Final = encode_line(Leaving())


@dataclass(frozen=True, slots=True)
class Handler:
    """The function that handles the messages of one type.

    Attributes:
        message_type: type of the messages.
        run: returns the reply to a message.
    """

    message_type: type[Any]
    run: Callable[[Any, PeerSession], Awaitable[PeerReply]]


@dataclass(slots=True)
class ServerCounts:
    """Counters of a server, which only grow.

    Attributes:
        requests: requests received.
        refused: requests answered with an error.
        malformed: links ended because of a malformed line.
    """

    requests: int = 0
    refused: int = 0
    malformed: int = 0


class ServedLink:
    """Handles the requests of one link."""

    def __init__(
        self,
        node: VmId,
        streams: Streams,
        handlers: Mapping[str, Handler],
        counts: ServerCounts,
    ) -> None:
        """Starts the heartbeat; ``serve`` receives requests.

        Args:
            node: the other node.
            streams: reader and writer of the connection, after its hello.
            handlers: handlers by the name of their messages.
            counts: counters of the server.
        """
        self._node = node
        self._handlers = handlers
        self._counts = counts
        self._link = Link(
            streams,
            SERVER_LIMITS,
            LinkEvents(
                lambda: self._session.watched,
                lambda: self._give_up('silent'),
                lambda: self._give_up('unused'),
            ),
        )
        self._session = PeerSession(node, self._link.expect_bytes)
        self._running: set[asyncio.Task[None]] = set()
        self._finished = asyncio.Event()
        self._ended = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes of replies that wait because the other node is slow."""
        return self._link.unsent_bytes

    @property
    def _full(self) -> bool:
        """Whether no further request may be read."""
        return (
            len(self._running) >= MAX_RUNNING
            or self._link.unsent_bytes > MAX_UNSENT
        )

    async def serve(self, hello: PeerHello) -> None:
        """Handles requests until the link ends.

        Requests that run then are finished; nobody receives their replies.

        Args:
            hello: this node's hello, which is sent first.
        """
        self._link.send(encode_line(hello))
        try:
            await self._serve_lines()
        except MalformedLine as error:
            self._counts.malformed += 1
            self._log_end('peer_line_malformed', logging.WARNING, error)
        except OSError as error:
            self._log_end('peer_link_ended', logging.INFO, error)
        finally:
            self._end()

    def announce_leaving(self) -> None:
        """Tells the other node to send no new work."""
        self._link.send(_LEAVING)

    def close(self) -> None:
        """Ends the link and cancels its requests."""
        self._end()
        for task in tuple(self._running):
            task.cancel()

    async def _serve_lines(self) -> None:
        async with aclosing(self._link.lines()) as lines:
            async for line in lines:
                if self._full:
                    await self._wait_for_room()
                self._handle(decode_for_server(line))

    async def _wait_for_room(self) -> None:
        while self._full and not self._ended:
            self._finished.clear()
            try:
                async with asyncio.timeout(BUSY_INTERVAL):
                    await self._finished.wait()
            except TimeoutError:
                # The client's pings are not read meanwhile.
                self._link.send_pong()

    def _handle(self, frame: FrameToServer) -> None:
        if isinstance(frame, Request):
            self._start(frame)
        elif isinstance(frame, Ping):
            self._link.send_pong()

    def _start(self, request: Request) -> None:
        self._counts.requests += 1
        handler = self._handlers.get(request.name)
        if handler is None:
            reason = RefusalReason.UNKNOWN_MESSAGE
            self._refuse(request.number, reason, request.name)
            return
        try:
            message = decode(request.body, handler.message_type)
        except MalformedLine as error:
            reason = RefusalReason.MALFORMED_MESSAGE
            self._refuse(request.number, reason, f'{request.name}: {error}')
            return
        task = asyncio.create_task(self._run(request, handler, message))
        self._running.add(task)
        task.add_done_callback(self._on_finished)

    async def _run(
        self, request: Request, handler: Handler, message: object
    ) -> None:
        try:
            reply = encode_body(await handler.run(message, self._session))
        except Exception as error:
            log.exception(
                'peer_request_failed',
                extra={'node': self._node, 'request': request.name},
            )
            reason = RefusalReason.HANDLER_FAILED
            self._refuse(request.number, reason, error.__class__.__name__)
        else:
            self._reply(request.number, reply)

    def _on_finished(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        self._finished.set()

    def _reply(self, number: RequestNumber, body: msgspec.Raw) -> None:
        if number == UNANSWERED:
            return
        line = encode_line(Reply(number, body))
        if len(line) > MAX_LINE:
            reason = RefusalReason.REPLY_TOO_LONG
            self._refuse(number, reason, f'{len(line)} bytes')
        else:
            self._link.send(line)

    def _refuse(
        self, number: RequestNumber, reason: RefusalReason, detail: str
    ) -> None:
        self._counts.refused += 1
        log.warning(
            'peer_request_refused',
            extra={
                'node': self._node,
                'reason': reason.value,
                'detail': detail,
            },
        )
        if number != UNANSWERED:
            self._link.send(encode_line(Refused(number, reason, detail)))

    def _give_up(self, cause: str) -> None:
        log.info('peer_link_ended', extra={'node': self._node, 'cause': cause})
        self._end()

    def _end(self) -> None:
        if self._ended:
            return
        self._ended = True
        self._link.abort()
        self._session.close()

    def _log_end(self, event: str, level: int, error: Exception) -> None:
        if self._ended:
            return
        cause = str(error) or error.__class__.__name__
        log.log(level, event, extra={'node': self._node, 'cause': cause})
