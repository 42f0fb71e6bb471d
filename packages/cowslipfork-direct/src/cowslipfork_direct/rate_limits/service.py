"""Serves the messages of entry nodes at a candidate for limiters."""

from __future__ import annotations

from cowslipfork_direct.peers import PeerServer, PeerSession
from cowslipfork_direct.rate_limits.limiter import Limiter
from cowslipfork_direct.rate_limits.messages import (
    Acquire,
    Acquired,
    Report,
    Reported,
)


def serve_limiter(server: PeerServer, limiter: Limiter) -> None:
    """Registers the handlers of a limiter's messages.

    Args:
        server: passes messages of other nodes to their handlers.
        limiter: limiter of this node.
    """

    async def acquire(message: Acquire, _: PeerSession) -> Acquired:
        return Acquired(limiter.acquire(message))

    async def report(message: Report, _: PeerSession) -> Reported:
        return limiter.report(message)

    server.handle(Acquire, acquire)
    server.handle(Report, report)
