"""Free ports of the loopback address."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterator
from contextlib import suppress
from functools import cache
from itertools import islice
from pathlib import Path
from typing import Final

from cowslipfork.errors import CowslipforkError
from cowslipfork_lab.cluster.plan import LOOPBACK

_LOWEST: Final = 10_000
_EPHEMERAL_RANGE: Final = Path('/proc/sys/net/ipv4/ip_local_port_range')

#: Ports that a driver takes at once; the first one is its guard.
_BLOCK: Final = 100


class NoFreePorts(CowslipforkError):
    """Every block of ports is taken by another driver."""


def free_ports(count: int) -> list[int]:
    """Finds ports that nobody uses and gives none of them twice.

    They lie below the range that outgoing connections take theirs from, so
    that no connection takes one before its process listens. Drivers on one
    machine keep to blocks of their own: a driver listens on the first port
    of each of its blocks for as long as it runs.

    Args:
        count: how many.

    Returns:
        Ports, all different.

    Raises:
        NoFreePorts: every block is taken.
    """
    return list(islice(_ports(), count))


@cache
def _ports() -> Iterator[int]:
    """Gives the one sequence of ports of this process."""
    return _all_ports()


def _all_ports() -> Iterator[int]:
    highest = int(_EPHEMERAL_RANGE.read_text().split()[0])
    starts = list(range(_LOWEST, highest - _BLOCK, _BLOCK))
    random.shuffle(starts)
    guards = []
    for start in starts:
        guard = _listener(start)
        if guard is None:
            continue
        guards.append(guard)
        yield from filter(_is_free, range(start + 1, start + _BLOCK))
    raise NoFreePorts(f'{len(guards)} blocks of ports are used up')


def _is_free(port: int) -> bool:
    listener = _listener(port)
    if listener is None:
        return False
    listener.close()
    return True


def _listener(port: int) -> socket.socket | None:
    with suppress(OSError):
        return socket.create_server((LOOPBACK, port))
    return None
