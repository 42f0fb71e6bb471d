"""A database group: who is primary, and what proves it."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final

from cowslipfork.ids import EndpointId, GroupName, Mark, Term
from cowslipfork.limits import SlotQueue
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.leader_lease import (
    CONFIRMATION_VALIDITY,
    RENEWAL_VALIDITY,
    LeaderLease,
)
from cowslipfork_direct.link import EndpointStatus, Network
from cowslipfork_direct.listing import ListedEndpoint
from cowslipfork_direct.mark_history import MarkHistory
from cowslipfork_direct.observed_statuses import (
    Leader,
    ObservedStatus,
    ObservedStatuses,
)
from cowslipfork_direct.relay import Address

log = logging.getLogger(__name__)

#: Connections of this node to each endpoint until its share is known.
FIRST_LINKS: Final = 2

#: Connections beside its share that this node opens to each endpoint while
#: transactions rest on others.
SPARE_LINKS: Final = 3

#: Seconds for which callers wait for a primary that was lost while nobody has
#: begun to replace it.
LEADERLESS_PATIENCE: Final = 0.8


class Group:
    """Endpoints of one group and what they told."""

    def __init__(
        self,
        name: GroupName,
        network: Network,
        relays: Callable[[], Sequence[Address]],
        gap: Callable[[GroupName, float], None],
        now: Callable[[], float] = boot_time,
    ) -> None:
        """Knows no endpoint yet.

        Args:
            name: the group's name.
            network: ways to its endpoints.
            relays: gives the relays of other nodes.
            gap: told the length of each time without a known primary.
            now: clock in seconds that runs while the machine is suspended.
        """
        self.name = name
        self.queue = SlotQueue({}, SPARE_LINKS)
        self.leader_lease = LeaderLease(now)
        self.mark_history = MarkHistory()
        self._network = network
        self._relays = relays
        self._gap = gap
        self._now = now
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._observed_statuses = ObservedStatuses()
        self._leader: Leader | None = None
        self._last_leader: Leader | None = None
        self._leaderless_since = asyncio.get_running_loop().time()
        self._lease_proved_at = -math.inf
        self._ceiling = Term(0)
        self._candidate: Leader | None = None
        self._paused = False
        self._links = FIRST_LINKS
        self._changed = asyncio.Event()
        self._unknown = asyncio.Event()

    @property
    def endpoints(self) -> Mapping[EndpointId, Endpoint]:
        """Endpoints by id."""
        return self._endpoints

    @property
    def answering(self) -> list[Endpoint]:
        """Endpoints that are not silent."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.silent_since is None
        ]

    @property
    def leader(self) -> Leader | None:
        """Primary of the highest term heard of, unless it is silent."""
        return self._leader

    @property
    def accepting_leader(self) -> Leader | None:
        """Primary that takes new work; none while it is handed over."""
        return None if self._paused else self._leader

    @property
    def last_leader(self) -> Leader | None:
        """Primary that was last known, silent or not."""
        return self._last_leader

    @property
    def highest_term(self) -> Term:
        """Highest term that an endpoint was heard to be in."""
        last = self._last_leader
        told = self._observed_statuses.highest_term
        return max(told, last.term if last else Term(0))

    @property
    def majority(self) -> int:
        """Endpoints that a proof has to rest on, the primary included."""
        return len(self._endpoints) // 2 + 1

    @property
    def change_event(self) -> asyncio.Event:
        """Set by the next change; each change has an event of its own."""
        return self._changed

    @property
    def uninspected(self) -> asyncio.Event:
        """Set while there may be endpoints without a finding."""
        return self._unknown

    def observed_status(self, endpoint: EndpointId) -> ObservedStatus | None:
        """Gives what an endpoint last told; None after it was silent."""
        return self._observed_statuses.of(endpoint)

    @property
    def failing_leader(self) -> Leader | None:
        """Primary that fails while a replica does not; None otherwise."""
        leader = self._leader
        if leader is None or not self._failing(leader.endpoint):
            return None
        candidates = [
            endpoint
            for endpoint in self._endpoints.values()
            if self.follows(endpoint.id) and not endpoint.health.failing
        ]
        return leader if candidates else None

    def leads(self, endpoint: EndpointId) -> bool:
        """Tells whether an endpoint is the primary."""
        return self.leader_at(endpoint) is not None

    def leader_at(self, endpoint: EndpointId) -> Leader | None:
        """Gives the primary if it is this endpoint."""
        leader = self._leader
        return leader if leader and leader.endpoint == endpoint else None

    def follows(self, endpoint: EndpointId) -> bool:
        """Tells whether an endpoint is a replica in the primary's term."""
        leader = self._leader
        return leader is not None and self._observed_statuses.follows(
            endpoint, leader
        )

    def list_endpoints(
        self,
        listed: Iterable[ListedEndpoint],
    ) -> tuple[Endpoint, ...]:
        """Takes over what the endpoints list about themselves.

        Args:
            listed: all entries of the group.

        Returns:
            Endpoints that are new and have to be watched.
        """
        entries = {entry.endpoint: entry for entry in listed}
        for gone in self._endpoints.keys() - entries.keys():
            self._drop(gone)
        added = tuple(
            self._add(entry)
            for entry in entries.values()
            if self._is_new(entry)
        )
        for name, entry in entries.items():
            self._relist(self._endpoints[name], entry)
        self.allow(self._links)
        return added

    def allow(self, links: int) -> None:
        """Sets how many connections this node opens to each endpoint.

        Args:
            links: at least 1.
        """
        self._links = links
        self.queue.resize(dict.fromkeys(self._endpoints, links))
        for endpoint in self._endpoints.values():
            endpoint.share(links)

    def observe(
        self,
        endpoint: EndpointId,
        status: EndpointStatus,
        begun: float,
    ) -> None:
        """Takes over what an endpoint told about itself.

        Args:
            endpoint: who.
            status: what it told.
            begun: boot time before it was asked.
        """
        if endpoint not in self._endpoints:
            return
        if not self._observed_statuses.take(
            endpoint, ObservedStatus(status, begun)
        ):
            return
        self._elect()
        self._prove()
        leader = self.leader_at(endpoint)
        if leader is not None:
            self.note_mark(leader, begun, status.received)
        self._announce()

    def forget(self, endpoint: EndpointId) -> None:
        """Drops what an endpoint told, which has to be asked again."""
        self._observed_statuses.drop(endpoint)
        self._unknown.set()
        if self.leads(endpoint):
            self._lead(None)
        self._announce()

    def prove_by_lease(self, begun: float) -> None:
        """Takes a renewal of this node's lease for a proof.

        Args:
            begun: boot time before the renewal.
        """
        self._lease_proved_at = begun
        if self._leader is not None:
            self.leader_lease.extend(begun, RENEWAL_VALIDITY)

    def worth_waiting_until(self) -> float:
        """Loop time up to which it makes sense to wait for a primary.

        Without one and without a promotion under way callers are told soon,
        since other nodes may reach it.
        """
        last = self._last_leader
        expected = last is not None and self._ceiling >= last.term
        if self._leader is not None or expected:
            return math.inf
        return self._leaderless_since + LEADERLESS_PATIENCE

    def pause(self) -> None:
        """Gives the primary no new work, as before it is handed over."""
        self._paused = True

    def reject_primaries(
        self, ceiling: Term, candidate: Leader | None = None
    ) -> None:
        """Takes no primary up to a term any more, except the heir.

        Args:
            ceiling: greatest term that is barred.
            candidate: endpoint that may lead, and its least term.
        """
        self._ceiling = max(self._ceiling, ceiling)
        self._candidate = candidate
        self._paused = False
        leader = self._leader
        if leader is not None and not self._may_lead(leader):
            self._lead(None)
        self._announce()

    def note_leader(self, leader: Leader) -> None:
        """Takes note of a primary that led, though not seen from here."""
        last = self._last_leader
        if last is None or last.term < leader.term:
            self._last_leader = leader

    def accept_primaries(self) -> None:
        """Takes the old primary again, as when a promotion was given up."""
        self._ceiling = Term(0)
        self._candidate = None
        self._paused = False
        for endpoint in self._observed_statuses.endpoints:
            self.forget(endpoint)

    def note_mark(
        self,
        leader: Leader,
        begun: float,
        mark: Mark | None,
    ) -> None:
        """Takes over the mark of an answer of the primary.

        Args:
            leader: the primary that answered.
            begun: boot time before the primary was asked.
            mark: mark of the answer, if it had one.
        """
        proved = self._leader == leader and self.leader_lease.covers(begun)
        if mark is not None and proved:
            self.mark_history.add_sample(begun, mark)

    def _failing(self, name: EndpointId) -> bool:
        endpoint = self._endpoints.get(name)
        return endpoint is not None and endpoint.health.failing

    def _is_new(self, entry: ListedEndpoint) -> bool:
        known = self._endpoints.get(entry.endpoint)
        if known is not None and known.listed.born != entry.born:
            # A process that started again under its id knows nothing.
            self._drop(entry.endpoint)
            known = None
        return known is None

    def _relist(self, endpoint: Endpoint, entry: ListedEndpoint) -> None:
        """Takes over what an endpoint lists about itself now."""
        before = endpoint.listed
        endpoint.listed = entry
        if before.role is not entry.role:
            self.forget(endpoint.id)
        elif before.leaving is not entry.leaving:
            self._announce()

    def _add(self, entry: ListedEndpoint) -> Endpoint:
        endpoint = Endpoint(
            entry,
            self._network,
            self._relays,
            self._endpoint_changed,
            lambda _: self.queue.serve_waiters(),
        )
        self._endpoints[entry.endpoint] = endpoint
        self._unknown.set()
        return endpoint

    def _drop(self, name: EndpointId) -> None:
        self._endpoints.pop(name).close()
        self.forget(name)

    def _endpoint_changed(self, name: EndpointId) -> None:
        if name in self._endpoints:
            self.forget(name)

    def _elect(self) -> None:
        """Follows the primary of the highest term heard of."""
        elected = self._observed_statuses.leader(self._may_lead)
        if elected != self._leader:
            self._lead(elected)

    def _may_lead(self, leader: Leader) -> bool:
        """Tells whether the takeovers known let an endpoint lead a term."""
        candidate = self._candidate
        if candidate is not None and candidate.endpoint == leader.endpoint:
            return leader.term >= candidate.term
        return leader.term > self._ceiling

    def _lead(self, leader: Leader | None) -> None:
        self._leader = leader
        self._last_leader = leader or self._last_leader
        loop_time = asyncio.get_running_loop().time()
        if leader is not None:
            self._gap(self.name, loop_time - self._leaderless_since)
        self._leaderless_since = loop_time
        self.leader_lease.revoke()
        if leader is not None:
            # A promotion beyond this one would have had to end the lease.
            self.leader_lease.extend(self._lease_proved_at, RENEWAL_VALIDITY)
        log.warning(
            'leader_changed',
            extra={
                'group': self.name,
                'leader': leader and leader.endpoint,
                'term': leader and leader.term,
            },
        )
        self.queue.serve_waiters()

    def _prove(self) -> None:
        """Renews the proof from replicas that know of no promotion."""
        leader = self._leader
        if leader is None:
            return
        confirmed = self._observed_statuses.confirmations(leader)
        needed = self.majority - 1
        begun = self._now()
        if needed > len(confirmed):
            return
        if needed:
            begun = confirmed[needed - 1]
        self.leader_lease.extend(begun, CONFIRMATION_VALIDITY)

    def _announce(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
