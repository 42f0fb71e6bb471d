"""HTTP/1.1 client of one address with a small pool of connections."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, nullcontext
from dataclasses import dataclass
from typing import Final, TypeVar

import h11

from cowslipfork.errors import CowslipforkError
from cowslipfork_direct.boot_timeout import boot_timeout_at
from cowslipfork_direct.http_connection import (
    HttpConnection,
    HttpReply,
    HttpRequest,
    RequestExpired,
    ResponseTooLong,
)
from cowslipfork_direct.relay import Address, RelayFailed, dial

#: Most idle connections that a client keeps open.
_MAX_IDLE: Final = 2

_OK: Final = 200

_Answer = TypeVar('_Answer')


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits of the wait for a response, in seconds, and of its size.

    A response that takes long because it is large is not given up as long as
    parts of it keep arriving: the next try would have to begin anew.

    Attributes:
        start: until the first bytes of the response, connecting included.
        progress: between two parts of the response.
        total: for connecting and the whole response.
        size: most bytes to read; None for no limit.
    """

    start: float
    progress: float
    total: float
    size: int | None = None


def within(seconds: float) -> ResponseLimits:
    """Returns limits for a request that must end within some seconds."""
    return ResponseLimits(seconds, seconds, seconds)


class HttpNotSent(CowslipforkError):
    """Nothing was sent: no connection was opened, or it took too long."""


class HttpResponseLost(CowslipforkError):
    """The request may have been sent, but no complete response arrived."""

    def __init__(
        self, cause: str, received: int, *, closed: bool = False
    ) -> None:
        """Remembers how much of the response arrived.

        Args:
            cause: the error.
            received: bytes of the response that were received.
            closed: whether the connection was closed or reset.
        """
        super().__init__(cause)
        self.received = received
        self.closed = closed


class HttpResponseTooLong(HttpResponseLost):
    """The response is longer than the request allowed."""


class UnexpectedResponse(CowslipforkError):
    """A response that does not fit its request; it may be that to another."""


#: Errors of opening a connection and of an exchange on it.
_CONNECTION_ERRORS: Final = (
    OSError,
    TimeoutError,
    RelayFailed,
    h11.ProtocolError,
    UnexpectedResponse,
)


class HttpClient:
    """Sends requests to one address; a connection carries one at a time."""

    def __init__(self, address: Address, via: Address | None = None) -> None:
        """Creates a client without connections; requests open them.

        Args:
            address: address that requests are sent to.
            via: relay of another node to connect through; None to connect
                directly.
        """
        self._address = address
        self._via = via
        self._idle: deque[HttpConnection] = deque()

    @property
    def via(self) -> Address | None:
        """Relay that connections use; None if they are direct."""
        return self._via

    async def request(
        self,
        request: HttpRequest,
        limits: ResponseLimits,
        read: Callable[[HttpReply], _Answer],
    ) -> _Answer:
        """Sends one request and reads its response.

        The connection carries another request only if the status is 200 and
        the response was read without an error: whatever arrives late on the
        connection of a refusal then refuses no later request.

        Args:
            request: the request.
            limits: limits of the response.
            read: decodes the response; raises ``UnexpectedResponse`` if it
                does not fit the request, and any other error as it likes.

        Returns:
            What ``read`` returned.

        Raises:
            HttpNotSent: no connection could be opened, or not before the
                deadline of the request.
            HttpResponseLost: the connection broke, a time limit passed after
                it was opened, or the response does not fit the request.
            HttpResponseTooLong: the response exceeds the limit of its size.
        """
        clock = asyncio.get_running_loop().time
        connection: HttpConnection | None = None
        reusable = False
        try:
            async with (
                _deadline_of(request),
                asyncio.timeout(limits.total),
                asyncio.timeout(limits.start) as stall,
            ):
                connection = await self._acquire()
                reply = await connection.exchange(
                    request,
                    limits.size,
                    lambda: stall.reschedule(clock() + limits.progress),
                )
            answer = read(reply)
            reusable = reply.status == _OK
            return answer
        except RequestExpired as error:
            raise HttpNotSent(f'{request.path}: {error}') from error
        except ResponseTooLong as error:
            received = _received_on(connection)
            raise HttpResponseTooLong(str(error), received) from error
        except _CONNECTION_ERRORS as error:
            detail = str(error) or type(error).__name__
            cause = f'{request.method} {request.path}: {detail}'
            if connection is None:
                raise HttpNotSent(cause) from error
            # What made this connection silent may have met the others too.
            self.close()
            closed = not isinstance(error, TimeoutError | UnexpectedResponse)
            raise HttpResponseLost(
                cause, connection.received, closed=closed
            ) from error
        finally:
            self._release(connection, reusable=reusable)

    def close(self) -> None:
        """Closes idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _acquire(self) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if await _is_reusable(connection):
                return connection
        reader, writer = await dial(self._address, self._via)
        host = f'{self._address.host}:{self._address.port}'
        return HttpConnection(reader, writer, host)

    def _release(
        self, connection: HttpConnection | None, *, reusable: bool
    ) -> None:
        if connection is None:
            return
        if reusable and connection.usable and len(self._idle) < _MAX_IDLE:
            self._idle.append(connection)
        else:
            connection.abort()


def _received_on(connection: HttpConnection | None) -> int:
    return 0 if connection is None else connection.received


def _deadline_of(request: HttpRequest) -> AbstractAsyncContextManager[None]:
    if request.deadline is None:
        return nullcontext()
    return boot_timeout_at(request.deadline)


async def _is_reusable(connection: HttpConnection) -> bool:
    """Aborts a connection that can carry no other request."""
    reusable = False
    try:
        reusable = connection.usable and await connection.is_silent()
    finally:
        if not reusable:
            connection.abort()
    return reusable
