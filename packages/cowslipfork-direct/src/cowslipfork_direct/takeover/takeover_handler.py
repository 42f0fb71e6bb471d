"""What a node does when a takeover of a group is posted."""

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

#: Seconds that statements and transactions at the old primary get to end
#: before a handover.
WIND_DOWN: Final = 0.3

#: Seconds between two looks whether they have ended.
WIND_DOWN_STEP: Final = 0.02

#: Seconds between two tries to say that this node has stopped.
WORD_PAUSE: Final = 0.1


class TakeoverHandler:
    """Follows the takeovers of one group."""

    def __init__(
        self,
        node: VmId,
        group: Group,
        takeover_cache: TakeoverCache,
        store: LeasingStore,
    ) -> None:
        """Reacts to nothing until ``run``.

        Args:
            node: this node.
            group: the group.
            takeover_cache: where takeovers are posted.
            store: where this node's word is left.
        """
        self._node = node
        self._group = group
        self._takeover_cache = takeover_cache
        self._store = store
        self._answered: Takeover | None = None

    def apply(self, takeover: Takeover) -> None:
        """Applies at once what must not wait.

        Args:
            takeover: new state of the group's takeover.
        """
        if takeover.phase is TakeoverPhase.ABANDONED:
            self._group.accept_primaries()
        elif _lets_wind_down(takeover):
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
        """Reacts until cancelled."""
        while True:
            change_event = self._takeover_cache.change_event
            cached = self._takeover_cache.takeover(self._group.name)
            takeover = cached and cached.takeover
            if takeover and takeover.under_way and takeover != self._answered:
                await self._react(takeover)
                self._answered = takeover
            else:
                await change_event.wait()

    async def _react(self, takeover: Takeover) -> None:
        if takeover.phase is not TakeoverPhase.CLAIMED:
            return
        if _lets_wind_down(takeover):
            await self._wind_down(takeover)
        if self._is_current(takeover):
            self._reject_primaries(takeover)
            await self._say_stopped(takeover)

    async def _wind_down(self, takeover: Takeover) -> None:
        """Lets work at the old primary end."""
        until = boot_time() + WIND_DOWN
        old = self._endpoint(takeover.old)
        working = old is not None and old.in_use
        while working and boot_time() < until:
            await asyncio.sleep(WIND_DOWN_STEP)
            working = old is not None and old.in_use

    async def _say_stopped(self, takeover: Takeover) -> None:
        word = Put(
            stopped_key(takeover.group, self._node),
            encode(Stopped(takeover.claim)),
        )
        while self._is_current(takeover):
            try:
                await self._store.swap((), (word,))
            except StoreDown as error:
                log.info('word_delayed', extra={'cause': str(error)})
                await asyncio.sleep(WORD_PAUSE)
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


def _lets_wind_down(takeover: Takeover) -> bool:
    return (
        takeover.kind is TakeoverKind.HANDOVER
        and takeover.phase is TakeoverPhase.CLAIMED
    )
