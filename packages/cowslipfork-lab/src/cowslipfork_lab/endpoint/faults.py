"""Faults of an endpoint, switched on its control port."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field
from enum import Enum, unique

#: Number of a connection that is never silenced.
NEVER_BLOCKED = sys.maxsize


@unique
class Partition(Enum):
    """Whom the endpoint is cut off from."""

    NONE = 'none'
    PEERS = 'peers'
    CALLERS = 'callers'
    ALL = 'all'


@dataclass(slots=True)
class Faults:
    """Current faults; delays in seconds.

    Attributes:
        connect_seconds: time to open a connection.
        service_seconds: time that a statement holds its slot.
        lag_seconds: age that an entry reaches before a replica applies it.
        lock_wait_seconds: limit of waiting for another transaction.
        leaving: whether the status says that the endpoint leaves.
    """

    connect_seconds: float = 0.01
    service_seconds: float = 0
    lag_seconds: float = 0
    lock_wait_seconds: float = 5.0
    leaving: bool = False
    _frozen: bool = False
    _partition: Partition = Partition.NONE
    _silent_below: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def frozen(self) -> bool:
        """Whether the endpoint does nothing at all."""
        return self._frozen

    @property
    def partition(self) -> Partition:
        """Whom the endpoint is cut off from."""
        return self._partition

    def freeze(self, *, frozen: bool) -> None:
        """Stops or resumes everything."""
        self._frozen = frozen
        self._wake()

    def set_partition(self, partition: Partition) -> None:
        """Cuts the endpoint off, or heals it."""
        self._partition = partition
        self._wake()

    def block_connections_below(self, below: int) -> None:
        """Makes connections with a number below this one silent for good.

        Args:
            below: number of the first connection that still works.
        """
        self._silent_below = below

    async def wait_while_blocked(self, connection: int, *, peer: bool) -> None:
        """Waits while something keeps a packet from passing.

        Args:
            connection: number of the connection.
            peer: whether the other end is an endpoint.
        """
        while self._blocks(connection, peer=peer):
            await self._changed.wait()

    def _blocks(self, connection: int, *, peer: bool) -> bool:
        side = Partition.PEERS if peer else Partition.CALLERS
        cut = self._partition in {side, Partition.ALL}
        return self._frozen or cut or connection < self._silent_below

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
