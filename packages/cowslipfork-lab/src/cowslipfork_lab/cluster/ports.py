"""Free ports of the loopback address."""

from __future__ import annotations

import random
import socket
from contextlib import ExitStack, suppress
from pathlib import Path

from cowslipfork_lab.cluster.plan import LOOPBACK

_LOWEST = 10_000
_EPHEMERAL_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')


def free_ports(count: int) -> list[int]:
    """Finds ports that nobody uses.

    They lie below the range that outgoing connections take theirs from, so
    that no connection takes one before its process listens.

    Args:
        count: how many.

    Returns:
        Ports, all different.
    """
    highest = int(_EPHEMERAL_RANGE.read_text().split()[0])
    found: list[int] = []
    with ExitStack() as stack:
        while len(found) < count:
            port = random.randrange(_LOWEST, highest)
            with suppress(OSError):
                listener = socket.create_server((LOOPBACK, port))
                stack.enter_context(listener)
                found.append(port)
    return found
