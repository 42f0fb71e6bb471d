"""When a group may move from one carrier to the next."""

from __future__ import annotations

from collections.abc import Mapping

from cowslipfork.ids import GroupName, VmId
from cowslipfork.membership.member import Member, MemberState


def holders_of(
    group: GroupName,
    members: Mapping[VmId, Member],
) -> frozenset[VmId]:
    """Names VMs that still hold a group's connections.

    A carrier that is leaving, or that another VM outranks since it joined,
    first finishes what it has begun. The next carrier waits for its report,
    so that the endpoints' limits hold, or until it counts as gone.

    Args:
        group: the group.
        members: all other VMs.

    Returns:
        VMs that are not gone and report the group as carried.
    """
    return frozenset(
        vm
        for vm, member in members.items()
        if member.state is not MemberState.GONE
        and group in member.report.carries
    )
