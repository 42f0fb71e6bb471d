"""Packets of one caller, read whole and bounded."""

from __future__ import annotations

import asyncio

from mysql_mimic.stream import ConnectionClosed, MysqlStream

from cowslipfork_proxy.callers.failures import Fault, fault

_HEADER_BYTES = 4
_LENGTH_MASK = 0xFFFFFF
_SEQUENCE_SHIFT = 24
_SKIP_BYTES = 65_536


class CallerStream:
    """The library's stream with a length limit and whole headers.

    The library reads a header in one step, which fails when the network
    splits it, and buffers a packet of any length. Its class is compiled and
    can't be inherited from, so writing is handed on to it.
    """

    __slots__ = (
        '_library',
        '_reader',
        'drain',
        'limit',
        'reset_seq',
        'start_tls',
        'write',
        'write_many',
        'write_text_rows',
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limit: int,
    ) -> None:
        """Wraps a connection.

        Args:
            reader: bytes of the caller.
            writer: bytes to the caller.
            limit: longest packet in bytes.
        """
        library = MysqlStream(reader, writer)
        self._library = library
        self._reader = reader
        self.limit = limit
        self.write = library.write
        self.write_many = library.write_many
        self.write_text_rows = library.write_text_rows
        self.drain = library.drain
        self.reset_seq = library.reset_seq
        self.start_tls = library.start_tls

    async def read(self) -> bytes:
        """Reads one packet.

        Returns:
            Payload, joined over continued packets.

        Raises:
            ConnectionClosed: the caller went away.
            CallerFailure: too long, or out of sequence.
        """
        payload = b''
        while True:
            length = await self._header()
            if len(payload) + length > self.limit:
                await self._skip(length)
                raise fault(
                    Fault.STATEMENT_TOO_LONG,
                    f'packet is longer than {self.limit} bytes',
                )
            part = await self._exactly(length)
            payload = payload + part if payload else part
            if length < _LENGTH_MASK:
                return payload

    async def _header(self) -> int:
        head = int.from_bytes(await self._exactly(_HEADER_BYTES), 'little')
        expected = next(self._library.seq)
        sequence = head >> _SEQUENCE_SHIFT
        if sequence != expected:
            raise fault(
                Fault.MALFORMED_PACKET,
                f'packet {sequence} came instead of {expected}',
            )
        return head & _LENGTH_MASK

    async def _skip(self, length: int) -> None:
        left = length
        while True:
            while left:
                left -= len(await self._exactly(min(left, _SKIP_BYTES)))
            if length < _LENGTH_MASK:
                return
            length = await self._header()
            left = length

    async def _exactly(self, length: int) -> bytes:
        try:
            return await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise ConnectionClosed from error
