"""Ends a node without cutting a request short."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection
from typing import Final, Protocol

log = logging.getLogger(__name__)

#: Seconds for which callers may still be sent to a node that is not ready.
READINESS_PROPAGATION: Final = 2.2

#: Share of the grace after which open transactions are rolled back.
TRANSACTION_SHARE: Final = 0.5

#: Seconds before the end of the grace at which the node ends in any case.
MARGIN: Final = 0.5

#: Seconds between two looks for connections that have become idle.
LOOK_PAUSE: Final = 0.05


class CallerConnection(Protocol):
    """A caller's connection, as far as its end is concerned."""

    @property
    def idle(self) -> bool:
        """Whether no request was read or is on its way through this node."""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""

    async def abort_transaction(self, cause: str) -> None:
        """Rolls an open transaction back; its caller is told when it asks."""

    def close(self) -> None:
        """Closes the connection."""


async def drain(
    connections: Collection[CallerConnection],
    grace: float,
) -> None:
    """Closes all connections, each at a moment at which nothing is lost.

    Args:
        connections: callers' connections, which come and go meanwhile.
        grace: seconds after which the process is killed.
    """
    loop = asyncio.get_running_loop()
    begun = loop.time()
    log.info(
        'draining',
        extra={'connections': len(connections), 'grace': grace},
    )
    await asyncio.sleep(READINESS_PROPAGATION)
    while connections and loop.time() < begun + grace - MARGIN:
        if loop.time() >= begun + grace * TRANSACTION_SHARE:
            await _abort_transactions(connections)
        for connection in tuple(connections):
            if connection.idle and not connection.in_transaction:
                connection.close()
        await asyncio.sleep(LOOK_PAUSE)
    log.info('drained', extra={'connections': len(connections)})


async def _abort_transactions(
    connections: Collection[CallerConnection],
) -> None:
    await asyncio.gather(
        *(
            connection.abort_transaction('the node is shutting down')
            for connection in tuple(connections)
            if connection.in_transaction and connection.idle
        ),
    )
