"""Free ports of the loopback address."""

from __future__ import annotations

import socket
from contextlib import ExitStack

from cowslipfork_lab.cluster.plan import LOOPBACK


def free_ports(count: int) -> list[int]:
    """Finds ports that nobody uses.

    Args:
        count: how many.

    Returns:
        Ports, all different.
    """
    with ExitStack() as stack:
        listeners = [
            stack.enter_context(socket.create_server((LOOPBACK, 0)))
            for _ in range(count)
        ]
        return [listener.getsockname()[1] for listener in listeners]
