"""Applies takeovers of a group on this node."""

from __future__ import annotations

import asyncio
import logging
from typing import Final

from cowslipfork.ids import EndpointId, VmId
from cowslipfork.store import LeasingStore, Put, StoreDown
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.group import Group
from cowslipfork_direct.observed_statuses import Leader
from cowslipfork_direct.takeover.records import (
    Stopped,
    Takeover,
    TakeoverKind,
    TakeoverPhase,
    encode,
    stopped_key,
)
from cowslipfork_direct.takeover.takeover_cache import TakeoverCache

log = logging.getLogger(__name__)

#: Seconds that statements and transactions at the old primary have to end
#: before a handover.
DRAIN_TIMEOUT: Final = 0.3

#: Seconds between two checks whether they have ended.
DRAIN_POLL_INTERVAL: Final = 0.02

#: Seconds between two attempts to acknowledge that this node has stopped.
STOP_ACK_RETRY_INTERVAL: Final = 0.1


class TakeoverHandler:
    """Applies the takeovers of one group on this node.

    Stops the use of the old primary and acknowledges that in the store.
    """

    def __init__(
        self,
        node: VmId,
        group: Group,
        takeover_cache: TakeoverCache,
        store: LeasingStore,
    ) -> None:
        """Starts without a takeover.

        Args:
            node: this node.
            group: the group.
            takeover_cache: cache of the takeover records.
            store: store to which this node's acknowledgements are written.
        """
        self._node = node
        self._group = group
        self._takeover_cache = takeover_cache
        self._store = store
        self._handled: Takeover | None = None

    def apply(self, takeover: Takeover) -> None:
        """Applies a new state of a takeover to the group at once.

        What has to wait, for open work or for the store, is done by ``run``.

        Args:
            takeover: new state of the group's takeover.
        """
        if takeover.phase is TakeoverPhase.ABANDONED:
            self._group.accept_primaries(takeover.ceiling)
        elif _allows_drain(takeover):
            self._group.pause()
        else:
            self._reject_primaries(takeover)

    def _reject_primaries(self, takeover: Takeover) -> None:
        candidate: Leader | None = None
        if takeover.candidate and takeover.phase is not TakeoverPhase.CLAIMED:
            candidate = Leader(takeover.candidate, takeover.term)
        self._group.reject_primaries(takeover.ceiling, candidate)
        if candidate is not None and takeover.phase is TakeoverPhase.DONE:
            self._group.note_leader(candidate)

    async def run(self) -> None:
        """Drains old primaries and acknowledges takeovers until cancelled."""
        while True:
            change_event = self._takeover_cache.change_event
            cached = self._takeover_cache.takeover(self._group.name)
            takeover = cached and cached.takeover
            if takeover and takeover.under_way and takeover != self._handled:
                await self._handle(takeover)
                self._handled = takeover
            else:
                await change_event.wait()

    async def _handle(self, takeover: Takeover) -> None:
        if takeover.phase is not TakeoverPhase.CLAIMED:
            return
        if _allows_drain(takeover):
            await self._drain_old_primary(takeover)
        if self._is_current(takeover):
            self._reject_primaries(takeover)
            await self._acknowledge_stop(takeover)

    async def _drain_old_primary(self, takeover: Takeover) -> None:
        """Waits until no work is left at the old primary, or times out."""
        deadline = boot_time() + DRAIN_TIMEOUT
        old = self._endpoint(takeover.old)
        busy = old is not None and old.in_use
        while busy and boot_time() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
            busy = old is not None and old.in_use

    async def _acknowledge_stop(self, takeover: Takeover) -> None:
        acknowledgement = Put(
            stopped_key(takeover.group, self._node),
            encode(Stopped(takeover.claim)),
        )
        while self._is_current(takeover):
            try:
                await self._store.swap((), (acknowledgement,))
            except StoreDown as error:
                log.info('acknowledgement_delayed', extra={'cause': str(error)})
                await asyncio.sleep(STOP_ACK_RETRY_INTERVAL)
            else:
                return

    def _endpoint(self, name: EndpointId | None) -> Endpoint | None:
        return None if name is None else self._group.endpoints.get(name)

    def _is_current(self, takeover: Takeover) -> bool:
        cached = self._takeover_cache.takeover(takeover.group)
        return (
            cached is not None
            and cached.takeover.claim == takeover.claim
            and cached.takeover.phase is takeover.phase
        )


def _allows_drain(takeover: Takeover) -> bool:
    return (
        takeover.kind is TakeoverKind.HANDOVER
        and takeover.phase is TakeoverPhase.CLAIMED
    )
