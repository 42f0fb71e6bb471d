"""Entries of endpoints in the platform's store."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Final

from cowslipfork.ids import EndpointId, FailureDomain, GroupName
from cowslipfork_direct.link import EndpointRole, Target

#: Most removed endpoints that are remembered.
MAX_REMOVED: Final = 1000

#: Seconds for which an endpoint stays listed after its entry has lapsed: the
#: store drops entries in an outage, and their writers write them again.
LAPSE_GRACE: Final = 3.0


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """Entry that an endpoint wrote about itself.

    Attributes:
        endpoint: its id.
        group: group that it belongs to.
        host: IP address.
        port: TCP port.
        failure_domain: failure domain that it runs in.
        slots: number of statements that it runs at once.
        leaving: whether it is about to be removed.
        role: role that it last reported; may be outdated.
        born: start of its process, in milliseconds of the platform's clock;
            another number means that it restarted and lost its state.
        warm_up: seconds for which it is slow after its start.
    """

    endpoint: EndpointId
    group: GroupName
    host: str
    port: int
    failure_domain: FailureDomain
    slots: int
    leaving: bool
    role: EndpointRole
    born: int
    warm_up: float = 0

    @property
    def target(self) -> Target:
        """Address for connections to it."""
        return Target(self.endpoint, self.group, self.host, self.port)


@dataclass(frozen=True, slots=True, eq=False)
class Lapse:
    """Removal of an entry whose endpoint has not announced that it leaves.

    Attributes:
        endpoint: the endpoint.
    """

    endpoint: EndpointId


class EndpointListing:
    """The entries of all endpoints, and which endpoints have left.

    An entry that is removed although its endpoint has not announced that it
    leaves has lapsed: the endpoint stays listed for ``LAPSE_GRACE``.

    When the store returns from an older copy, an endpoint that has left may
    stand in it again, and one that is leaving may stand in it as staying.
    """

    def __init__(self) -> None:
        """Starts without entries."""
        self._listed: dict[EndpointId, ListedEndpoint] = {}
        self._lapsed: dict[EndpointId, Lapse] = {}
        self._removed: dict[EndpointId, int] = {}

    @property
    def listed(self) -> Mapping[EndpointId, ListedEndpoint]:
        """Entries by endpoint."""
        return self._listed

    def add(self, entry: ListedEndpoint) -> None:
        """Adds an entry that its endpoint has just written."""
        self._removed.pop(entry.endpoint, None)
        self._lapsed.pop(entry.endpoint, None)
        self._listed[entry.endpoint] = entry

    def remove(self, endpoint: EndpointId) -> None:
        """Removes an endpoint's entry, if there is one."""
        removed = self._listed.pop(endpoint, None)
        self._lapsed.pop(endpoint, None)
        if removed is None:
            return
        self._removed[endpoint] = removed.born
        while len(self._removed) > MAX_REMOVED:
            self._removed.pop(next(iter(self._removed)))

    def begin_lapse(self, endpoint: EndpointId) -> Lapse | None:
        """Keeps an endpoint listed whose entry was removed from the store.

        Args:
            endpoint: the endpoint.

        Returns:
            The lapse to end after ``LAPSE_GRACE``; None if the endpoint has
            announced that it leaves, or is not listed.
        """
        known = self._listed.get(endpoint)
        if known is None or known.leaving:
            return None
        lapse = Lapse(endpoint)
        self._lapsed[endpoint] = lapse
        return lapse

    def end_lapse(self, lapse: Lapse) -> None:
        """Removes an endpoint unless its entry was written again."""
        if self._lapsed.get(lapse.endpoint) is lapse:
            self.remove(lapse.endpoint)

    def restore(self, entry: ListedEndpoint) -> None:
        """Applies an entry of a store that returned from an older copy.

        Args:
            entry: the entry. Of a process whose end is known it is ignored;
                one that is known to leave goes on leaving.
        """
        name = entry.endpoint
        if self._removed.get(name, -1) >= entry.born:
            return
        known = self._listed.get(name)
        if known is None or known.born < entry.born:
            self.add(entry)
        elif known.born == entry.born and entry.leaving:
            self._listed[name] = replace(known, leaving=True)
