"""Accepts other nodes' connections; relays them to endpoints and to the store.

A relayed connection starts with a message that names the target address and an
answer whether the target was reached. After that, bytes are forwarded
unchanged in both directions. The relay connects only to addresses that this
node uses itself.

If the requesting node closes its connection, the target still receives what was
sent. If it resets it, having given a request up, the connection to the target
is reset as well, and so it is when the relay's process ends.

A connection that starts with another message is a peer link, and is served
elsewhere.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection
from contextlib import suppress
from dataclasses import dataclass
from typing import Annotated, Final

import msgspec

from cowslipfork.errors import CowslipforkError
from cowslipfork_direct.connection_reset import deliver_at_end, reset_at_end
from cowslipfork_direct.counting_reader import CountingReader
from cowslipfork_direct.decoding import decode_json

log = logging.getLogger(__name__)

#: Seconds within which the relay must connect to a requested address.
CONNECT_TIMEOUT: Final = 0.15

#: Seconds for a side to receive what the other one sent before its end.
FLUSH_TIMEOUT: Final = 1.0

#: Most bytes that are forwarded at a time.
CHUNK_SIZE: Final = 65_536

MAX_PORT: Final = 65_535

#: An IP address or a host name, whose labels have 63 characters at most.
HOST_PATTERN: Final = (
    r'^\[?[0-9A-Za-z:%_-]{1,63}(?:\.[0-9A-Za-z%_-]{1,63}){0,30}\]?\Z'
)

_Host = Annotated[str, msgspec.Meta(pattern=HOST_PATTERN)]

_Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP address; no other one is decoded.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: _Host
    port: _Port


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of a relayed connection, sent by the requesting node.

    Attributes:
        to: target address.
    """

    to: Address


@dataclass(frozen=True, slots=True)
class Reached:
    """The relay's answer to ``Hello``.

    Attributes:
        reached: whether the relay has connected to the target address.
    """

    reached: bool


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]

#: Streams of a connection that this node has opened.
DialledStreams = tuple[CountingReader, asyncio.StreamWriter]

#: Serves a connection whose first line, the last argument, is not ``Hello``,
#: until the connection ends.
ServeLink = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, bytes], Awaitable[None]
]


class RelayFailed(CowslipforkError):
    """A relay refused an address or could not connect to it."""


class Relay:
    """Forwards bytes between other nodes and addresses that this one uses."""

    def __init__(
        self,
        allowed: Callable[[], Collection[Address]],
        serve_link: ServeLink | None = None,
    ) -> None:
        """Starts without connections; ``serve`` handles each of them.

        Args:
            allowed: returns the addresses that may be connected to now.
            serve_link: serves peer links; None if they are refused.
        """
        self._allowed = allowed
        self._serve_link = serve_link

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serves one connection of another node until it ends.

        Args:
            reader: reader of the connection.
            writer: writer of the connection; it is closed in any case.
        """
        try:
            await self._connect(reader, writer)
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            log.info('relay_ended', extra={'cause': str(error)})
        finally:
            writer.transport.abort()

    async def _connect(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        line = await reader.readline()
        if not line:
            return
        hello = _decode_hello(line)
        if hello is not None:
            await self._relay_to(hello.to, reader, writer)
        elif self._serve_link is not None:
            await self._serve_link(reader, writer, line)
        else:
            log.info('relay_ended', extra={'cause': 'no address'})

    async def _relay_to(
        self,
        address: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target = await self._reach(address)
        _send(writer, Reached(target is not None))
        if target is None:
            await writer.drain()
            return
        reset_at_end(target[1])
        try:
            await _splice((reader, writer), target)
        finally:
            target[1].transport.abort()

    async def _reach(self, address: Address) -> Streams | None:
        if address not in self._allowed():
            log.warning('relay_refused', extra={'to': str(address)})
            return None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                return await _open(address, CHUNK_SIZE)
        except (OSError, TimeoutError) as error:
            cause = str(error) or type(error).__name__
            log.info('relay_target_unreachable', extra={'cause': cause})
            return None


async def _open(address: Address, limit: int) -> DialledStreams:
    """Opens a connection; no address raises anything but ``OSError``."""
    loop = asyncio.get_running_loop()
    reader = CountingReader(limit)
    try:
        transport, protocol = await loop.create_connection(
            lambda: asyncio.StreamReaderProtocol(reader),
            address.host,
            address.port,
        )
    except (ValueError, OverflowError) as error:
        raise OSError(f'no such address: {error}') from error
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


async def dial(
    address: Address,
    via: Address | None = None,
    limit: int = CHUNK_SIZE,
) -> DialledStreams:
    """Opens a connection, directly or through another node.

    Args:
        address: target address.
        via: relay of another node; None for a direct connection.
        limit: longest line in bytes that the reader accepts.

    Returns:
        Reader and writer of the connection.

    Raises:
        OSError: the target, or the relay, cannot be connected to.
        RelayFailed: the relay did not connect to the target.
    """
    reader, writer = await _open(via or address, limit)
    if via is None:
        return reader, writer
    reached = False
    try:
        _send(writer, Hello(address))
        reached = _decode_reached(await reader.readline())
    except ValueError as error:
        raise RelayFailed(f'{via.host}: answer too long') from error
    finally:
        if not reached:
            writer.transport.abort()
    if not reached:
        raise RelayFailed(f'{via.host} cannot reach {address.host}')
    return reader, writer


def _decode_hello(line: bytes) -> Hello | None:
    """Returns the message of a relayed connection; None for another one."""
    return decode_json(line, Hello).default_value(None)


def _decode_reached(line: bytes) -> bool:
    decoded = decode_json(line, Reached)
    return decoded.is_ok() and decoded.ok.reached


def _send(writer: asyncio.StreamWriter, message: Hello | Reached) -> None:
    writer.writelines((msgspec.json.encode(message), b'\n'))


async def _splice(one: Streams, other: Streams) -> None:
    """Forwards bytes in both directions until either side ends.

    What a side has sent before it closed is still delivered.
    """
    tasks = [
        asyncio.create_task(_forward(one[0], other[1])),
        asyncio.create_task(_forward(other[0], one[1])),
    ]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _forward(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    chunk = await reader.read(CHUNK_SIZE)
    while chunk:
        writer.write(chunk)
        await writer.drain()
        chunk = await reader.read(CHUNK_SIZE)
    await _flush(writer)


async def _flush(writer: asyncio.StreamWriter) -> None:
    """Closes a connection once what was written is sent, or in time."""
    deliver_at_end(writer)
    writer.close()
    with suppress(TimeoutError):
        async with asyncio.timeout(FLUSH_TIMEOUT):
            await writer.wait_closed()
