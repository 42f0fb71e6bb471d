"""A store client that switches to another node's relay in an outage."""

from __future__ import annotations

import asyncio
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
    WatchClosed,
)
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.relay import Address
from cowslipfork_direct.store_path import StorePath

log = logging.getLogger(__name__)

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
        self._open_store = open_store
        self._path = StorePath(relays, on_switch or _ignore_switch)
        self._direct = open_store(None)
        self._relayed: dict[Address, LeasingStore] = {}
        self._probe: asyncio.Future[None] = asyncio.Future()
        self._probe.set_result(None)

    @property
    def relay(self) -> Address | None:
        """Relay that is in use; None for the direct connection."""
        return self._path.relay

    @property
    def reaches_store(self) -> bool:
        """Whether the last call on the direct connection was answered."""
        return self._path.direct_answered

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

        A watch that was closed goes on with a new connection on the same path,
        unless that is closed before its first answer as well.
        """
        path = self._path.relay
        begun_at = boot_time()
        try:
            changes = self._store(path).watch(prefix, after, max_size)
            async for batch in changes:
                self._path.record_watch_answer(path)
                yield batch
                begun_at = boot_time()
                self._check_path(path)
        except (HistoryLost, EraEnded):
            raise
        except WatchClosed:
            if self._path.record_closed_watch(path, begun_at):
                self._start_probe()
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
        path = self._path.relay
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
            if self._path.relay == path:
                raise
        return await self._call_again(call)

    async def _call_again(
        self,
        call: Callable[[LeasingStore], Awaitable[_Result]],
    ) -> _Result:
        path = self._path.relay
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
        self._path.record_answer(path)
        return answer

    def _record_failure(self, path: Address | None, begun_at: float) -> None:
        """Switches to another path; probes the direct one beside a relay."""
        if self._path.record_failure(path, begun_at):
            self._start_probe()

    def _store(self, path: Address | None) -> LeasingStore:
        if path is None:
            return self._direct
        if path not in self._relayed:
            self._relayed[path] = self._open_store(path)
        return self._relayed[path]

    def _check_path(self, path: Address | None) -> None:
        """Ends a watch whose path is no longer in use."""
        if path != self._path.relay:
            raise StoreDown('watch', 'connection path to the store changed')

    def _probe_direct_if_due(self) -> None:
        if self._path.probe_due:
            self._start_probe()

    def _start_probe(self) -> None:
        if self._probe.done():
            self._probe = asyncio.ensure_future(self._probe_direct())

    async def _probe_direct(self) -> None:
        self._path.record_probe()
        try:
            await self._call_on(None, lambda store: store.get(PROBE_KEY))
        except StoreDown as error:
            log.info('store_probe_failed', extra={'cause': str(error)})
        else:
            self._path.use_direct()


def _ignore_switch() -> None:
    """Stands for a listener where there is none."""
