"""Closes callers' connections at shutdown without interrupting requests."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection
from typing import Final, Protocol

log = logging.getLogger(__name__)

#: Seconds for which callers may still be routed to a node that is not ready.
READINESS_PROPAGATION: Final = 2.2

#: Fraction of the grace period after which open transactions are rolled back.
TRANSACTION_GRACE: Final = 0.5

#: Seconds before the end of the grace period at which draining stops in any
#: case.
EXIT_MARGIN: Final = 0.5

#: Seconds before the end of draining by which every statement is answered.
ANSWER_MARGIN: Final = 0.1

#: Seconds between two checks for connections that have become idle.
POLL_INTERVAL: Final = 0.05


class CallerConnection(Protocol):
    """A caller's connection, as far as draining needs it."""

    @property
    def idle(self) -> bool:
        """Whether no request has been read that is not yet answered."""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""

    async def abort_transaction(self, cause: str) -> None:
        """Rolls an open transaction back.

        The caller receives the cause as the answer to its next statement.
        """

    def close(self) -> None:
        """Closes the connection."""


async def drain(
    connections: Collection[CallerConnection],
    grace: float,
) -> None:
    """Closes each connection once it is idle and outside of a transaction.

    After part of the grace period open transactions are rolled back. Shortly
    before its end draining stops even if connections are left.

    Args:
        connections: callers' connections; new ones may still be added.
        grace: seconds after which the process is killed.
    """
    loop = asyncio.get_running_loop()
    begun = loop.time()
    log.info(
        'draining',
        extra={'connections': len(connections), 'grace': grace},
    )
    await asyncio.sleep(READINESS_PROPAGATION)
    while connections and loop.time() < begun + grace - EXIT_MARGIN:
        if loop.time() >= begun + grace * TRANSACTION_GRACE:
            await _abort_transactions(connections)
        close_idle(connections)
        await asyncio.sleep(POLL_INTERVAL)
    log.info('drained', extra={'connections': len(connections)})


def close_idle(connections: Collection[CallerConnection]) -> None:
    """Closes connections that serve no request and no transaction."""
    for connection in tuple(connections):
        if connection.idle and not connection.in_transaction:
            connection.close()


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
