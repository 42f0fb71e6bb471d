"""Reads what is in force from the store, at a fixed pace."""

from __future__ import annotations

import asyncio
import logging
from typing import Final

from cowslipfork.configuration import parse_configuration
from cowslipfork.configuration.records import decode_configuration
from cowslipfork.groups import decode_record
from cowslipfork.groups.record import RECORDS_PREFIX
from cowslipfork.ids import FailureDomain, RegionName, Revision, SiteName, VmId
from cowslipfork.membership import Place
from cowslipfork.store import Store, StoreDown
from cowslipfork.wire import records_pb2
from cowslipfork_proxy.holdings import Holdings, Neighbour

log = logging.getLogger(__name__)

_INTERVAL: Final = 0.5
_CONFIGURATION_KEY: Final = '/cowslipfork/configuration/current'
_VMS_PREFIX: Final = '/platform/vms/'
_ONLY_REGION: Final = RegionName('')


async def poll_store(store: Store, holdings: Holdings, site: SiteName) -> None:
    """Keeps holdings up to date until cancelled.

    Args:
        store: the platform's store.
        holdings: where to put what was read.
        site: whose overlay applies.
    """
    while True:
        try:
            await _read(store, holdings, site)
        except StoreDown as error:
            log.warning('store down', extra={'cause': error.cause})
        await asyncio.sleep(_INTERVAL)


async def _read(store: Store, holdings: Holdings, site: SiteName) -> None:
    vms, _ = await store.list_prefix(_VMS_PREFIX)
    holdings.hear_neighbours(
        _neighbour(records_pb2.PlatformEntry.FromString(entry.content))
        for entry in vms
    )
    records, _ = await store.list_prefix(RECORDS_PREFIX)
    holdings.hear_records(
        decode_record(entry.key, entry.content) for entry in records
    )
    current = await store.get(_CONFIGURATION_KEY)
    if current is None:
        return
    record = decode_configuration(_CONFIGURATION_KEY, current.content)
    parsed = parse_configuration(
        record.base,
        record.overlays.get(site, ''),
        site,
    )
    if parsed.is_error():
        log.error(
            'configuration unreadable',
            extra={'revision': record.revision, 'cause': parsed.error},
        )
        return
    if holdings.put_in_force(Revision(record.revision), parsed.ok):
        log.info('configuration in force', extra={'revision': record.revision})


def _neighbour(entry: records_pb2.PlatformEntry) -> Neighbour:
    return Neighbour(
        # One region until relays tell which region a VM is in.
        Place(
            VmId(entry.name),
            FailureDomain(entry.failure_domain),
            region=_ONLY_REGION,
        ),
        f'{entry.host}:{entry.port}',
        entry.state == records_pb2.VM_STATE_LEAVING,
    )
