"""Aggregate of all VMs that a node knows."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TypeAlias

from expression import Error, Ok, Result

from cowslipfork.ids import Incarnation, Revision, VmId
from cowslipfork.membership.heartbeats import CUT_AFTER, HeartbeatMonitor
from cowslipfork.membership.laggards import Laggards, lacking
from cowslipfork.membership.member import (
    GoneProof,
    ListedVm,
    Listing,
    Member,
    MemberState,
    Report,
    StaleReport,
    merge,
)
from cowslipfork.membership.quorum import confirmed, contact
from cowslipfork.membership.rendezvous import VmLocation
from cowslipfork.record_sync.change_log import ChangeLog

#: Seconds of unrefuted suspicion after which a silent VM counts as gone.
CONFIRM_AFTER = 1.0

#: Seconds for which a VM proved gone is remembered, against late reports.
FORGET_AFTER = 600.0

#: Seconds for which a node with a new majority does not rely on it while VMs
#: of its region are missing. Those may still rely on theirs, and may have
#: taken over what this node carried before: longer than ``CUT_AFTER``, after
#: which they give up, plus the interval at which they check.
NEW_MAJORITY_WAIT = 2.0

_LISTED = frozenset((Listing.LIVE, Listing.LEAVING))

Observed: TypeAlias = Result[Member, StaleReport]
Watcher: TypeAlias = Callable[[Member | None, Member], None]


class Members:
    """VMs of the fleet: live, suspect, leaving or gone.

    Time is passed in, in seconds of a clock that never goes back.
    """

    def __init__(self, own: Report, now: float) -> None:
        """Starts with the node itself only.

        Args:
            own: first report of the node.
            now: seconds.
        """
        self._own = own
        self._members: dict[VmId, Member] = {}
        self._heartbeats = HeartbeatMonitor(own.vm)
        self._lagging = Laggards()
        self._changes: ChangeLog[VmId] = ChangeLog()
        self._watchers: list[Watcher] = []
        self._listed = False
        self._holds_majority = False
        self._majority_since: float | None = None
        self._ticked_at = now

    @property
    def own(self) -> Report:
        """The node's own report."""
        return self._own

    @property
    def heartbeats(self) -> HeartbeatMonitor:
        """The neighbours' heartbeats."""
        return self._heartbeats

    @property
    def changes(self) -> ChangeLog[VmId]:
        """VMs in the order of their last change worth telling."""
        return self._changes

    @property
    def others(self) -> Mapping[VmId, Member]:
        """Every other VM that is known."""
        return self._members

    def watch(self, watcher: Watcher) -> None:
        """Calls back at each change of a member, or of the own state.

        Args:
            watcher: gets the member before, None if new, and after.
        """
        self._watchers.append(watcher)

    def eligible_locations(self) -> list[VmLocation]:
        """Lists the VMs that new work may go to, with the node itself."""
        others = [
            member.report.location
            for member in self._members.values()
            if member.may_carry
        ]
        own = Member(self._own)
        return [self._own.location, *others] if own.may_carry else others

    def laggards(self, revision: Revision) -> set[VmId]:
        """Names VMs that lack a revision, as far as is known here.

        Args:
            revision: configuration that should be in force.

        Returns:
            VMs that are not gone and lack it.
        """
        return lacking(self._members, set(self._heartbeats.expected), revision)

    def next_heartbeat(self) -> Report:
        """Counts a heartbeat of the node.

        Returns:
            The node's report to send with it.
        """
        self._own = replace(self._own, beat=self._own.beat + 1)
        return self._own

    def update_own(self, own: Report) -> None:
        """Replaces what the node tells about itself.

        Args:
            own: report with changed fields; incarnation and beat are kept,
                and ``LEAVING`` is never taken back.
        """
        before = self._own
        leaving = before.state is not MemberState.LIVE
        self._own = replace(
            own,
            incarnation=before.incarnation,
            beat=before.beat + 1,
            state=before.state if leaving else own.state,
        )
        if self._own.state is not before.state:
            self._tell_watchers(Member(before), Member(self._own))

    def refresh(self, store_age: float | None) -> None:
        """Renews how old the node's knowledge of the store is.

        Args:
            store_age: seconds; None if unknown.
        """
        self._own = replace(self._own, store_age=store_age)

    def apply_heartbeat(
        self,
        report: Report,
        not_received_from: frozenset[VmId],
        now: float,
    ) -> Observed:
        """Takes in a neighbour's own report from its heartbeat.

        Args:
            report: the neighbour about itself.
            not_received_from: VMs that the neighbour should hear and does not.
            now: seconds.

        Returns:
            The member, or ``StaleReport`` when the heartbeat is old.
        """
        observed = self.apply_report(report, now)
        member = self._members.get(report.vm)
        # News of this very beat may have come by another way before.
        if member and report.incarnation == member.report.incarnation:
            self._heartbeats.note(report, not_received_from, now)
        return observed

    def apply_report(self, report: Report, now: float) -> Observed:
        """Takes in a report that another node passed on.

        Args:
            report: about any VM.
            now: seconds.

        Returns:
            The member, or ``StaleReport`` when more is known already.
        """
        if report.vm == self._own.vm:
            return self._hear_of_self(report)
        member = self._members.get(report.vm)
        if member is None:
            return Ok(self._keep(None, Member(report), now))
        joined = merge(member.report, report)
        if joined is None:
            self._refute(member, report, now)
            return Error(StaleReport(report, member.report))
        return Ok(self._keep(member, replace(member, report=joined), now))

    def mark_ended(self, vm: VmId, now: float) -> None:
        """Takes in that a process ended.

        Its open stream was reset and a fresh connection was refused, which
        only the host of an ended process answers.

        Args:
            vm: the neighbour.
            now: seconds.
        """
        self._heartbeats.lose(vm)
        member = self._members.get(vm)
        if member and member.report.state is not MemberState.GONE:
            left = member.report.state is MemberState.LEAVING
            self._bury(
                member, GoneProof.LEFT if left else GoneProof.REFUSED, now
            )

    def apply_vm_list(
        self, listed: Mapping[VmId, ListedVm], now: float
    ) -> None:
        """Joins the platform's lagging list.

        Heartbeats go first: a VM that is heard stays, and a VM that counts
        as gone stays so until a heartbeat of it comes.

        Args:
            listed: the whole list.
            now: seconds.
        """
        self._listed = True
        others = (
            entry
            for entry in listed.values()
            if entry.location.vm != self._own.vm
        )
        for entry in others:
            self._list_vm(entry, now)
        removed = [
            member
            for vm, member in self._members.items()
            if vm not in listed and member.listing in _LISTED
        ]
        for member in removed:
            self._keep(member, replace(member, listing=Listing.REMOVED), now)

    def tick(self, now: float) -> bool:
        """Draws the conclusions that only time brings.

        Args:
            now: seconds.

        Returns:
            Whether the process was stopped since the tick before, so that
            its links may hold old heartbeats and must be opened anew.
        """
        woke = now - self._ticked_at > CUT_AFTER
        self._ticked_at = now
        if woke:
            self._heartbeats.start_over(now)
        self._suspect_silent(now)
        self._confirm(now)
        for member in self._lagging.overdue(self._neighbours(), self._own, now):
            report = replace(member.report, lacks=self._own.revision)
            self._keep(member, replace(member, report=report), now)
        self._update_majority(now)
        return woke

    def has_majority(self, now: float) -> bool:
        """Tells whether the node may rely on its view of the fleet.

        Args:
            now: seconds.

        Returns:
            Whether it hears a majority of its region's VMs, and they hear it;
            for a new majority, once no other can be relied on. Before it has
            the platform's list it does not know which those are.
        """
        return (
            self._listed
            and self._holds_majority
            and now - self._ticked_at <= CUT_AFTER
        )

    def _update_majority(self, now: float) -> None:
        reached = contact(
            self._own,
            self._members,
            self._heartbeats.silent(now),
        )
        if not reached.majority:
            self._majority_since = None
        elif self._majority_since is None:
            self._majority_since = now
        self._holds_majority = self._majority_since is not None and (
            self._holds_majority
            or reached.complete
            or now - self._majority_since > NEW_MAJORITY_WAIT
        )

    def _hear_of_self(self, report: Report) -> Observed:
        own = self._own
        if report.incarnation > own.incarnation:
            # The clock that numbers starts went back; go past the old number.
            self._own = replace(
                own,
                incarnation=Incarnation(report.incarnation + 1),
            )
        elif report.incarnation == own.incarnation:
            # The next heartbeat must be newer than what is told of this node.
            self._own = replace(own, beat=max(own.beat, report.beat))
        return Error(StaleReport(report, self._own))

    def _refute(self, member: Member, report: Report, now: float) -> None:
        doubts = report.state in {MemberState.SUSPECT, MemberState.GONE}
        if not doubts or report.incarnation != member.report.incarnation:
            return
        if self._heartbeats.heard_lately(report.vm, now):
            self._changes.note(report.vm)

    def _suspect_silent(self, now: float) -> None:
        silent = [
            self._members[vm]
            for vm in self._heartbeats.doubt(now)
            if vm in self._members
        ]
        for member in silent:
            doubt = replace(
                member.report,
                state=MemberState.SUSPECT,
                witnesses=frozenset((self._own.vm,)),
            )
            self.apply_report(doubt, now)

    def _confirm(self, now: float) -> None:
        doubted = [
            member
            for member in self._members.values()
            if member.report.witnesses
        ]
        for member in doubted:
            if member.report.state is MemberState.GONE:
                continue
            if member.listing is Listing.REMOVED:
                self._bury(member, GoneProof.UNLISTED, now)
            elif now - member.changed_at > CONFIRM_AFTER and confirmed(
                member.report,
                self._own,
                self._members,
            ):
                self._bury(member, GoneProof.SILENT, now)
        self._forget(now)

    def _bury(self, member: Member, proof: GoneProof, now: float) -> None:
        report = replace(member.report, state=MemberState.GONE, proof=proof)
        self._keep(member, replace(member, report=report), now)

    def _forget(self, now: float) -> None:
        # A silent VM may be cut off rather than dead: until the platform
        # drops it, it counts in the majority of its region.
        for member in tuple(self._members.values()):
            if _forgettable(member, now):
                self._members.pop(member.report.vm)
                self._changes.forget(member.report.vm)

    def _neighbours(self) -> list[Member]:
        return [
            self._members[vm]
            for vm in self._heartbeats.expected
            if vm in self._members
        ]

    def _list_vm(self, entry: ListedVm, now: float) -> None:
        listing = Listing.LEAVING if entry.leaving else Listing.LIVE
        member = self._members.get(entry.location.vm)
        if member is None:
            unheard = Report(entry.location, entry.address, Incarnation(0))
            self._keep(None, Member(unheard, listing), now)
        elif member.listing is not listing:
            self._keep(member, replace(member, listing=listing), now)

    def _keep(self, before: Member | None, after: Member, now: float) -> Member:
        vm = after.report.vm
        if before is None or before.state is not after.state:
            after = replace(after, changed_at=now)
        self._members[vm] = after
        if before is None or _worth_telling(before, after):
            self._changes.note(vm)
        if before is None or before != after:
            self._tell_watchers(before, after)
        return after

    def _tell_watchers(self, before: Member | None, after: Member) -> None:
        for watcher in self._watchers:
            watcher(before, after)


def _forgettable(member: Member, now: float) -> bool:
    return (
        member.report.state is MemberState.GONE
        and now - member.changed_at > FORGET_AFTER
        and member.listing not in _LISTED
        and (
            member.report.proof is not GoneProof.SILENT
            or member.listing is Listing.REMOVED
        )
    )


def _worth_telling(before: Member, after: Member) -> bool:
    # Beats, revisions and ages stay between neighbours: told to all, they
    # would cost every node a share that grows with the fleet.
    return before.state is not after.state or any(
        getattr(before.report, name) != getattr(after.report, name)
        for name in (
            'incarnation',
            'address',
            'relay',
            'carries',
            'lacks',
            'witnesses',
        )
    )
