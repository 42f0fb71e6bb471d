"""The platform's list of VMs, as nodes hold it."""

from __future__ import annotations

from collections.abc import Callable
from types import MappingProxyType

from cowslipfork.ids import FailureDomain, RegionName, VmId
from cowslipfork.membership.member import ListedVm
from cowslipfork.membership.rendezvous import VmLocation
from cowslipfork.record_sync.local_records import LocalRecords
from cowslipfork.record_sync.record import VMS_PREFIX
from cowslipfork.wire import records_pb2

RegionOf = Callable[[FailureDomain], RegionName]


def listed_vms(
    local_records: LocalRecords,
    region_of: RegionOf,
) -> MappingProxyType[VmId, ListedVm]:
    """Reads the platform's list.

    Args:
        local_records: records that the node holds.
        region_of: tells the region of a failure domain.

    Returns:
        VMs that the platform names.
    """
    entries = (
        records_pb2.PlatformEntry.FromString(record.content or b'')
        for record in local_records.with_prefix(VMS_PREFIX)
    )
    return MappingProxyType(
        {VmId(entry.name): _listed(entry, region_of) for entry in entries},
    )


def _listed(
    entry: records_pb2.PlatformEntry,
    region_of: RegionOf,
) -> ListedVm:
    domain = FailureDomain(entry.failure_domain)
    return ListedVm(
        VmLocation(VmId(entry.name), domain, region_of(domain)),
        f'{entry.host}:{entry.port}',
        leaving=entry.state == records_pb2.VM_STATE_LEAVING,
    )
