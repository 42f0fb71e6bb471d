"""What is in force at this node: configuration, group records, VMs."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from cowslipfork.configuration import Configuration
from cowslipfork.groups import GroupRecord
from cowslipfork.ids import EndpointId, GroupName, Revision, VmId
from cowslipfork.membership import Place

#: Called after each change of what is in force.
Listener: TypeAlias = Callable[[], None]


@dataclass(frozen=True, slots=True)
class Neighbour:
    """A VM that may carry groups.

    Attributes:
        address: ``host:port`` for other nodes.
        leaving: whether it gets no new work.
    """

    place: Place
    address: str
    leaving: bool = False


class Holdings:
    """The newest of everything that this node has heard."""

    def __init__(self, configuration: Configuration) -> None:
        """Starts with an empty configuration.

        Args:
            configuration: what holds before any revision was heard.
        """
        self._configuration = configuration
        self._revision = Revision(0)
        self._records: dict[GroupName, GroupRecord] = {}
        self._neighbours: dict[VmId, Neighbour] = {}
        self._leaving_endpoints: set[EndpointId] = set()
        self._listeners: list[Listener] = []

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    @property
    def revision(self) -> Revision:
        """Revision in force; 0 before the first."""
        return self._revision

    @property
    def records(self) -> Mapping[GroupName, GroupRecord]:
        """Group records as last heard."""
        return self._records

    @property
    def neighbours(self) -> Mapping[VmId, Neighbour]:
        """VMs that may carry groups, this one included."""
        return self._neighbours

    def is_leaving(self, endpoint: EndpointId) -> bool:
        """Tells whether the platform is about to take an endpoint away.

        Args:
            endpoint: the endpoint.

        Returns:
            What the platform's list says.
        """
        return endpoint in self._leaving_endpoints

    def listen(self, listener: Listener) -> None:
        """Has a function called after each change.

        Args:
            listener: the function.
        """
        self._listeners.append(listener)

    def put_in_force(
        self,
        revision: Revision,
        configuration: Configuration,
    ) -> bool:
        """Takes a configuration over if it is newer.

        Args:
            revision: its revision.
            configuration: what it says.

        Returns:
            Whether it was newer.
        """
        newer = revision > self._revision
        if newer:
            self._revision = revision
            self._configuration = configuration
            self._changed()
        return newer

    def hear_records(self, records: Iterable[GroupRecord]) -> None:
        """Takes over every record that is newer.

        Args:
            records: records as heard.
        """
        newer = [record for record in records if self._supersedes(record)]
        self._records.update({record.group: record for record in newer})
        if newer:
            self._changed()

    def hear_endpoint(self, endpoint: EndpointId, *, leaving: bool) -> None:
        """Takes over what the platform's list says of an endpoint.

        Args:
            endpoint: the endpoint.
            leaving: whether it is about to be taken away.
        """
        if leaving:
            self._leaving_endpoints.add(endpoint)
        else:
            self._leaving_endpoints.discard(endpoint)

    def hear_neighbours(self, neighbours: Iterable[Neighbour]) -> None:
        """Replaces the VMs that may carry groups.

        Args:
            neighbours: all of them.
        """
        heard = {neighbour.place.vm: neighbour for neighbour in neighbours}
        if heard != self._neighbours:
            self._neighbours = heard
            self._changed()

    def _supersedes(self, record: GroupRecord) -> bool:
        known = self._records.get(record.group)
        return known is None or record.supersedes(known)

    def _changed(self) -> None:
        for listener in self._listeners:
            listener()
