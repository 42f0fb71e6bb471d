"""What the store tells of takeovers, suspicions and stopped nodes."""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence

from cowslipfork.ids import GroupName, VmId
from cowslipfork.store import Event
from cowslipfork_direct.clock import boot_time
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
    decode,
)

log = logging.getLogger(__name__)


class CachedTakeover:
    """A takeover as it stands in the store.

    Attributes:
        takeover: the record.
        revision: its revision in the store.
        seen_at: boot time at which this revision was first seen.
    """

    def __init__(self, takeover: Takeover, revision: int) -> None:
        """Takes note of a record just seen."""
        self.takeover = takeover
        self.revision = revision
        self.seen_at = boot_time()


class TakeoverCache:
    """Records of all groups, kept current by the follower."""

    def __init__(self, on_takeover: Callable[[Takeover], None]) -> None:
        """Knows nothing yet.

        Args:
            on_takeover: told of each new state of a takeover.
        """
        self._on_takeover = on_takeover
        self._takeovers: dict[GroupName, CachedTakeover] = {}
        self._duty: tuple[Duty, int] | None = None
        self._stopped: dict[GroupName, dict[VmId, ClaimId]] = defaultdict(dict)
        self._suspicions: dict[GroupName, dict[VmId, Suspicion]] = defaultdict(
            dict,
        )
        self._change_event = asyncio.Event()

    @property
    def change_event(self) -> asyncio.Event:
        """Set by the next change; each change has an event of its own."""
        return self._change_event

    @property
    def duty(self) -> Duty | None:
        """Who gives orders; None if nobody ever did."""
        return self._duty and self._duty[0]

    @property
    def duty_revision(self) -> int:
        """Revision of the duty's record; 0 if there is none."""
        return self._duty[1] if self._duty else 0

    def takeover(self, group: GroupName) -> CachedTakeover | None:
        """Gives the last takeover of a group."""
        return self._takeovers.get(group)

    def seen_within(self, seconds: float, *, besides: GroupName) -> bool:
        """Tells whether a takeover of another group was posted lately."""
        oldest = boot_time() - seconds
        return any(
            cached.seen_at >= oldest
            for group, cached in self._takeovers.items()
            if group != besides
        )

    def suspicions(self, group: GroupName) -> Mapping[VmId, Suspicion]:
        """Gives the suspicions of a group's primary, by node."""
        return self._suspicions[group]

    def stopped(self, takeover: Takeover) -> frozenset[VmId]:
        """Gives the nodes that have stopped for a takeover."""
        return frozenset(
            node
            for node, claim in self._stopped[takeover.group].items()
            if claim == takeover.claim
        )

    def subscriptions(self) -> tuple[Subscription, ...]:
        """Gives the subscriptions that keep it current."""
        return (
            Subscription(DUTY_KEY, self.apply_events),
            Subscription(TAKEOVERS_PREFIX, self.apply_events),
            Subscription(STOPPED_PREFIX, self.apply_events),
            Subscription(SUSPECTS_PREFIX, self.apply_events),
        )

    def apply_events(self, events: Sequence[Event]) -> None:
        """Takes changes over, from a watch or a list."""
        for event in events:
            self._apply_event(event)
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
        if event.content is None:
            return
        decoded = decode(event.content, Duty)
        if decoded.is_ok():
            self._duty = (decoded.ok, event.revision)
        else:
            _log_unreadable(event.key, decoded.error)

    def _apply_takeover(self, event: Event) -> None:
        if event.content is None:
            return
        decoded = decode(event.content, Takeover)
        if decoded.is_error():
            _log_unreadable(event.key, decoded.error)
            return
        takeover = decoded.ok
        known = self._takeovers.get(takeover.group)
        if known is not None and known.revision >= event.revision:
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
        decoded = decode(event.content, Stopped)
        if decoded.is_ok():
            self._stopped[group][node] = decoded.ok.claim
        else:
            _log_unreadable(event.key, decoded.error)

    def _apply_suspicion(self, event: Event) -> None:
        group, node = _group_and_node(event.key.removeprefix(SUSPECTS_PREFIX))
        self._suspicions[group].pop(node, None)
        if event.content is None:
            return
        decoded = decode(event.content, Suspicion)
        if decoded.is_ok():
            self._suspicions[group][node] = decoded.ok
        else:
            _log_unreadable(event.key, decoded.error)


def _group_and_node(path: str) -> tuple[GroupName, VmId]:
    group, _, node = path.partition('/')
    return GroupName(group), VmId(node)


def _log_unreadable(key: str, cause: object) -> None:
    log.warning('record_unreadable', extra={'key': key, 'cause': str(cause)})
