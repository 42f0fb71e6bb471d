"""A store client that switches to another node's relay in an outage."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Final, TypeVar

from cowslipfork.store import (
    Compare,
    Entry,
    EraEnded,
    Event,
    HistoryLost,
    LeaseId,
    LeaseLost,
    LeasingStore,
    Put,
    StoreDown,
    StoreUncertain,
    SwapResult,
    WatchCut,
)
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.relay import Address

log = logging.getLogger(__name__)

#: Seconds between two probes of the direct connection while a relay is used.
DIRECT_RETRY_INTERVAL: Final = 2.0

#: Seconds for which no relay is used after one has failed as well: the store
#: is then likely to be down for all nodes.
RELAY_RETRY_INTERVAL: Final = 2.0

#: Relays that are tried one after the other before the pause.
MAX_RELAYS_IN_A_ROW: Final = 3

#: Key that is read to check whether the store answers; it need not exist.
PROBE_KEY: Final = 'cowslipfork/probe'

_Result = TypeVar('_Result')


class ReroutedStore:
    """A store that is called directly or, if that fails, through a relay."""

    def __init__(
        self,
        open_store: Callable[[Address | None], LeasingStore],
        relays: Callable[[], Sequence[Address]],
        on_switch: Callable[[], None] | None = None,
    ) -> None:
        """Starts with the direct connection.

        Args:
            open_store: returns a client of the store that uses the given
                relay, or a direct connection for None.
            relays: returns the relays of other nodes, best first.
            on_switch: if given, called when another path has come into use;
                a watch on the one before may never be answered.
        """
        self._on_switch = on_switch
        self._open_store = open_store
        self._relays = relays
        self._direct = open_store(None)
        self._relayed: dict[Address, LeasingStore] = {}
        self._relay: Address | None = None
        self._last_switch_or_probe: float = 0
        self._no_relay_until: float = 0
        self._relays_failed = 0
        self._direct_answered = False
        self._last_answers: dict[Address | None, float] = {}
        self._cut_before = False
        self._rotation = itertools.count()
        self._probe: asyncio.Future[None] = asyncio.Future()
        self._probe.set_result(None)

    @property
    def relay(self) -> Address | None:
        """Relay that is in use; None for the direct connection."""
        return self._relay

    @property
    def reaches_store(self) -> bool:
        """Whether the last call on the direct connection was answered."""
        return self._direct_answered

    async def get(self, key: str) -> Entry | None:
        """Reads one key; see ``Store``."""
        return await self._call(lambda store: store.get(key))

    async def list_prefix(self, prefix: str) -> tuple[Sequence[Entry], int]:
        """Reads all keys with a prefix; see ``Store``."""
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
        max_size: int | None = None,
    ) -> AsyncIterator[list[Event]]:
        """Yields changes of keys with a prefix; see ``Store``.

        A watch that was cut goes on with a new connection on the same path,
        unless that is cut before its first answer as well.
        """
        path = self._relay
        begun_at = boot_time()
        try:
            changes = self._store(path).watch(prefix, after, max_size)
            async for batch in changes:
                self._cut_before = False
                self._record_answer(path)
                yield batch
                begun_at = boot_time()
                self._check_path(path)
        except (HistoryLost, EraEnded):
            raise
        except WatchCut:
            self._record_cut(path, begun_at)
            raise
        except StoreDown:
            self._record_failure(path, begun_at)
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
        call: Callable[[LeasingStore], Awaitable[_Result]],
    ) -> _Result:
        """Calls the store, and again on another path if that is safe.

        A call that may have had an effect is not repeated.
        """
        self._probe_direct_if_due()
        path = self._relay
        begun_at = boot_time()
        try:
            return await self._call_on(path, call)
        except EraEnded:
            raise
        except (StoreUncertain, LeaseLost):
            self._record_failure(path, begun_at)
            raise
        except StoreDown:
            self._record_failure(path, begun_at)
            if self._relay == path:
                raise
        return await self._call_again(call)

    async def _call_again(
        self,
        call: Callable[[LeasingStore], Awaitable[_Result]],
    ) -> _Result:
        path = self._relay
        begun_at = boot_time()
        try:
            return await self._call_on(path, call)
        except StoreDown:
            self._record_failure(path, begun_at)
            raise

    async def _call_on(
        self,
        path: Address | None,
        call: Callable[[LeasingStore], Awaitable[_Result]],
    ) -> _Result:
        answer = await call(self._store(path))
        self._record_answer(path)
        return answer

    def _record_answer(self, path: Address | None) -> None:
        self._last_answers[path] = boot_time()
        if path is None:
            self._direct_answered = True
        else:
            self._relays_failed = 0

    def _record_failure(self, path: Address | None, begun_at: float) -> None:
        """Switches to another path unless this one is known to work.

        Args:
            path: path of the call that failed.
            begun_at: boot time at which it began. If the path has answered
                another call since, only the call's connection is dead.
        """
        if self._last_answers.get(path, float('-inf')) <= begun_at:
            self._switch_path(path)

    def _record_cut(self, path: Address | None, begun_at: float) -> None:
        """Switches to another path after two cuts without an answer."""
        if self._cut_before:
            self._record_failure(path, begun_at)
        self._cut_before = not self._cut_before

    def _store(self, path: Address | None) -> LeasingStore:
        if path is None:
            return self._direct
        if path not in self._relayed:
            self._relayed[path] = self._open_store(path)
        return self._relayed[path]

    def _check_path(self, path: Address | None) -> None:
        """Ends a watch whose path is no longer in use."""
        if path != self._relay:
            raise StoreDown('watch', 'connection path to the store changed')

    def _probe_direct_if_due(self) -> None:
        """Starts a probe of the direct connection if one is due."""
        due = boot_time() > self._last_switch_or_probe + DIRECT_RETRY_INTERVAL
        if self._relay and due:
            self._start_probe()

    def _start_probe(self) -> None:
        if self._probe.done():
            self._probe = asyncio.ensure_future(self._probe_direct())

    async def _probe_direct(self) -> None:
        self._last_switch_or_probe = boot_time()
        try:
            await self._call_on(None, lambda store: store.get(PROBE_KEY))
        except StoreDown as error:
            log.info('store_probe_failed', extra={'cause': str(error)})
        else:
            self._use_path(None)

    def _switch_path(self, failed: Address | None) -> None:
        """Switches to another path, unless another call has done so."""
        if failed is None:
            self._direct_answered = False
        if failed != self._relay:
            return
        if failed is not None:
            self._relays_failed += 1
        relays = self._relays()
        if self._relays_failed >= min(MAX_RELAYS_IN_A_ROW, len(relays)):
            self._pause_relays()
        elif boot_time() >= self._no_relay_until:
            self._use_path(relays[next(self._rotation) % len(relays)])
            self._start_probe()

    def _pause_relays(self) -> None:
        """Uses the direct connection, and no relay for some time."""
        if self._relays_failed:
            self._no_relay_until = boot_time() + RELAY_RETRY_INTERVAL
        self._relays_failed = 0
        self._use_path(None)

    def _use_path(self, path: Address | None) -> None:
        before = self._relay
        self._relay = path
        self._last_switch_or_probe = boot_time()
        if path != before:
            log.warning(
                'store_way',
                extra={'via': path.host if path else 'direct'},
            )
            if self._on_switch is not None:
                self._on_switch()
