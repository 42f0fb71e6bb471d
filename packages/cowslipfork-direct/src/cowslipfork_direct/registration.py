"""Registers this node in the store and renews its lease.

A promotion ends the leases of all registered nodes and then waits until their
leader leases have lapsed. A successful renewal therefore proves that no
promotion unknown to this node has got beyond that wait, as long as the node's
entry names the lease that it renews. A write without an answer may take effect
seconds later, so each write of the entry requires the entry that this process
has read or written last.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Final

import msgspec

from cowslipfork.ids import VmId
from cowslipfork.store import (
    Compare,
    LeaseId,
    LeasingStore,
    Put,
    StoreDown,
    backoff_delays,
)
from cowslipfork_direct.carriers import UNKNOWN_TRAITS, NodeTraits
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.fleet import (
    Fleet,
    Registered,
    alive_key,
    node_key,
)
from cowslipfork_direct.relay import Address
from cowslipfork_direct.store_era import ONLY_ERA, EraTracker

log = logging.getLogger(__name__)

#: Seconds for which a node counts as alive without a renewal.
LEASE_TTL: Final = 2.0

#: Seconds between two renewals.
RENEWAL_INTERVAL: Final = 0.4

#: Upper bounds in seconds of the first delay and of any delay after a failed
#: call.
FIRST_RETRY_DELAY: Final = 0.1
MAX_RETRY_DELAY: Final = 0.5


@dataclass(frozen=True, slots=True)
class RegistrationHooks:
    """What the other parts of a node do as its registration goes on.

    Attributes:
        load_takeovers: reads all takeovers under way. Until it has done so,
            renewals of the lease prove nothing.
        on_renewed: called with the boot time before each successful renewal.
        on_store_back: called when the store answers again after an outage.
    """

    load_takeovers: Callable[[], Awaitable[None]]
    on_renewed: Callable[[float], None]
    on_store_back: Callable[[], None]


class Registration:
    """This node's entry in the store and the lease that shows it alive."""

    def __init__(
        self,
        node: VmId,
        relay: Address,
        store: LeasingStore,
        eras: EraTracker,
        fleet: Fleet,
        hooks: RegistrationHooks,
        traits: NodeTraits = UNKNOWN_TRAITS,
    ) -> None:
        """Starts without a registration; ``run`` registers the node.

        Args:
            node: this node.
            relay: address of its relay for other nodes' connections.
            store: the platform's store.
            eras: newest era of the store. A lease ends with the era in which
                it was granted: the store may give its id to another node.
            fleet: all nodes that the store lists.
            hooks: what the other parts of the node do meanwhile.
            traits: what other nodes consider when they choose carriers.
        """
        self._node = node
        self._relay = relay
        self._store = store
        self._eras = eras
        self._fleet = fleet
        self._hooks = hooks
        self._traits = traits
        self._store_down = False
        self._lease: LeaseId | None = None
        self._entry_revision: int | None = None
        self._entry_seen = False
        self._incarnation = time.time_ns()
        self._withdrawn = asyncio.Event()

    @property
    def lease(self) -> LeaseId | None:
        """Lease of this node; None while it is not registered."""
        return self._lease

    def start_era(self) -> None:
        """Gives the lease up, which the store may have given to others."""
        self._lease = None
        self._entry_revision = None

    def withdraw(self) -> None:
        """Has other nodes no longer count this one as alive.

        It stays registered and renews its lease, since it may still serve.
        """
        self._withdrawn.set()

    async def run(self) -> None:
        """Registers and renews until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._stay_registered())
            tasks.create_task(self._remove_alive_key())

    async def _stay_registered(self) -> None:
        delays = backoff_delays(FIRST_RETRY_DELAY, MAX_RETRY_DELAY)
        while True:
            try:
                await self._keep_lease()
            except StoreDown as error:
                log.info('registration_delayed', extra={'cause': str(error)})
                self._store_down = True
                await asyncio.sleep(next(delays))

    async def deregister(self) -> None:
        """Removes the entry and ends the lease.

        The node must not serve callers any more. If the store is down the
        entry stays.
        """
        lease = self._lease
        if lease is None:
            return
        try:
            await self._swap_entry((Put(node_key(self._node), None),))
            await self._store.end(lease)
        except StoreDown as error:
            log.info('deregistration_failed', extra={'cause': str(error)})

    async def _keep_lease(self) -> None:
        if self._lease is None:
            await self._register()
        while self._lease is not None:
            begun_at = boot_time()
            renewed = await self._store.renew(self._lease)
            self._record_answer()
            if renewed and self._entry_lost():
                log.warning('registration_lost', extra={'lease': self._lease})
                self._lease = None
            elif renewed:
                self._hooks.on_renewed(begun_at)
                await self._correct_alive_key()
                await asyncio.sleep(RENEWAL_INTERVAL)
            else:
                log.warning('lease_ended', extra={'lease': self._lease})
                self._lease = None

    async def _register(self) -> None:
        lease = await self._store.grant(LEASE_TTL)
        era = self._eras.current
        self._record_answer()
        entry = msgspec.json.encode(
            Registered(
                lease,
                self._incarnation,
                self._relay,
                era or ONLY_ERA,
                self._traits.failure_domain,
                self._traits.capacity,
            ),
        )
        if not await self._swap_entry(
            (Put(node_key(self._node), entry), self._alive_put(lease))
        ):
            log.info('entry_changed', extra={'lease': lease})
            return
        await self._hooks.load_takeovers()
        self._eras.ensure('register', era)
        self._lease = lease
        self._entry_seen = False
        log.info('registered', extra={'lease': lease})

    async def _swap_entry(self, puts: Sequence[Put]) -> bool:
        """Writes or removes this node's entry unless it has changed.

        Returns:
            Whether it was written; if not, the next attempt reads it anew.

        Raises:
            StoreDown: the store did not answer; the write has no effect any
                more once another attempt has succeeded.
        """
        key = node_key(self._node)
        expected = self._entry_revision
        if expected is None:
            found = await self._store.get(key)
            expected = found.revision if found else 0
        self._entry_revision = None
        swapped = await self._store.swap((Compare(key, expected),), puts)
        if swapped.succeeded:
            self._entry_revision = swapped.revision
        return swapped.succeeded

    def _entry_lost(self) -> bool:
        """Returns whether this node's entry was removed or replaced."""
        registered = self._fleet.registered.get(self._node)
        if registered is not None and registered.lease == self._lease:
            self._entry_seen = True
            return False
        return self._entry_seen

    def _record_answer(self) -> None:
        if self._store_down:
            self._store_down = False
            self._hooks.on_store_back()

    async def _correct_alive_key(self) -> None:
        """Writes the leased key again if the store has dropped the key.

        Removes it if it is still there although the node has withdrawn.
        """
        if self._lease is None or self._node not in self._fleet.registered:
            return
        wanted = not self._withdrawn.is_set()
        if wanted is not (self._node in self._fleet.alive):
            await self._store.swap((), (self._alive_put(self._lease),))

    def _alive_put(self, lease: LeaseId) -> Put:
        """Returns the write of the leased key, or its removal."""
        key = alive_key(self._node)
        if self._withdrawn.is_set():
            return Put(key, None)
        return Put(key, b'', lease)

    async def _remove_alive_key(self) -> None:
        """Removes the leased key once the node withdraws."""
        await self._withdrawn.wait()
        try:
            await self._store.swap((), (Put(alive_key(self._node), None),))
        except StoreDown as error:
            log.info('alive_key_not_removed', extra={'cause': str(error)})
