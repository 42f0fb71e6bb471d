"""Registers this node in the store and renews its lease.

Each renewal proves that nobody has ended the lease, and so that no promotion
that this node does not know of has got beyond the point at which it would wait
for this node's proofs to lapse.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from cowslipfork.ids import VmId
from cowslipfork.store import (
    LeaseId,
    LeasingStore,
    Put,
    StoreDown,
    backoff_delays,
)
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.fleet import (
    Fleet,
    Registered,
    alive_key,
    node_key,
)
from cowslipfork_direct.relay import Address

log = logging.getLogger(__name__)

#: Seconds for which a node counts as alive without a renewal.
LEASE_TTL: Final = 2.0

#: Seconds between two renewals.
RENEWAL_PAUSE: Final = 0.4

#: Bounds of the pause after a failed call, in seconds.
FIRST_PAUSE: Final = 0.1
LONGEST_PAUSE: Final = 0.5


class Registration:
    """This node's entry in the fleet."""

    def __init__(
        self,
        node: VmId,
        relay: Address,
        store: LeasingStore,
        fleet: Fleet,
        learn: Callable[[], Awaitable[None]],
        prove: Callable[[float], None],
        back: Callable[[], None],
    ) -> None:
        """Registers nothing until ``run``.

        Args:
            node: this node.
            relay: where it relays connections of others.
            store: the platform's store.
            fleet: all nodes, as the store tells.
            learn: reads all promotions under way; a lease proves nothing
                before.
            prove: told the boot time before each renewal.
            back: told when the store answers again after it did not.
        """
        self._node = node
        self._relay = relay
        self._store = store
        self._fleet = fleet
        self._learn = learn
        self._prove = prove
        self._back = back
        self._away = False
        self._lease: LeaseId | None = None
        self._incarnation = time.time_ns()

    @property
    def lease(self) -> LeaseId | None:
        """Lease of this node; None while it is not registered."""
        return self._lease

    async def run(self) -> None:
        """Registers and renews until cancelled."""
        pauses = backoff_delays(FIRST_PAUSE, LONGEST_PAUSE)
        while True:
            try:
                await self._hold_lease()
            except StoreDown as error:
                log.info('registration_delayed', extra={'cause': str(error)})
                self._away = True
                await asyncio.sleep(next(pauses))

    async def leave(self) -> None:
        """Takes the entry back, as the last thing that a node does."""
        lease = self._lease
        if lease is None:
            return
        try:
            await self._store.swap((), (Put(node_key(self._node), None),))
            await self._store.end(lease)
        except StoreDown as error:
            log.info('registration_left', extra={'cause': str(error)})

    async def _hold_lease(self) -> None:
        if self._lease is None:
            await self._register()
        while self._lease is not None:
            begun = boot_time()
            lasts = await self._store.renew(self._lease)
            self._note_answer()
            if lasts:
                self._prove(begun)
                await self._show_alive()
                await asyncio.sleep(RENEWAL_PAUSE)
            else:
                log.warning('lease_ended', extra={'lease': self._lease})
                self._lease = None

    async def _register(self) -> None:
        lease = await self._store.grant(LEASE_TTL)
        self._note_answer()
        entry = msgspec.json.encode(
            Registered(lease, self._incarnation, self._relay),
        )
        await self._store.swap(
            (),
            (
                Put(node_key(self._node), entry),
                Put(alive_key(self._node), b'', lease),
            ),
        )
        await self._learn()
        self._lease = lease
        log.info('registered', extra={'lease': lease})

    def _note_answer(self) -> None:
        if self._away:
            self._away = False
            self._back()

    async def _show_alive(self) -> None:
        """Writes the leased key again if the store has dropped it."""
        known = self._node in self._fleet.registered
        if known and self._node not in self._fleet.alive:
            key = alive_key(self._node)
            await self._store.swap((), (Put(key, b'', self._lease),))
