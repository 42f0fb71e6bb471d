"""Cache of the store's records of takeovers."""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence

from cowslipfork.ids import GroupName, VmId
from cowslipfork.store import Event
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.decoding import decode_json
from cowslipfork_direct.newest_changes import NewestChanges
from cowslipfork_direct.store_watcher import Subscription
from cowslipfork_direct.takeover.records import (
    DUTY_KEY,
    STOPPED_PREFIX,
    SUSPECTS_PREFIX,
    TAKEOVERS_PREFIX,
    ClaimId,
    Duty,
    Stopped,
    Suspicion,
    Takeover,
)

log = logging.getLogger(__name__)


class CachedTakeover:
    """The last takeover of a group, as read from the store.

    Attributes:
        takeover: the record.
        revision: revision of the store's record; 0 if the store has none,
            as after its return from an older copy.
        seen_at: boot time at which the takeover was first read.
        lost: whether the store has no record of it, or an older one.
    """

    def __init__(self, takeover: Takeover, revision: int) -> None:
        """Stores a record that was just read, with the current boot time."""
        self.takeover = takeover
        self.revision = revision
        self.seen_at = boot_time()
        self.lost = False


class TakeoverCache:
    """Takeovers, suspicions and stopped nodes of all groups, and the duty.

    Subscriptions of the store watcher keep it current. A takeover that is known
    here stays known when the store has lost its record: the order may have been
    sent, or carried out.
    """

    def __init__(self, on_takeover: Callable[[Takeover], None]) -> None:
        """Starts with an empty cache.

        Args:
            on_takeover: called with each new state of a takeover.
        """
        self._on_takeover = on_takeover
        self._takeovers: dict[GroupName, CachedTakeover] = {}
        self._duty: Duty | None = None
        self._duty_revision = 0
        #: Revisions of the records that can't be read.
        self._unreadable: dict[GroupName, int] = {}
        self._stopped: dict[GroupName, dict[VmId, ClaimId]] = defaultdict(dict)
        self._suspicions: dict[GroupName, dict[VmId, Suspicion]] = defaultdict(
            dict,
        )
        self._settled = True
        self._changes = NewestChanges()
        self._change_event = asyncio.Event()

    @property
    def change_event(self) -> asyncio.Event:
        """Event that the next change sets; each change replaces it."""
        return self._change_event

    @property
    def duty(self) -> Duty | None:
        """Record of the node that may order promotions; None without one."""
        return self._duty

    @property
    def duty_revision(self) -> int:
        """Revision of the duty's record, readable or not; 0 without one."""
        return self._duty_revision

    def takeover(self, group: GroupName) -> CachedTakeover | None:
        """Returns the last takeover of a group; None if there was none."""
        return self._takeovers.get(group)

    def record_revision(self, group: GroupName) -> int:
        """Returns the revision of a group's record; 0 if there is none.

        Args:
            group: the group; its record may be unreadable.
        """
        cached = self._takeovers.get(group)
        known = 0 if cached is None else cached.revision
        return max(known, self._unreadable.get(group, 0))

    def has_unreadable(self, group: GroupName) -> bool:
        """Returns whether a group's record in the store can't be read."""
        return group in self._unreadable

    def has_activity_within(
        self,
        seconds: float,
        *,
        excluding: GroupName,
    ) -> bool:
        """Returns whether a takeover of another group is or was under way.

        Args:
            seconds: greatest age of its end.
            excluding: group whose takeover does not count.
        """
        oldest = boot_time() - seconds
        return any(
            cached.takeover.under_way or cached.seen_at >= oldest
            for group, cached in self._takeovers.items()
            if group != excluding
        )

    def suspicions(self, group: GroupName) -> Mapping[VmId, Suspicion]:
        """Returns the suspicions of a group's primary, by node."""
        return self._suspicions[group]

    def stopped(self, takeover: Takeover) -> frozenset[VmId]:
        """Returns the nodes that have acknowledged a takeover's claim."""
        return frozenset(
            node
            for node, claim in self._stopped[takeover.group].items()
            if claim == takeover.claim
        )

    @property
    def lost_takeovers(self) -> tuple[CachedTakeover, ...]:
        """Takeovers of which the store has no record, or an older one."""
        return tuple(
            cached for cached in self._takeovers.values() if cached.lost
        )

    def start_era(self) -> None:
        """Forgets what only the store's lost records prove."""
        self._settled = False
        self._changes.clear()
        self._duty = None
        self._duty_revision = 0
        self._unreadable.clear()
        self._stopped.clear()
        self._suspicions.clear()
        for cached in self._takeovers.values():
            cached.revision = 0
            cached.lost = True
        self._notify_change()

    def settle_era(self) -> None:
        """Accepts the store's records as they are again."""
        self._settled = True

    def subscriptions(self) -> tuple[Subscription, ...]:
        """Returns the subscriptions that keep the cache current."""
        return (
            Subscription(DUTY_KEY, self.apply_events),
            Subscription(TAKEOVERS_PREFIX, self.apply_events),
            Subscription(STOPPED_PREFIX, self.apply_events),
            Subscription(SUSPECTS_PREFIX, self.apply_events),
        )

    def apply_events(self, events: Sequence[Event]) -> None:
        """Applies changes that a watch, a list or an answer has told of."""
        for event in filter(self._changes.admit, events):
            self._apply_event(event)
        self._notify_change()

    def _notify_change(self) -> None:
        change_event = self._change_event
        self._change_event = asyncio.Event()
        change_event.set()

    def _apply_event(self, event: Event) -> None:
        if event.key == DUTY_KEY:
            self._apply_duty(event)
        elif event.key.startswith(TAKEOVERS_PREFIX):
            self._apply_takeover(event)
        elif event.key.startswith(STOPPED_PREFIX):
            self._apply_stopped(event)
        else:
            self._apply_suspicion(event)

    def _apply_duty(self, event: Event) -> None:
        self._duty = None
        self._duty_revision = 0 if event.content is None else event.revision
        if event.content is None:
            return
        decoded = decode_json(event.content, Duty)
        if decoded.is_ok():
            self._duty = decoded.ok
        else:
            _log_unreadable(event.key, decoded.error)

    def _apply_takeover(self, event: Event) -> None:
        group = GroupName(event.key.removeprefix(TAKEOVERS_PREFIX))
        self._unreadable.pop(group, None)
        if event.content is None:
            return
        decoded = decode_json(event.content, Takeover)
        if decoded.is_error():
            self._unreadable[group] = event.revision
            _log_unreadable(event.key, decoded.error)
            return
        takeover = decoded.ok
        cached = self._takeovers.get(takeover.group)
        if cached is not None and cached.revision >= event.revision:
            return
        if cached is not None and not self._settled:
            cached.revision = event.revision
            cached.lost = cached.takeover.is_ahead_of(takeover)
            if not takeover.is_ahead_of(cached.takeover):
                # An older copy of the record proves nothing about the present.
                return
        self._takeovers[takeover.group] = CachedTakeover(
            takeover, event.revision
        )
        log.warning(
            'takeover_posted',
            extra={
                'group': takeover.group,
                'term': takeover.term,
                'kind': takeover.kind.value,
                'phase': takeover.phase.value,
                'claimer': takeover.claimer,
                'old': takeover.old,
                'candidate': takeover.candidate,
                'revision': event.revision,
            },
        )
        self._on_takeover(takeover)

    def _apply_stopped(self, event: Event) -> None:
        group, node = _group_and_node(event.key.removeprefix(STOPPED_PREFIX))
        self._stopped[group].pop(node, None)
        if event.content is None:
            return
        decoded = decode_json(event.content, Stopped)
        if decoded.is_ok():
            self._stopped[group][node] = decoded.ok.claim
        else:
            _log_unreadable(event.key, decoded.error)

    def _apply_suspicion(self, event: Event) -> None:
        group, node = _group_and_node(event.key.removeprefix(SUSPECTS_PREFIX))
        self._suspicions[group].pop(node, None)
        if event.content is None:
            return
        decoded = decode_json(event.content, Suspicion)
        if decoded.is_ok():
            self._suspicions[group][node] = decoded.ok
        else:
            _log_unreadable(event.key, decoded.error)


def _group_and_node(path: str) -> tuple[GroupName, VmId]:
    group, _, node = path.rpartition('/')
    return GroupName(group), VmId(node)


def _log_unreadable(key: str, cause: object) -> None:
    log.warning('record_unreadable', extra={'key': key, 'cause': str(cause)})
