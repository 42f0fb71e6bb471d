"""Hands what spreads between nodes to the parts of this node."""

from __future__ import annotations

import logging
from collections.abc import Callable

from cowslipfork.changes.records import decode_configuration
from cowslipfork.configuration import parse_configuration
from cowslipfork.errors import CowslipforkError
from cowslipfork.groups import GroupRecord, decode_record, encode_record
from cowslipfork.groups.record import record_key
from cowslipfork.ids import EndpointId, Revision, SiteName
from cowslipfork.membership import Member, Members, MemberState
from cowslipfork.record_sync import (
    HeldRecord,
    LocalRecords,
    RecordKind,
    kind_of,
)
from cowslipfork.record_sync.record import ENDPOINTS_PREFIX, read_record
from cowslipfork.wire import records_pb2
from cowslipfork_proxy.applied_state import AppliedState, KnownVm

log = logging.getLogger(__name__)


def apply_record_updates(
    records: LocalRecords,
    applied_state: AppliedState,
    site: SiteName,
    on_applied: Callable[[Revision], None],
) -> None:
    """Puts records in force at this node as they arrive.

    Args:
        records: what spreads.
        applied_state: where the node's parts look.
        site: whose overlay applies.
        on_applied: called with each revision that was put in force.
    """

    def put(record: HeldRecord) -> None:
        kind = kind_of(record.key)
        content = record.content or b''
        try:
            if kind is RecordKind.GROUP:
                applied_state.update_records(
                    (decode_record(record.key, content),)
                )
            elif kind is RecordKind.CONFIGURATION:
                _put_configuration(record.key, content)
            elif record.key.startswith(ENDPOINTS_PREFIX):
                _put_endpoint(record.key, content)
        except CowslipforkError as error:
            log.error('record unusable', extra={'cause': str(error)})

    def _put_configuration(key: str, content: bytes) -> None:
        record = decode_configuration(key, content)
        overlay = record.overlays.get(site, '')
        parsed = parse_configuration(record.base, overlay, site)
        if parsed.is_error():
            log.error(
                'configuration unreadable',
                extra={'revision': record.revision, 'cause': parsed.error},
            )
            return
        revision = Revision(record.revision)
        if applied_state.put_in_force(revision, parsed.ok):
            log.info('configuration in force', extra={'revision': revision})
            on_applied(revision)

    def _put_endpoint(key: str, content: bytes) -> None:
        entry = records_pb2.PlatformEntry.FromString(content)
        applied_state.update_endpoint(
            EndpointId(key.removeprefix(ENDPOINTS_PREFIX)),
            leaving=entry.state == records_pb2.VM_STATE_LEAVING,
        )

    records.watch(put)


def apply_member_updates(members: Members, applied_state: AppliedState) -> None:
    """Keeps the node's list of VMs that may carry groups.

    Args:
        members: VMs of the fleet.
        applied_state: where the node's parts look.
    """

    def renew() -> None:
        applied_state.replace_known_vms(
            [
                _known_vm(Member(members.own)),
                *(
                    _known_vm(member)
                    for member in members.others.values()
                    if member.state is not MemberState.GONE
                ),
            ],
        )

    def changed(before: Member | None, after: Member) -> None:
        if before is None or _known_vm(before) != _known_vm(after):
            renew()
        elif before.state is not after.state:
            renew()

    members.watch(changed)
    renew()


def announce(records: LocalRecords, record: GroupRecord) -> None:
    """Spreads a group record that this node has written to the store.

    Args:
        records: what spreads.
        record: as it was written.
    """
    content = encode_record(record)
    records.apply(read_record(record_key(record.group), content, 0))


def _known_vm(member: Member) -> KnownVm:
    return KnownVm(
        member.report.location,
        member.report.address,
        not member.may_carry,
    )
