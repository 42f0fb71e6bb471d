"""Which VMs lack the configuration in force."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from cowslipfork.ids import Revision, VmId
from cowslipfork.membership.member import Member, MemberState, Report

#: Seconds for which a neighbour may lack a revision before all are told.
LAG_AFTER = 2.0


class Laggards:
    """Neighbours behind the node's own revision.

    Told to all, every change of configuration would cost every node as many
    reports as there are nodes. So only neighbours know each other's revision,
    and all are told of those that fall behind.
    """

    def __init__(self) -> None:
        """Starts without laggards."""
        self._since: dict[VmId, float] = {}

    def overdue(
        self,
        neighbours: Collection[Member],
        own: Report,
        now: float,
    ) -> list[Member]:
        """Finds the neighbours to tell all of.

        Args:
            neighbours: VMs with a link to the node.
            own: report of the node.
            now: seconds.

        Returns:
            Neighbours that are behind for long and not told of yet.
        """
        behind = {
            member.report.vm: member
            for member in neighbours
            if member.report.revision < own.revision
        }
        self._since = {vm: self._since.get(vm, now) for vm in behind}
        return [
            member
            for vm, member in behind.items()
            if now - self._since[vm] > LAG_AFTER and not member.report.lacks
        ]


def lacking(
    members: Mapping[VmId, Member],
    neighbours: Collection[VmId],
    revision: Revision,
) -> set[VmId]:
    """Names VMs that lack a revision.

    Args:
        members: VMs to look at.
        neighbours: VMs whose revision is known from their own heartbeats.
        revision: configuration that should be in force.

    Returns:
        VMs that are not gone and lack it.
    """
    return {
        vm
        for vm, member in members.items()
        if member.state is not MemberState.GONE
        and _lacks(member, vm in neighbours, revision)
    }


def _lacks(member: Member, neighbour: bool, revision: Revision) -> bool:
    if neighbour:
        return member.report.revision < revision
    return bool(member.report.lacks)
