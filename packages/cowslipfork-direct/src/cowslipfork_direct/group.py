"""A database group: its endpoints, its primary and the leader lease."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Final

from cowslipfork.ids import EndpointId, GroupName, Mark, Term, WorkspaceName
from cowslipfork.limits import SlotQueue
from cowslipfork_direct.activity import Activity
from cowslipfork_direct.allowed_primaries import AllowedPrimaries
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.group_endpoints import GroupEndpoints
from cowslipfork_direct.leader_lease import (
    CONFIRMATION_VALIDITY,
    RENEWAL_VALIDITY,
    LeaderLease,
)
from cowslipfork_direct.link import EndpointRole, EndpointStatus, Network
from cowslipfork_direct.link_quota import LinkQuota
from cowslipfork_direct.listing import ListedEndpoint
from cowslipfork_direct.mark_history import MarkHistory
from cowslipfork_direct.observed_statuses import (
    Leader,
    ObservedStatus,
    ObservedStatuses,
)
from cowslipfork_direct.pool_policy import may_use_another
from cowslipfork_direct.relay import Address

log = logging.getLogger(__name__)

#: Connections of this node to each endpoint until its quota is known.
INITIAL_LINKS: Final = 2

#: Connections beyond its quota that this node opens to each endpoint while
#: others are idle in transaction.
SPARE_LINKS: Final = 3

#: Seconds for which callers wait for a primary that was lost while no takeover
#: has begun.
MAX_LEADERLESS_WAIT: Final = 0.8


class Group:
    """Endpoints of one group, their reported statuses and the primary.

    Attributes:
        name: the group's name.
        queue: slots of the endpoints, with the requests that wait for them.
        leader_lease: time until which no other primary can exist.
        mark_history: marks of the primary over time.
        activity: whether this node uses the endpoints.
    """

    def __init__(
        self,
        name: GroupName,
        network: Network,
        relays: Callable[[], Sequence[Address]],
        report_gap: Callable[[GroupName, float], None],
        now: Callable[[], float] = boot_time,
        listing_known_at: Callable[[], float] = boot_time,
        drain_time: float = math.inf,
    ) -> None:
        """Starts without endpoints.

        Args:
            name: the group's name.
            network: opens connections to its endpoints.
            relays: returns the relays of other nodes, best first.
            report_gap: called with the seconds of each period without a known
                primary.
            now: clock in seconds that runs while the machine is suspended.
            listing_known_at: returns the time on that clock up to which the
                endpoints' entries are known.
            drain_time: seconds for which an endpoint that announced that it
                leaves accepts new work.
        """
        self.name = name
        self.queue = SlotQueue({}, SPARE_LINKS, may_use_another=may_use_another)
        self.leader_lease = LeaderLease(now)
        self.mark_history = MarkHistory()
        self.activity = Activity(self._begin_use, self._end_use)
        self._network = network
        self._relays = relays
        self._report_gap = report_gap
        self._now = now
        self._group_endpoints = GroupEndpoints(
            self._connect, now, listing_known_at, drain_time
        )
        self._observed_statuses = ObservedStatuses()
        self._leader: Leader | None = None
        self._last_leader: Leader | None = None
        self._leaderless_since = asyncio.get_running_loop().time()
        self._lease_renewed_at = -math.inf
        self._allowed_primaries = AllowedPrimaries()
        self._paused = False
        self._link_quota = LinkQuota(INITIAL_LINKS)
        self._changed = asyncio.Event()
        self._uninspected = asyncio.Event()

    @property
    def endpoints(self) -> Mapping[EndpointId, Endpoint]:
        """Endpoints by id."""
        return self._group_endpoints.by_id

    @property
    def reachable_endpoints(self) -> list[Endpoint]:
        """Endpoints that are reachable."""
        return self._group_endpoints.reachable

    @property
    def leader(self) -> Leader | None:
        """Primary of the highest known term; None while it is unreachable."""
        return self._leader

    @property
    def accepting_leader(self) -> Leader | None:
        """Primary for new work; None during a handover, or once drained."""
        if self._paused or self._drained_for >= 0:
            return None
        return self._leader

    @property
    def seconds_without_leader(self) -> float:
        """Seconds since the primary was lost; 0 while there is one."""
        if self._leader is not None:
            return 0
        return asyncio.get_running_loop().time() - self._leaderless_since

    @property
    def last_leader(self) -> Leader | None:
        """Primary that was last known, reachable or not."""
        return self._last_leader

    @property
    def only_replicas(self) -> bool:
        """Whether all reachable endpoints, at least one, are replicas."""
        observed = [
            self._observed_statuses.get(endpoint.id)
            for endpoint in self.reachable_endpoints
        ]
        return bool(observed) and all(
            one is not None and one.status.role is EndpointRole.REPLICA
            for one in observed
        )

    @property
    def listed_primary(self) -> EndpointId | None:
        """Endpoint whose entry says that it is the primary, if it is one."""
        return self._group_endpoints.listed_primary

    @property
    def highest_term(self) -> Term:
        """Highest term that an endpoint reported or the last primary had."""
        last = self._last_leader
        reported = self._observed_statuses.highest_term
        return max(reported, last.term if last else Term(0))

    @property
    def confirmations_needed(self) -> int:
        """Replicas that have to confirm the primary, at least one."""
        return self._group_endpoints.confirmations_needed

    @property
    def countable_endpoints(self) -> frozenset[EndpointId]:
        """Endpoints that some node may count to confirm a primary."""
        return self._group_endpoints.countable

    @property
    def listing_settled(self) -> bool:
        """Whether an endpoint that is not listed has certainly no entry."""
        return self._group_endpoints.settled

    @property
    def change_event(self) -> asyncio.Event:
        """Event set by the next change; each change has a new event."""
        return self._changed

    @property
    def uninspected(self) -> asyncio.Event:
        """Set while there may be endpoints without a known status."""
        return self._uninspected

    def observed_status(self, endpoint: EndpointId) -> ObservedStatus | None:
        """Returns an endpoint's newest status; None once it is forgotten."""
        return self._observed_statuses.get(endpoint)

    @property
    def failing_leader(self) -> Leader | None:
        """Failing primary with a healthy replica in its term; else None."""
        leader = self._leader
        if leader is None or not self._failing(leader.endpoint):
            return None
        candidates = [
            endpoint
            for endpoint in self.endpoints.values()
            if self.follows(endpoint.id) and not endpoint.health.failing
        ]
        return leader if candidates else None

    def leads(self, endpoint: EndpointId) -> bool:
        """Returns whether an endpoint is the primary."""
        return self.leader_at(endpoint) is not None

    def leader_at(self, endpoint: EndpointId) -> Leader | None:
        """Returns the primary if it is this endpoint; None otherwise."""
        leader = self._leader
        return leader if leader and leader.endpoint == endpoint else None

    def follows(self, endpoint: EndpointId) -> bool:
        """Returns whether an endpoint is a replica in the primary's term."""
        leader = self._leader
        return leader is not None and self._observed_statuses.follows(
            endpoint, leader
        )

    def held_replicas(self, since: float) -> list[Endpoint]:
        """Returns reachable replicas that are held above the primary's term.

        Args:
            since: boot time before which statuses prove nothing.
        """
        leader = self._leader
        if leader is None:
            return []
        return [
            endpoint
            for endpoint in self.reachable_endpoints
            if self._observed_statuses.is_held(endpoint.id, leader, since)
        ]

    def update_endpoints(
        self,
        listed: Iterable[ListedEndpoint],
    ) -> tuple[Endpoint, ...]:
        """Applies the endpoints' entries in the store.

        Args:
            listed: all entries of the group.

        Returns:
            Endpoints that are new and must be watched.
        """
        changes = self._group_endpoints.update(listed)
        if changes.added:
            self._uninspected.set()
        for name in changes.dropped:
            self.forget(name)
        for name, role in changes.new_roles.items():
            # The status of the present primary may be newer than its entry.
            if role is not EndpointRole.PRIMARY or not self.leads(name):
                self.forget(name)
        if changes.leaving_changed:
            self._notify_change()
        self.set_link_quota(self._link_quota)
        return changes.added

    def set_link_quota(self, quota: LinkQuota) -> None:
        """Sets the connection quota of this node at each endpoint."""
        self._link_quota = quota
        links = quota.links
        beyond = SPARE_LINKS if quota.statements_at_once is None else 0
        slots = min(links, quota.statements_at_once or links)
        self.queue.resize(
            dict.fromkeys(self.endpoints, slots), links + beyond - slots
        )
        kept = min(links, quota.kept or links)
        for endpoint in self.endpoints.values():
            endpoint.pool.set_quota(kept, links + beyond - kept)

    def retire_connections(self, workspaces: Collection[WorkspaceName]) -> None:
        """Closes connections of workspaces, those in use once returned.

        Args:
            workspaces: workspaces whose keys were all withdrawn.
        """
        for endpoint in self.endpoints.values():
            endpoint.pool.retire(workspaces)

    def observe(
        self,
        endpoint: EndpointId,
        status: EndpointStatus,
        begun: float,
    ) -> None:
        """Applies a status unless a newer one of the endpoint is known.

        Args:
            endpoint: the endpoint that reported it.
            status: the status.
            begun: boot time just before the request.
        """
        if endpoint not in self.endpoints:
            return
        if not self._observed_statuses.update(
            endpoint, ObservedStatus(status, begun)
        ):
            return
        self._update_leader()
        self._extend_leader_lease()
        leader = self.leader_at(endpoint)
        if leader is not None:
            self.note_leading(leader, begun)
            self.note_mark(leader, begun, status.received)
        self._notify_change()

    def forget(self, endpoint: EndpointId) -> None:
        """Removes an endpoint's status, which must be requested again."""
        self._observed_statuses.remove(endpoint)
        self._uninspected.set()
        if self.leads(endpoint):
            self._set_leader(None)
        self._notify_change()

    def extend_lease_on_renewal(self, begun: float) -> None:
        """Extends the leader lease after a renewal of this node's lease.

        Args:
            begun: boot time just before the renewal in the store.
        """
        self._lease_renewed_at = begun
        self._extend_lease_by_renewal()

    def max_wait_until(self) -> float:
        """Loop time up to which it makes sense to wait for a primary.

        Without a primary and without a promotion under way callers get an
        error soon, since other nodes may reach the primary.
        """
        loop_time = asyncio.get_running_loop().time()
        if self._drained_for >= 0:
            return loop_time + MAX_LEADERLESS_WAIT - self._drained_for
        last = self._last_leader
        expected = last is not None and self._allowed_primaries.rejects(
            last.term
        )
        if self._leader is not None or expected:
            return math.inf
        return self._leaderless_since + MAX_LEADERLESS_WAIT

    @property
    def _drained_for(self) -> float:
        """Seconds since the primary accepts no more work; negative before."""
        leader = self._leader
        if leader is None:
            return -math.inf
        drained_at = self._group_endpoints.drained_at(leader.endpoint)
        return self._now() - drained_at

    def pause(self) -> None:
        """Sends the primary no new work, for example before a handover."""
        self._paused = True

    def reject_primaries(
        self, ceiling: Term, candidate: Leader | None = None
    ) -> None:
        """Rejects primaries up to a term, except the candidate.

        Args:
            ceiling: greatest term that is rejected.
            candidate: candidate that may become primary, and its lowest term.
        """
        self._allowed_primaries.reject(ceiling, candidate)
        self._paused = False
        leader = self._leader
        if leader is not None and not self._allowed_primaries.allows(leader):
            self._set_leader(None)
        self._notify_change()

    def note_leader(self, leader: Leader) -> None:
        """Records a primary that this node may not have reached itself."""
        last = self._last_leader
        if last is None or last.term < leader.term:
            self._last_leader = leader

    def accept_primaries(self, lowest: Term) -> None:
        """Accepts the old primary again, as after an abandoned promotion.

        Args:
            lowest: lowest term that is accepted.
        """
        self._allowed_primaries.allow_from(lowest)
        self._paused = False
        for endpoint in self._observed_statuses.endpoints:
            # The primary was not rejected if it was only to be drained.
            if not self.leads(endpoint):
                self.forget(endpoint)

    def note_leading(self, leader: Leader, begun: float) -> None:
        """Notes that a primary has shown that it leads its term.

        Its status shows it, and so does work that a replica refuses.

        Args:
            leader: the primary that answered.
            begun: boot time just before the request.
        """
        if self._leader == leader:
            self.leader_lease.note_leading(begun)

    def note_mark(
        self,
        leader: Leader,
        begun: float,
        mark: Mark | None,
    ) -> None:
        """Stores the mark in a primary's answer if the leader lease covers it.

        Args:
            leader: the primary that answered.
            begun: boot time just before the request.
            mark: mark in the answer, if it had one.
        """
        covered = self._leader == leader and self.leader_lease.covers(begun)
        if mark is not None and covered:
            self.mark_history.add_sample(begun, mark)

    def _begin_use(self) -> None:
        self._leaderless_since = asyncio.get_running_loop().time()
        self._uninspected.set()

    def _end_use(self) -> None:
        """Closes idle connections and forgets statuses, which grow old."""
        for endpoint in self.endpoints.values():
            endpoint.drop_idle()
            self.forget(endpoint.id)

    def _failing(self, name: EndpointId) -> bool:
        endpoint = self.endpoints.get(name)
        return endpoint is not None and endpoint.health.failing

    def _connect(self, entry: ListedEndpoint) -> Endpoint:
        return Endpoint(
            entry,
            self._network,
            self._relays,
            self._endpoint_changed,
            lambda _: self.queue.serve_waiters(),
        )

    def _endpoint_changed(self, name: EndpointId) -> None:
        if name in self.endpoints:
            self.forget(name)

    def _update_leader(self) -> None:
        """Switches to the primary of the highest known term."""
        chosen = self._observed_statuses.leader(self._allowed_primaries.allows)
        if chosen != self._leader:
            self._set_leader(chosen)

    def _set_leader(self, leader: Leader | None) -> None:
        self._leader = leader
        self._last_leader = leader or self._last_leader
        loop_time = asyncio.get_running_loop().time()
        if leader is not None:
            self._report_gap(self.name, loop_time - self._leaderless_since)
        self._leaderless_since = loop_time
        self.leader_lease.revoke()
        self._extend_lease_by_renewal()
        log.warning(
            'leader_changed',
            extra={
                'group': self.name,
                'leader': leader and leader.endpoint,
                'term': leader and leader.term,
            },
        )
        self.queue.serve_waiters()

    def _extend_lease_by_renewal(self) -> None:
        """Extends the leader lease from the last renewal in the store.

        A promotion after the present one would first have ended the store's
        lease. That proves nothing about a takeover that this node knows of and
        has not acknowledged yet, as while it lets open work end.
        """
        if self._leader is not None and not self._paused:
            self.leader_lease.extend(self._lease_renewed_at, RENEWAL_VALIDITY)

    def _extend_leader_lease(self) -> None:
        """Extends the leader lease if enough replicas saw no promotion."""
        leader = self._leader
        if leader is None:
            return
        confirmed = self._observed_statuses.confirmation_times(leader)
        needed = self.confirmations_needed
        if needed <= len(confirmed):
            begun = confirmed[needed - 1]
            self.leader_lease.confirm(begun, CONFIRMATION_VALIDITY)

    def _notify_change(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
