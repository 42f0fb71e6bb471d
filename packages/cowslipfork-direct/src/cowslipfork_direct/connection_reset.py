"""Connections whose last bytes must not arrive once they are given up.

A connection that is closed in good order goes on to deliver what it has sent,
after a partition of the network too. One that is reset delivers nothing more.
The process resets a connection that it gives up; the kernel does so for a
process that has ended or is stopped.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from typing import Final

#: Value of ``SO_LINGER``: wait for nothing, so that closing resets.
_NO_LINGER: Final = struct.pack('ii', 1, 0)

#: The usual value: closing returns at once, and what was sent is delivered.
_DELIVER: Final = struct.pack('ii', 0, 0)

_MS_PER_SECOND: Final = 1000


def reset_at_end(writer: asyncio.StreamWriter) -> None:
    """Has a connection reset when it ends, if its process is killed as well.

    Args:
        writer: writing end of the connection.
    """
    _set_linger(writer, _NO_LINGER)


def deliver_at_end(writer: asyncio.StreamWriter) -> None:
    """Has a connection deliver what was sent when it ends.

    Args:
        writer: writing end of the connection.
    """
    _set_linger(writer, _DELIVER)


def reset_unless_received(writer: asyncio.StreamWriter, seconds: float) -> None:
    """Has the kernel reset a connection unless the other end receives.

    It does so whether the process runs or not.

    Args:
        writer: writing end of the connection.
        seconds: greatest time for which what was sent may be unacknowledged,
            from now on; more than 0.
    """
    opened = writer.get_extra_info('socket')
    if opened is not None:
        milliseconds = max(1, int(seconds * _MS_PER_SECOND))
        with suppress(OSError):
            opened.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds
            )


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection at once.

    Args:
        writer: writing end of the connection.
    """
    reset_at_end(writer)
    writer.transport.abort()


def _set_linger(writer: asyncio.StreamWriter, linger: bytes) -> None:
    opened = writer.get_extra_info('socket')
    if opened is not None:
        # The option can't be set on a connection that has ended already.
        with suppress(OSError):
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
