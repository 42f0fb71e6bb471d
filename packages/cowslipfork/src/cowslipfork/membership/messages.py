"""Translation between reports, records and their wire messages."""

from __future__ import annotations

from types import MappingProxyType

from cowslipfork.ids import (
    FailureDomain,
    GroupName,
    Incarnation,
    RegionName,
    Revision,
    VmId,
)
from cowslipfork.membership.member import GoneProof, MemberState, Report
from cowslipfork.membership.rendezvous import VmLocation
from cowslipfork.record_sync.record import HeldRecord, Version, read_record
from cowslipfork.wire import node_pb2

_STATES = MappingProxyType(
    {
        state: node_pb2.NodeState.Value(f'NODE_STATE_{state.name}')
        for state in MemberState
    },
)
_STATES_READ = MappingProxyType(
    {number: state for state, number in _STATES.items()},
)
_PROOFS = MappingProxyType(
    {
        proof: node_pb2.GoneProof.Value(f'GONE_PROOF_{proof.name}')
        for proof in GoneProof
    },
)
_PROOFS_READ = MappingProxyType(
    {number: proof for proof, number in _PROOFS.items()},
)


def report_to_wire(report: Report) -> node_pb2.NodeReport:
    """Writes a report.

    Args:
        report: about a VM.

    Returns:
        Its message.
    """
    message = node_pb2.NodeReport(
        vm=report.vm,
        incarnation=report.incarnation,
        beat=report.beat,
        state=_STATES[report.state],
        revision=report.revision,
        failure_domain=report.location.failure_domain,
        address=report.address,
        relay=report.relay,
        region=report.location.region,
        witnesses=sorted(report.witnesses),
        carries=sorted(report.carries),
        lacks=report.lacks,
        proof=_PROOFS[report.proof],
    )
    if report.store_age is not None:
        message.store_age_ms = round(report.store_age * 1000)
    return message


def report_from_wire(message: node_pb2.NodeReport) -> Report:
    """Reads a report.

    Args:
        message: as it was received.

    Returns:
        The report.
    """
    aged = message.HasField('store_age_ms')
    return Report(
        location=VmLocation(
            VmId(message.vm),
            FailureDomain(message.failure_domain),
            RegionName(message.region),
        ),
        address=message.address,
        incarnation=Incarnation(message.incarnation),
        beat=message.beat,
        state=_STATES_READ[message.state],
        revision=Revision(message.revision),
        relay=message.relay,
        store_age=message.store_age_ms / 1000 if aged else None,
        carries=frozenset(map(GroupName, message.carries)),
        lacks=Revision(message.lacks),
        witnesses=frozenset(map(VmId, message.witnesses)),
        proof=_PROOFS_READ[message.proof],
    )


def record_to_wire(record: HeldRecord) -> node_pb2.HeldRecord:
    """Writes a record.

    Args:
        record: as it is held.

    Returns:
        Its message.
    """
    return node_pb2.HeldRecord(
        key=record.key,
        content=record.content or b'',
        deleted=record.content is None,
        major=record.version.major,
        minor=record.version.minor,
    )


def record_from_wire(message: node_pb2.HeldRecord) -> HeldRecord:
    """Reads a record.

    Args:
        message: as it was received.

    Returns:
        The record, with the version that its content tells.

    Raises:
        RecordUnreadable: the content is not of the key's kind.
    """
    content = None if message.deleted else message.content
    return read_record(message.key, content, message.major)


def version_of(message: node_pb2.HeldRecord) -> Version:
    """Reads only the version of a record.

    Args:
        message: as it was received.

    Returns:
        The version that the sender told.
    """
    return Version(message.major, message.minor)
