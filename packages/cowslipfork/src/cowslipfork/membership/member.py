"""What a node knows and tells about a VM."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum, unique

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import GroupName, Incarnation, Revision, VmId
from cowslipfork.membership.rendezvous import VmLocation


@unique
class MemberState(Enum):
    """Liveness of a VM as a node sees it."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    GONE = 'gone'


@unique
class Listing(Enum):
    """What the platform's lagging list says of a VM."""

    UNKNOWN = 'unknown'
    LIVE = 'live'
    LEAVING = 'leaving'
    REMOVED = 'removed'


@unique
class GoneProof(Enum):
    """Why a VM counts as gone."""

    NONE = 'none'
    REFUSED = 'refused'
    SILENT = 'silent'
    LEFT = 'left'
    UNLISTED = 'unlisted'


@dataclass(frozen=True, slots=True)
class Report:
    """A statement about a VM, by itself or by a VM that watches it.

    Attributes:
        location: where the VM runs.
        address: ``host:port`` for other nodes.
        incarnation: number of the start of its process.
        beat: number of its heartbeat that the report rests on.
        state: its liveness.
        revision: configuration in force there.
        relay: whether it watches the store.
        store_age: seconds since it knew to be level with the store.
        carries: groups whose connections it holds.
        lacks: revision that a neighbour misses there; 0 if none.
        witnesses: VMs that no longer hear it.
        proof: why it is gone.
    """

    location: VmLocation
    address: str
    incarnation: Incarnation
    beat: int = 0
    state: MemberState = MemberState.LIVE
    revision: Revision = Revision(0)
    relay: bool = False
    store_age: float | None = None
    carries: frozenset[GroupName] = frozenset()
    lacks: Revision = Revision(0)
    witnesses: frozenset[VmId] = frozenset()
    proof: GoneProof = GoneProof.NONE

    @property
    def vm(self) -> VmId:
        """The VM that the report is about."""
        return self.location.vm


@dataclass(frozen=True, slots=True)
class Member:
    """A VM as the aggregate ``Members`` keeps it.

    Attributes:
        report: the newest report that was not refused.
        listing: what the platform says.
        changed_at: seconds, when its state changed last.
    """

    report: Report
    listing: Listing = Listing.UNKNOWN
    changed_at: float = 0

    @property
    def state(self) -> MemberState:
        """Liveness, joined from reports and the platform's list."""
        told = self.report.state
        if told is MemberState.LIVE and self.listing is Listing.LEAVING:
            return MemberState.LEAVING
        return told

    @property
    def may_carry(self) -> bool:
        """Whether new work goes to this VM."""
        return (
            self.report.state in {MemberState.LIVE, MemberState.SUSPECT}
            and self.listing is not Listing.LEAVING
        )


@dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM in the platform's list.

    Attributes:
        address: ``host:port`` for other nodes.
        leaving: whether the platform is about to take it away.
    """

    location: VmLocation
    address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """What a neighbour said in its newest heartbeat.

    Attributes:
        at: seconds, when it came.
        order: incarnation and beat of the heartbeat.
        not_received_from: VMs that the neighbour should hear and does not.
    """

    at: float
    order: tuple[int, int]
    not_received_from: frozenset[VmId] = field(default_factory=frozenset)


class StaleReport(CowslipforkError):
    """A report is older than what is known of the VM."""

    def __init__(self, report: Report, known: Report) -> None:
        """Remembers both.

        Args:
            report: the refused report.
            known: what is known.
        """
        super().__init__(
            f'report on {report.vm} at {report.incarnation}.{report.beat} '
            f'is older than {known.incarnation}.{known.beat}',
        )
        self.report = report
        self.known = known


def merge(known: Report, report: Report) -> Report | None:
    """Joins a report into what is known of the same VM.

    A later incarnation replaces all. Within an incarnation the higher beat
    is newer; ``LEAVING`` is final but for ``GONE``, and a VM that counts as
    gone comes back with a heartbeat after the one that the verdict rests on.

    Args:
        known: what is known.
        report: what was received.

    Returns:
        The joined report, or None when the received one is stale.
    """
    if report.incarnation != known.incarnation:
        return report if report.incarnation > known.incarnation else None
    if report.state in {MemberState.SUSPECT, MemberState.GONE}:
        return _doubt(known, report)
    if report.beat <= known.beat:
        return None
    if known.proof is GoneProof.LEFT:
        return None
    lacks = max(known.lacks, report.lacks)
    leaving = known.state is MemberState.LEAVING
    return replace(
        report,
        state=MemberState.LEAVING if leaving else report.state,
        lacks=lacks if lacks > report.revision else Revision(0),
    )


def _doubt(known: Report, report: Report) -> Report | None:
    if report.beat < known.beat or known.state is MemberState.GONE:
        return None
    if report.state is MemberState.GONE:
        return report
    witnesses = known.witnesses | report.witnesses
    if witnesses == known.witnesses and report.beat == known.beat:
        return None
    leaving = known.state is MemberState.LEAVING
    return replace(
        report,
        state=MemberState.LEAVING if leaving else MemberState.SUSPECT,
        witnesses=witnesses,
    )
