"""The store, reached through another node while it does not answer this one."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Final, TypeVar

from cowslipfork.store import (
    Compare,
    Entry,
    Event,
    HistoryLost,
    LeaseId,
    LeaseLost,
    LeasingStore,
    Put,
    StoreDown,
    StoreUncertain,
    SwapResult,
)
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.relay import Address

log = logging.getLogger(__name__)

#: Seconds on a detour after which the direct way is tried again.
DIRECT_RETRY_INTERVAL: Final = 2.0

#: Seconds for which no detour is tried after one has failed as well: the
#: store is then likely to be away for all nodes.
DETOUR_PAUSE: Final = 2.0

#: Key that is read to see whether the store answers; it need not exist.
PROBE_KEY: Final = 'cowslipfork/probe'

_Answer = TypeVar('_Answer')


class ReroutedStore:
    """A store with a direct way and detours; any of them may fail."""

    def __init__(
        self,
        open_way: Callable[[Address | None], LeasingStore],
        relays: Callable[[], Sequence[Address]],
    ) -> None:
        """Starts on the direct way.

        Args:
            open_way: gives the store by way of a relay, or the direct way.
            relays: gives the relays of other nodes, best first.
        """
        self._open_way = open_way
        self._relays = relays
        self._direct = open_way(None)
        self._ways: dict[Address, LeasingStore] = {}
        self._relay: Address | None = None
        self._detour_since: float = 0
        self._no_detour_until: float = 0
        self._turns = itertools.count()
        self._probe: asyncio.Future[None] = asyncio.Future()
        self._probe.set_result(None)

    @property
    def relay(self) -> Address | None:
        """Relay through which calls go now; None for the direct way."""
        return self._relay

    async def get(self, key: str) -> Entry | None:
        """Reads one key; see ``Store``."""
        return await self._call(lambda store: store.get(key))

    async def list_prefix(self, prefix: str) -> tuple[Sequence[Entry], int]:
        """Reads all keys below a prefix; see ``Store``."""
        return await self._call(lambda store: store.list_prefix(prefix))

    async def swap(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
    ) -> SwapResult:
        """Writes all puts if all compares hold; see ``Store``."""
        return await self._call(lambda store: store.swap(compares, puts))

    async def watch(
        self,
        prefix: str,
        after: int,
    ) -> AsyncIterator[list[Event]]:
        """Yields changes below a prefix; see ``Store``."""
        way = self._relay
        try:
            async for batch in self._store(way).watch(prefix, after):
                yield batch
                self._check_way(way)
        except HistoryLost:
            raise
        except StoreDown:
            self._change_way(way)
            raise

    async def grant(self, ttl: float) -> LeaseId:
        """Grants a lease; see ``LeasingStore``."""
        return await self._call(lambda store: store.grant(ttl))

    async def renew(self, lease: LeaseId) -> bool:
        """Renews a lease; see ``LeasingStore``."""
        return await self._call(lambda store: store.renew(lease))

    async def end(self, lease: LeaseId) -> bool:
        """Ends a lease; see ``LeasingStore``."""
        return await self._call(lambda store: store.end(lease))

    async def _call(
        self,
        call: Callable[[LeasingStore], Awaitable[_Answer]],
    ) -> _Answer:
        """Calls on the present way; on another one if that has no effect."""
        self._look_for_direct()
        way = self._relay
        try:
            return await call(self._store(way))
        except (StoreUncertain, LeaseLost):
            self._change_way(way)
            raise
        except StoreDown:
            self._change_way(way)
            if self._relay == way:
                raise
        return await self._call_again(call)

    async def _call_again(
        self,
        call: Callable[[LeasingStore], Awaitable[_Answer]],
    ) -> _Answer:
        way = self._relay
        try:
            return await call(self._store(way))
        except StoreDown:
            self._change_way(way)
            raise

    def _store(self, way: Address | None) -> LeasingStore:
        if way is None:
            return self._direct
        if way not in self._ways:
            self._ways[way] = self._open_way(way)
        return self._ways[way]

    def _check_way(self, way: Address | None) -> None:
        """Breaks a watch off whose way has been left."""
        if way != self._relay:
            raise StoreDown('watch', 'the way has changed')

    def _look_for_direct(self) -> None:
        """Has the direct way tried beside the detour, now and then."""
        due = boot_time() > self._detour_since + DIRECT_RETRY_INTERVAL
        if self._relay and due and self._probe.done():
            self._probe = asyncio.ensure_future(self._probe_direct())

    async def _probe_direct(self) -> None:
        self._detour_since = boot_time()
        try:
            await self._direct.get(PROBE_KEY)
        except StoreDown as error:
            log.info('store_still_away', extra={'cause': str(error)})
        else:
            self._go(None)

    def _change_way(self, failed: Address | None) -> None:
        """Leaves a way that failed, unless another call has left it."""
        if failed != self._relay:
            return
        if failed is not None:
            self._no_detour_until = boot_time() + DETOUR_PAUSE
            self._go(None)
        elif boot_time() >= self._no_detour_until:
            relays = self._relays()
            if relays:
                self._go(relays[next(self._turns) % len(relays)])

    def _go(self, way: Address | None) -> None:
        if way is not None or self._relay is not None:
            log.warning(
                'store_way',
                extra={'via': way.host if way else 'direct'},
            )
        self._relay = way
        self._detour_since = boot_time()
