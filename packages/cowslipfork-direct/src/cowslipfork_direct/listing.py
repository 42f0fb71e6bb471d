"""Entries of endpoints in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass

from cowslipfork.ids import EndpointId, FailureDomain, GroupName
from cowslipfork_direct.link import EndpointRole, Target


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
