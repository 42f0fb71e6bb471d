"""Tracks replicas that have left and may hold commits that no other has.

A replica that is about to leave counts toward the synchronous replicas until
it ends. A commit that it has received may then be held by no other server but
the primary, until its replacement starts at its address with its log. If the
primary is lost meanwhile, no replica may be promoted that lacks such commits.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from cowslipfork.ids import EndpointId, Mark
from cowslipfork.store import Compare, Event, Put, StoreDown
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint_monitor import EndpointMonitor
from cowslipfork_direct.group import Group
from cowslipfork_direct.observed_statuses import Leader
from cowslipfork_direct.takeover.ranking import write_delay
from cowslipfork_direct.takeover.records import (
    Departure,
    Departures,
    departures_key,
    encode,
)
from cowslipfork_direct.takeover.takeover_context import TakeoverContext
from cowslipfork_direct.waiting import wait_for_any

log = logging.getLogger(__name__)

#: Seconds between two checks while the group has no synchronous replicas.
DISABLED_POLL_INTERVAL: Final = 2.0

#: Seconds between two checks of conditions that depend on time alone.
POLL_INTERVAL: Final = 0.25


@dataclass(slots=True)
class _Absence:
    """Time since a replica is not listed, and what others have to receive.

    Attributes:
        noticed_at: boot time at which it was found missing.
        leader: primary that reported the mark; None before.
        mark: mark that covers each commit that the replica may hold.
        covered: whether enough other replicas have received it.
    """

    noticed_at: float
    leader: Leader | None = None
    mark: Mark | None = None
    covered: bool = False


class DepartureTracker:
    """Tracks the departures of one group and keeps their record current.

    Only a group with synchronous replicas has departures.
    """

    def __init__(
        self,
        context: TakeoverContext,
        group: Group,
        endpoint_monitor: EndpointMonitor,
    ) -> None:
        """Starts without departures of its own; ``run`` writes them.

        Args:
            context: dependencies of a takeover's steps.
            group: the group.
            endpoint_monitor: endpoint monitor of the group.
        """
        self._context = context
        self._group = group
        self._endpoint_monitor = endpoint_monitor
        #: Departures that the store does not name yet.
        self._unrecorded: dict[EndpointId, Departure] = {}
        self._absences: dict[EndpointId, _Absence] = {}

    @property
    def awaited(self) -> frozenset[EndpointId]:
        """Replicas that have left, as long as no other one has their log."""
        departures = self._open_departures()
        return frozenset(departures.keys() - self._group.endpoints.keys())

    @property
    def _synchronous_replicas(self) -> int:
        return self._context.synchronous_replicas(self._group.name)

    async def run(self) -> None:
        """Keeps the record of the departures current until cancelled."""
        while True:
            if not self._synchronous_replicas:
                await asyncio.sleep(DISABLED_POLL_INTERVAL)
                continue
            change_event = self._group.change_event
            if self._may_write() and self._outdated_record():
                await asyncio.sleep(
                    write_delay(self._context, self._group.name)
                )
                await self._write()
            if self.awaited and self._group.leader is not None:
                await self._endpoint_monitor.inspect_all(
                    self._group.reachable_endpoints
                )
            await wait_for_any(change_event, timeout=POLL_INTERVAL)

    def _may_write(self) -> bool:
        settled = self._context.settlement.settled
        supervisors = self._context.supervisors(self._group.name)
        return settled and self._context.node in supervisors

    def _outdated_record(self) -> bool:
        stored = self._context.departure_cache.stored(self._group.name)
        return self._open_departures() != stored

    def _open_departures(self) -> Mapping[EndpointId, Departure]:
        """Returns replicas that leave, or have left and are awaited."""
        if not self._synchronous_replicas:
            return {}
        known = self._context.departure_cache.known(self._group.name)
        self._note_announcements(known)
        departures = {**known, **self._unrecorded}
        self._note_absences(departures)
        return {
            name: departure
            for name, departure in departures.items()
            if self._is_open(departure)
        }

    def _note_announcements(
        self, known: Mapping[EndpointId, Departure]
    ) -> None:
        announced = {
            endpoint.id: Departure(
                endpoint.id, endpoint.listed.host, endpoint.listed.port
            )
            for endpoint in self._group.endpoints.values()
            if endpoint.listed.leaving
        }
        self._unrecorded = {
            name: departure
            for name, departure in {**self._unrecorded, **announced}.items()
            if name not in known and self._is_open(departure)
        }

    def _note_absences(
        self, departures: Mapping[EndpointId, Departure]
    ) -> None:
        absent = departures.keys() - self._group.endpoints.keys()
        self._absences = {
            name: self._absences.get(name) or _Absence(boot_time())
            for name in absent
        }
        leader = self._group.leader
        for absence in self._absences.values():
            if leader is not None and absence.leader != leader:
                self._note_mark(absence, leader)
            absence.covered |= self._received_by_others(absence)

    def _note_mark(self, absence: _Absence, leader: Leader) -> None:
        """Notes the primary's mark if it was asked after the replica ended."""
        observed = self._group.observed_status(leader.endpoint)
        if (
            observed is not None
            and observed.begun >= absence.noticed_at
            and self._group.leader_lease.covers(observed.begun)
        ):
            absence.leader = leader
            absence.mark = observed.status.received

    def _is_open(self, departure: Departure) -> bool:
        """Returns whether a replica's log may be needed."""
        endpoint = self._group.endpoints.get(departure.endpoint)
        if endpoint is not None:
            return endpoint.listed.leaving
        absence = self._absences.get(departure.endpoint)
        covered = absence is not None and absence.covered
        return not covered and not self._is_replaced(departure)

    def _is_replaced(self, departure: Departure) -> bool:
        """Returns whether an endpoint at its address has its log."""
        return any(
            endpoint.listed.host == departure.host
            and endpoint.listed.port == departure.port
            for endpoint in self._group.endpoints.values()
        )

    def _received_by_others(self, absence: _Absence) -> bool:
        """Returns whether enough replicas have what an absent one may hold.

        Later commits are acknowledged only once other replicas have them.
        """
        leader = self._group.leader
        mark = absence.mark
        if mark is None or leader is None or leader != absence.leader:
            return False
        complete = [
            name
            for name in self._group.endpoints
            if self._group.follows(name) and self._has_received(name, mark)
        ]
        return len(complete) >= self._synchronous_replicas

    def _has_received(self, name: EndpointId, mark: Mark) -> bool:
        observed = self._group.observed_status(name)
        return observed is not None and observed.status.received >= mark

    async def _write(self) -> None:
        """Writes the departures unless another node has done so."""
        group = self._group.name
        departures = self._open_departures()
        cache = self._context.departure_cache
        if departures == cache.stored(group):
            return
        replicas = tuple(departures[name] for name in sorted(departures.keys()))
        key = departures_key(group)
        content = encode(Departures(group, replicas))
        try:
            swapped = await self._context.store.swap(
                (Compare(key, cache.revision(group)),), (Put(key, content),)
            )
        except StoreDown as error:
            log.info('departures_not_written', extra={'cause': str(error)})
            return
        if not swapped.succeeded:
            return
        cache.apply_events([Event(key, content, swapped.revision)])
        log.info(
            'departures_written',
            extra={'group': group, 'replicas': ','.join(sorted(departures))},
        )
