"""Cache of the store's records of replicas that leave."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Final

from cowslipfork.ids import EndpointId, GroupName
from cowslipfork.store import Event
from cowslipfork_direct.decoding import decode_json
from cowslipfork_direct.newest_changes import NewestChanges
from cowslipfork_direct.store_watcher import Subscription
from cowslipfork_direct.takeover.records import (
    DEPARTURES_PREFIX,
    Departure,
    Departures,
)

log = logging.getLogger(__name__)

_NONE: Final[Mapping[EndpointId, Departure]] = MappingProxyType({})


class DepartureCache:
    """Departures of all groups, as the store has them.

    What is known here stays known while an older copy of the store may lack
    it: a departure too many delays a takeover, one too few loses commits.
    """

    def __init__(self) -> None:
        """Starts with an empty cache."""
        self._known: dict[GroupName, Mapping[EndpointId, Departure]] = {}
        self._stored: dict[GroupName, Mapping[EndpointId, Departure]] = {}
        self._revisions: dict[GroupName, int] = defaultdict(int)
        self._settled = True
        self._changes = NewestChanges()

    def known(self, group: GroupName) -> Mapping[EndpointId, Departure]:
        """Returns the departures of a group by endpoint."""
        return self._known.get(group, _NONE)

    def stored(self, group: GroupName) -> Mapping[EndpointId, Departure]:
        """Returns the departures that the store's record names."""
        return self._stored.get(group, _NONE)

    def revision(self, group: GroupName) -> int:
        """Returns the revision of a group's record; 0 if there is none."""
        return self._revisions[group]

    def subscription(self) -> Subscription:
        """Returns the subscription that keeps the cache current."""
        return Subscription(DEPARTURES_PREFIX, self.apply_events)

    def start_era(self) -> None:
        """Forgets revisions, which mean nothing in an older copy."""
        self._settled = False
        self._changes.clear()
        self._revisions.clear()
        self._stored.clear()

    def settle_era(self) -> None:
        """Accepts the store's records as they are again."""
        self._settled = True

    def apply_events(self, events: Sequence[Event]) -> None:
        """Applies changes that a watch, a list or an answer has told of."""
        for event in filter(self._changes.admit, events):
            self._apply(event)

    def _apply(self, event: Event) -> None:
        group = GroupName(event.key.removeprefix(DEPARTURES_PREFIX))
        if event.content is None:
            self._revisions.pop(group, None)
            self._replace(group, {})
            return
        self._revisions[group] = event.revision
        decoded = decode_json(event.content, Departures)
        if decoded.is_error():
            cause = str(decoded.error)
            log.warning(
                'record_unreadable', extra={'key': event.key, 'cause': cause}
            )
            self._stored.pop(group, None)
            return
        replicas = decoded.ok.replicas
        self._replace(group, {one.endpoint: one for one in replicas})

    def _replace(
        self, group: GroupName, stored: Mapping[EndpointId, Departure]
    ) -> None:
        self._stored[group] = stored
        before = _NONE if self._settled else self.known(group)
        self._known[group] = {**before, **stored}
