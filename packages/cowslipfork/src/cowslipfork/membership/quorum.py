"""Majorities within a region: who counts as gone, who may rely on its view."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from cowslipfork.ids import VmId
from cowslipfork.membership.member import (
    GoneProof,
    Listing,
    Member,
    MemberState,
    Report,
)

#: VMs of its own region that must miss a VM before it counts as gone.
CONFIRMATIONS = 2

#: Proofs that a process ended; silence alone may be a cut.
_ENDED = frozenset((GoneProof.REFUSED, GoneProof.LEFT, GoneProof.UNLISTED))


def confirmed(
    report: Report,
    own: Report,
    members: Mapping[VmId, Member],
) -> bool:
    """Tells whether enough VMs miss a silent one.

    Only VMs of its own region count: when regions lose each other, each
    region goes on, and nothing moves when they rejoin.

    Args:
        report: the silent VM, with its witnesses.
        own: report of the node that asks.
        members: all other VMs.

    Returns:
        Whether the VM counts as gone.
    """
    region = report.location.region
    able = {
        member.report.vm
        for member in members.values()
        if member.report.location.region == region
        and member.report.state is not MemberState.GONE
        and member.report.vm != report.vm
    }
    if own.location.region == region:
        able.add(own.vm)
    needed = min(CONFIRMATIONS, len(able))
    return needed > 0 and len(report.witnesses & able) >= needed


def _ended(member: Member) -> bool:
    return member.report.proof in _ENDED or (
        member.report.state is MemberState.GONE
        and member.listing is Listing.REMOVED
    )


@dataclass(frozen=True, slots=True)
class Contact:
    """Whom of its region a node is in contact with.

    Attributes:
        majority: whether more than half of the region's VMs are on the
            node's side. Of two equal halves, the one with the first VM in
            order of names is.
        complete: whether no VM of the region is missing.
    """

    majority: bool
    complete: bool


def contact(
    own: Report,
    members: Mapping[VmId, Member],
    silent: Collection[VmId],
) -> Contact:
    """Returns whom of its region a node is in contact with.

    VMs whose process is proved to have ended do not count.

    Args:
        own: report of the node.
        members: all other VMs.
        silent: neighbours out of touch with the node.
    """
    region = own.location.region
    counted = {
        member.report.vm: member.report.state
        for member in members.values()
        if member.report.location.region == region and not _ended(member)
    }
    near = {
        vm
        for vm, state in counted.items()
        if state in {MemberState.LIVE, MemberState.LEAVING} and vm not in silent
    }
    near.add(own.vm)
    total = len(counted) + 1
    if len(near) * 2 == total:
        majority = min(own.vm, *counted) in near
    else:
        majority = len(near) * 2 > total
    return Contact(majority, complete=len(near) == total)
