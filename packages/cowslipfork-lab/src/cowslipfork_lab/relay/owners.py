"""Finds the process that holds the other end of a loopback connection."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator, Mapping
from contextlib import suppress
from pathlib import Path
from typing import Final

#: Name of a process that the relay doesn't know.
UNKNOWN_PROCESS = 'stranger'

#: The kernel's question for one socket, and the kind of its answer.
_SOCK_DIAG_BY_FAMILY: Final = 20
_NETLINK_SOCK_DIAG: Final = 4
_REQUEST: Final = 1
_ANY_STATE: Final = 0xFFFFFFFF
_NO_COOKIE: Final = (0xFFFFFFFF, 0xFFFFFFFF)
_HEADER: Final = struct.Struct('=IHHII')
_FAMILY: Final = struct.Struct('=BBBBI')
_PORTS: Final = struct.Struct('!HH')
_TAIL: Final = struct.Struct('=III')

#: Bytes of the answer before the socket's inode.
_BEFORE_INODE: Final = 84
_MOST_BYTES: Final = 4096
_HOST: Final = socket.inet_aton('127.0.0.1') + bytes(12)


def owner_of(port: int, listener: int, names: Mapping[int, str]) -> str:
    """Names the process whose socket has a local port.

    Args:
        port: local port of its end.
        listener: port that it is connected to.
        names: names of known processes by pid.

    Returns:
        The name, or ``UNKNOWN_PROCESS``.
    """
    inode = f'socket:[{_inode(port, listener)}]'
    # The newest processes come last, and are the likeliest to be alive.
    owners = (
        names[pid] for pid in reversed(tuple(names)) if inode in _sockets(pid)
    )
    return next(owners, UNKNOWN_PROCESS)


def _inode(port: int, listener: int) -> int:
    """Asks the kernel; its table of all sockets is too long to be read."""
    question = b''.join(
        (
            _FAMILY.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, _ANY_STATE),
            _PORTS.pack(port, listener),
            _HOST,
            _HOST,
            _TAIL.pack(0, *_NO_COOKIE),
        ),
    )
    header = _HEADER.pack(
        _HEADER.size + len(question),
        _SOCK_DIAG_BY_FAMILY,
        _REQUEST,
        1,
        0,
    )
    kind = (socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG)
    with socket.socket(*kind) as kernel:
        kernel.sendto(header + question, (0, 0))
        answer = kernel.recv(_MOST_BYTES)
    if _HEADER.unpack_from(answer)[1] != _SOCK_DIAG_BY_FAMILY:
        return 0
    inode: int = struct.unpack_from('=I', answer, _BEFORE_INODE)[0]
    return inode


def _sockets(pid: int) -> Iterator[str]:
    with suppress(OSError):
        for descriptor in Path(f'/proc/{pid}/fd').iterdir():
            with suppress(OSError):
                yield str(descriptor.readlink())
