"""Reports to the other nodes that this node can't use a primary."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from cowslipfork.ids import VmId
from cowslipfork.store import Event, LeaseId, LeasingStore, Put, StoreDown
from cowslipfork_direct.group import Group
from cowslipfork_direct.takeover.records import (
    Suspicion,
    encode,
    suspect_key,
)
from cowslipfork_direct.takeover.takeover_cache import TakeoverCache
from cowslipfork_direct.waiting import wait_for_any

log = logging.getLogger(__name__)

#: Seconds between two attempts to write a suspicion to the store.
RETRY_INTERVAL: Final = 0.1

#: Seconds between two checks whether a primary is failing.
POLL_INTERVAL: Final = 0.5


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
        """Reports nothing until ``run``.

        Args:
            node: this node.
            group: the group.
            takeover_cache: cache of all nodes' suspicions.
            store: store to which suspicions are written.
            lease: returns this node's lease; a suspicion is removed when the
                lease ends.
        """
        self._node = node
        self._group = group
        self._takeover_cache = takeover_cache
        self._store = store
        self._lease = lease
        self._logged: Suspicion | None = None

    @property
    def suspicion(self) -> Suspicion | None:
        """Primary that this node can't use now; None without one."""
        failing = self._group.failing_leader
        if failing is not None:
            return Suspicion(failing.endpoint, failing.term, ill=True)
        last = self._group.last_leader
        if self._group.leader is not None:
            return None
        if last is None:
            return self._missing_primary()
        endpoint = self._group.endpoints.get(last.endpoint)
        lost = (
            self._group.listing_settled
            if endpoint is None
            else endpoint.unreachable_since is not None
        )
        return Suspicion(last.endpoint, last.term) if lost else None

    def _missing_primary(self) -> Suspicion | None:
        """Returns a suspicion if there is no primary to be seen.

        A primary that was lost before this process has started is named by
        nobody if all other processes were started again as well.
        """
        if not self._group.listing_settled or not self._group.only_replicas:
            return None
        return Suspicion(None, self._group.highest_term)

    @property
    def _recorded(self) -> Suspicion | None:
        """This node's suspicion in the store, as far as it is known.

        It may differ from the one that was written last: an earlier write
        without an answer may have taken effect since, or the lease has ended.
        """
        recorded = self._takeover_cache.suspicions(self._group.name)
        return recorded.get(self._node)

    async def run(self) -> None:
        """Keeps this node's suspicion in the store current until cancelled."""
        while True:
            group_event = self._group.change_event
            takeover_event = self._takeover_cache.change_event
            self._check_suspected_primary()
            suspicion = self.suspicion
            if suspicion == self._recorded:
                await wait_for_any(
                    group_event, takeover_event, timeout=POLL_INTERVAL
                )
            else:
                await self._report(suspicion)

    def _check_suspected_primary(self) -> None:
        """Requests a check of the primary if another node suspects it."""
        leader = self._group.leader
        if leader is None:
            return
        suspected = Suspicion(leader.endpoint, leader.term)
        reported = self._takeover_cache.suspicions(self._group.name)
        if any(suspicion == suspected for suspicion in reported.values()):
            self._group.endpoints[leader.endpoint].suspect()

    def _log_change(self, suspicion: Suspicion | None) -> None:
        """Logs a change of the suspicion once, however often it is retried."""
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

    async def _report(self, suspicion: Suspicion | None) -> None:
        content = encode(suspicion) if suspicion else None
        key = suspect_key(self._group.name, self._node)
        lease = self._lease() if suspicion else None
        self._log_change(suspicion)
        if suspicion and lease is None:
            # Without a lease the key would outlast this process.
            await asyncio.sleep(RETRY_INTERVAL)
            return
        try:
            swapped = await self._store.swap((), (Put(key, content, lease),))
        except StoreDown as error:
            log.info('suspicion_delayed', extra={'cause': str(error)})
            await asyncio.sleep(RETRY_INTERVAL)
        else:
            written = Event(key, content, swapped.revision)
            self._takeover_cache.apply_events([written])
