"""What is in force at this node: configuration, group records, VMs."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from cowslipfork.configuration import Configuration
from cowslipfork.groups import GroupRecord
from cowslipfork.ids import EndpointId, GroupName, Revision, VmId
from cowslipfork.membership import VmLocation

#: Called after each change of what is in force.
Listener: TypeAlias = Callable[[], None]


@dataclass(frozen=True, slots=True)
class KnownVm:
    """A VM that may carry groups.

    Attributes:
        address: ``host:port`` for other nodes.
        leaving: whether it gets no new work.
    """

    location: VmLocation
    address: str
    leaving: bool = False


class AppliedState:
    """The newest of everything that this node has heard."""

    def __init__(self, configuration: Configuration) -> None:
        """Starts with an empty configuration.

        Args:
            configuration: what holds before any revision was heard.
        """
        self._configuration = configuration
        self._revision = Revision(0)
        self._records: dict[GroupName, GroupRecord] = {}
        self._known_vms: dict[VmId, KnownVm] = {}
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
    def known_vms(self) -> Mapping[VmId, KnownVm]:
        """VMs that may carry groups, this one included."""
        return self._known_vms

    def is_leaving(self, endpoint: EndpointId) -> bool:
        """Tells whether the platform is about to take an endpoint away.

        Args:
            endpoint: the endpoint.

        Returns:
            What the platform's list says.
        """
        return endpoint in self._leaving_endpoints

    def add_listener(self, listener: Listener) -> None:
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

    def update_records(self, records: Iterable[GroupRecord]) -> None:
        """Takes over every record that is newer.

        Args:
            records: records as heard.
        """
        newer = [record for record in records if self._supersedes(record)]
        self._records.update({record.group: record for record in newer})
        if newer:
            self._changed()

    def update_endpoint(self, endpoint: EndpointId, *, leaving: bool) -> None:
        """Takes over what the platform's list says of an endpoint.

        Args:
            endpoint: the endpoint.
            leaving: whether it is about to be taken away.
        """
        if leaving:
            self._leaving_endpoints.add(endpoint)
        else:
            self._leaving_endpoints.discard(endpoint)

    def replace_known_vms(self, known_vms: Iterable[KnownVm]) -> None:
        """Replaces the VMs that may carry groups.

        Args:
            known_vms: all of them.
        """
        heard = {known_vm.location.vm: known_vm for known_vm in known_vms}
        if heard != self._known_vms:
            self._known_vms = heard
            self._changed()

    def _supersedes(self, record: GroupRecord) -> bool:
        known = self._records.get(record.group)
        return known is None or record.supersedes(known)

    def _changed(self) -> None:
        for listener in self._listeners:
            listener()
