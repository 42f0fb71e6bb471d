"""etcd's Lease service on the keys in memory."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from itertools import count
from typing import Any

from aetcd import rpc
from aetcd.rpc.rpc_pb2_grpc import LeaseServicer

from cowslipfork_lab.store.faults import StoreFaults
from cowslipfork_lab.store.keys import KeySpace


class LeaseService(LeaseServicer):
    """Grants, keeps and revokes leases; keys of a lapsed lease go."""

    def __init__(self, keys: KeySpace, faults: StoreFaults) -> None:
        """Serves leases on the keys.

        Args:
            keys: the keys.
            faults: faults of the store.
        """
        self._keys = keys
        self._faults = faults
        self._ids = count(1)
        self._seconds: dict[int, int] = {}
        self._timers: dict[int, asyncio.TimerHandle] = {}

    async def LeaseGrant(self, request: Any, context: Any) -> Any:
        """Grants a lease."""
        await self._faults.enter('lease_grant', context, write=True)
        number = request.ID or next(self._ids)
        self._seconds[number] = request.TTL
        self._extend(number)
        await self._faults.leave_write(context)
        return rpc.LeaseGrantResponse(
            header=self._header(),
            ID=number,
            TTL=request.TTL,
        )

    async def LeaseRevoke(self, request: Any, context: Any) -> Any:
        """Ends a lease and deletes its keys."""
        await self._faults.enter('lease_revoke', context, write=True)
        self._lapse(request.ID)
        await self._faults.leave_write(context)
        return rpc.LeaseRevokeResponse(header=self._header())

    async def LeaseKeepAlive(
        self,
        requests: AsyncIterator[Any],
        context: Any,
    ) -> AsyncIterator[Any]:
        """Extends leases."""
        async for request in requests:
            await self._faults.enter('lease_keep_alive', context, write=True)
            seconds = self._seconds.get(request.ID, 0)
            if seconds:
                self._extend(request.ID)
            yield rpc.LeaseKeepAliveResponse(
                header=self._header(),
                ID=request.ID,
                TTL=seconds,
            )

    def _extend(self, number: int) -> None:
        timer = self._timers.pop(number, None)
        if timer:
            timer.cancel()
        loop = asyncio.get_running_loop()
        self._timers[number] = loop.call_later(
            self._seconds[number],
            self._lapse,
            number,
        )

    def _lapse(self, number: int) -> None:
        self._seconds.pop(number, None)
        timer = self._timers.pop(number, None)
        if timer:
            timer.cancel()
        held = [
            (entry.key, b'')
            for entry in self._keys.select(b'\0', b'\0')
            if entry.lease == number
        ]
        self._keys.change([], held)

    def _header(self) -> Any:
        return rpc.ResponseHeader(revision=self._keys.revision)
