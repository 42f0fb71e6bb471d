"""The platform's part: its lists in the store and the first configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from cowslipfork.ids import FailureDomain, SiteName
from cowslipfork.store import Put, Store
from cowslipfork.wire import records_pb2
from cowslipfork_lab.cluster.plan import LOOPBACK

_VMS = '/platform/vms/'
_ENDPOINTS = '/platform/endpoints/'
_FIRST_REVISION = 1


class PlatformList:
    """Writes the lists of VMs and endpoints, late as the platform does."""

    def __init__(self, store: Store, lag: float = 0) -> None:
        """Starts with empty lists.

        Args:
            store: where the lists live.
            lag: seconds from a change to its appearance.
        """
        self._store = store
        self._tasks: set[asyncio.Task[None]] = set()
        self.lag = lag

    async def put_vm(self, entry: records_pb2.PlatformEntry) -> None:
        """Lists a VM, or changes its entry."""
        await self._write(_VMS + entry.name, entry.SerializeToString())

    async def put_endpoint(self, entry: records_pb2.PlatformEntry) -> None:
        """Lists an endpoint, or changes its entry."""
        await self._write(_ENDPOINTS + entry.name, entry.SerializeToString())

    async def remove_vm(self, name: str) -> None:
        """Takes a VM off the list."""
        await self._write(_VMS + name, None)

    async def remove_endpoint(self, name: str) -> None:
        """Takes an endpoint off the list."""
        await self._write(_ENDPOINTS + name, None)

    async def wait_until_applied(self) -> None:
        """Waits until every change so far has appeared."""
        await asyncio.gather(*self._tasks)

    async def _write(self, key: str, content: bytes | None) -> None:
        if not self.lag:
            await self._store.swap([], [Put(key, content)])
            return
        task = asyncio.create_task(self._write_late(key, content))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write_late(self, key: str, content: bytes | None) -> None:
        await asyncio.sleep(self.lag)
        await self._store.swap([], [Put(key, content)])


async def accept_first(
    store: Store,
    base: str,
    overlays: Mapping[SiteName, str],
) -> None:
    """Puts the first configuration in force, as an operator would.

    Args:
        store: the store.
        base: INI text of the base file.
        overlays: INI text by site.
    """
    record = records_pb2.ConfigurationRecord(
        revision=_FIRST_REVISION,
        base=base,
        overlays={str(site): text for site, text in overlays.items()},
        operator='lab',
        reason='first configuration of the lab',
        change_id='lab',
    )
    audit = records_pb2.AuditRecord(
        revision=_FIRST_REVISION,
        operator='lab',
        reason=record.reason,
        change_id=record.change_id,
    )
    content = record.SerializeToString()
    number = f'{_FIRST_REVISION:012d}'
    await store.swap(
        [],
        [
            Put('/cowslipfork/configuration/current', content),
            Put(f'/cowslipfork/configuration/{number}', content),
            Put(f'/cowslipfork/audit/{number}', audit.SerializeToString()),
        ],
    )


def entry_of(
    name: str,
    domain: FailureDomain,
    port: int,
) -> records_pb2.PlatformEntry:
    """Makes the entry of a live VM or endpoint."""
    return records_pb2.PlatformEntry(
        name=name,
        failure_domain=domain,
        host=LOOPBACK,
        port=port,
        state=records_pb2.VM_STATE_LIVE,
    )
