"""Lets other nodes reach endpoints and the store through this one.

A connection starts with one message that names an address and one that tells
whether it was reached; from then on bytes are passed on both ways as they
come. Only addresses that this node uses itself are connected to.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection
from contextlib import suppress
from dataclasses import dataclass
from typing import Final

import msgspec

from cowslipfork.errors import CowslipforkError

log = logging.getLogger(__name__)

#: Seconds for this node to reach an address that another one asks for.
REACH_TIMEOUT: Final = 0.15

#: Longest first message in bytes.
MAX_HELLO: Final = 512

#: Bytes passed on at a time.
CHUNK: Final = 65_536


@dataclass(frozen=True, slots=True)
class Address:
    """Where something listens.

    Attributes:
        host: IP number.
        port: TCP port.
    """

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of the node that asks.

    Attributes:
        to: address that it wants to reach.
    """

    to: Address


@dataclass(frozen=True, slots=True)
class Reached:
    """Answer to it.

    Attributes:
        reached: whether a connection to the address is open now.
    """

    reached: bool


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class RelayFailed(CowslipforkError):
    """Another node could not reach an address either."""


class Relay:
    """Passes bytes between other nodes and addresses that this one uses."""

    def __init__(self, allowed: Callable[[], Collection[Address]]) -> None:
        """Relays nothing until ``serve`` is called for a connection.

        Args:
            allowed: gives the addresses that may be reached now.
        """
        self._allowed = allowed

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serves one connection of another node to its end.

        Args:
            reader: reading end.
            writer: writing end.
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
        address = msgspec.json.decode(line, type=Hello).to
        target = await self._reach(address)
        _send(writer, Reached(target is not None))
        if target is None:
            await writer.drain()
            return
        try:
            await _splice((reader, writer), target)
        finally:
            target[1].transport.abort()

    async def _reach(self, address: Address) -> Streams | None:
        if address not in self._allowed():
            log.warning('relay_refused', extra={'to': str(address)})
            return None
        try:
            async with asyncio.timeout(REACH_TIMEOUT):
                return await asyncio.open_connection(
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            cause = str(error) or type(error).__name__
            log.info('relay_unreached', extra={'cause': cause})
            return None


async def dial(
    address: Address,
    via: Address | None = None,
    limit: int = CHUNK,
) -> Streams:
    """Opens a connection, directly or through another node.

    Args:
        address: where to.
        via: relay of another node; None for the direct way.
        limit: longest line that the reader takes.

    Returns:
        Reading and writing end.

    Raises:
        OSError: nothing answers there.
        RelayFailed: the other node does not reach the address.
    """
    first = via or address
    reader, writer = await asyncio.open_connection(
        first.host,
        first.port,
        limit=limit,
    )
    if via is None:
        return reader, writer
    reached = False
    try:
        _send(writer, Hello(address))
        line = await reader.readline()
        reached = bool(line) and _decode_reached(line)
    finally:
        if not reached:
            writer.transport.abort()
    if not reached:
        raise RelayFailed(f'{via.host} does not reach {address.host}')
    return reader, writer


def _decode_reached(line: bytes) -> bool:
    with suppress(msgspec.MsgspecError):
        return msgspec.json.decode(line, type=Reached).reached
    return False


def _send(writer: asyncio.StreamWriter, message: Hello | Reached) -> None:
    writer.writelines((msgspec.json.encode(message), b'\n'))


async def _splice(one: Streams, other: Streams) -> None:
    """Passes bytes both ways until either side ends."""
    passing = [
        asyncio.create_task(_pass_on(one[0], other[1])),
        asyncio.create_task(_pass_on(other[0], one[1])),
    ]
    try:
        await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in passing:
            task.cancel()


async def _pass_on(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    chunk = await reader.read(CHUNK)
    while chunk:
        writer.write(chunk)
        await writer.drain()
        chunk = await reader.read(CHUNK)
