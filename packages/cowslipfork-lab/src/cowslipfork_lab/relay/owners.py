"""Finds the process that holds the other end of a loopback connection."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import suppress
from pathlib import Path

#: Name of a process that the relay doesn't know.
STRANGER = 'stranger'
_HEXADECIMAL = 16
_INODE_FIELD = 9


def owner_of(port: int, names: Mapping[int, str]) -> str:
    """Names the process whose socket has a local port.

    Args:
        port: local port of its end.
        names: names of known processes by pid.

    Returns:
        The name, or ``STRANGER``.
    """
    inodes = {f'socket:[{inode}]' for inode in _inodes(port)}
    owners = (
        name for pid, name in names.items() if inodes & set(_sockets(pid))
    )
    return next(owners, STRANGER)


def _inodes(port: int) -> Iterator[str]:
    table = Path('/proc/net/tcp').read_text().splitlines()
    for line in table[1:]:
        fields = line.split()
        _host, _, local = fields[1].partition(':')
        if int(local, _HEXADECIMAL) == port:
            yield fields[_INODE_FIELD]


def _sockets(pid: int) -> Iterator[str]:
    with suppress(OSError):
        for descriptor in Path(f'/proc/{pid}/fd').iterdir():
            with suppress(OSError):
                yield str(descriptor.readlink())
