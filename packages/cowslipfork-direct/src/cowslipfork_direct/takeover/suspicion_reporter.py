"""Tells the other nodes when this one can't reach a primary."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from cowslipfork.ids import VmId
from cowslipfork.store import LeaseId, LeasingStore, Put, StoreDown
from cowslipfork_direct.group import Group
from cowslipfork_direct.takeover.records import (
    Suspicion,
    encode,
    suspect_key,
)
from cowslipfork_direct.takeover.takeover_cache import TakeoverCache
from cowslipfork_direct.waiting import wait_for_any

log = logging.getLogger(__name__)

#: Seconds between two tries to tell.
TELL_PAUSE: Final = 0.1

#: Seconds between two looks whether a primary fails.
LOOK_PAUSE: Final = 0.5


class SuspicionReporter:
    """This node's suspicion of one group's primary."""

    def __init__(
        self,
        node: VmId,
        group: Group,
        takeover_cache: TakeoverCache,
        store: LeasingStore,
        lease: Callable[[], LeaseId | None],
    ) -> None:
        """Suspects nobody until ``run``.

        Args:
            node: this node.
            group: the group.
            takeover_cache: where other nodes' suspicions stand.
            store: where suspicions are left.
            lease: this node's lease, with which a suspicion ends.
        """
        self._node = node
        self._group = group
        self._takeover_cache = takeover_cache
        self._store = store
        self._lease = lease
        self._told: Suspicion | None = None
        self._logged: Suspicion | None = None

    @property
    def suspicion(self) -> Suspicion | None:
        """Primary that is of no use to this node now."""
        ill = self._group.failing_leader
        if ill is not None:
            return Suspicion(ill.endpoint, ill.term, ill=True)
        last = self._group.last_leader
        if last is None or self._group.leader is not None:
            return None
        endpoint = self._group.endpoints.get(last.endpoint)
        if endpoint is not None and endpoint.silent_since is None:
            return None
        return Suspicion(last.endpoint, last.term)

    async def run(self) -> None:
        """Keeps the store's record of this node's suspicion current."""
        while True:
            group_event = self._group.change_event
            takeover_event = self._takeover_cache.change_event
            self._check_others()
            suspicion = self.suspicion
            if suspicion == self._told:
                await wait_for_any(
                    group_event, takeover_event, timeout=LOOK_PAUSE
                )
            else:
                await self._tell(suspicion)

    def _check_others(self) -> None:
        """Has the primary checked that another node suspects."""
        leader = self._group.leader
        if leader is None:
            return
        suspected = Suspicion(leader.endpoint, leader.term)
        told = self._takeover_cache.suspicions(self._group.name)
        if any(suspicion == suspected for suspicion in told.values()):
            self._group.endpoints[leader.endpoint].request_check()

    def _log(self, suspicion: Suspicion | None) -> None:
        """Writes a change down, not each try to tell it."""
        if suspicion == self._logged:
            return
        self._logged = suspicion
        log.warning(
            'primary_suspected' if suspicion else 'suspicion_withdrawn',
            extra={
                'group': self._group.name,
                'endpoint': suspicion and suspicion.endpoint,
                'ill': suspicion and suspicion.ill,
            },
        )

    async def _tell(self, suspicion: Suspicion | None) -> None:
        content = encode(suspicion) if suspicion else None
        key = suspect_key(self._group.name, self._node)
        lease = self._lease() if suspicion else None
        self._log(suspicion)
        try:
            await self._store.swap((), (Put(key, content, lease),))
        except StoreDown as error:
            log.info('suspicion_delayed', extra={'cause': str(error)})
            await asyncio.sleep(TELL_PAUSE)
        else:
            self._told = suspicion
