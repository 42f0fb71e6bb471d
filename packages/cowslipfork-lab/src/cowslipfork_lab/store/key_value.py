"""etcd's KV service on the keys in memory."""

from __future__ import annotations

import operator
from types import MappingProxyType
from typing import Any

import grpc
from aetcd import rpc
from aetcd.rpc.rpc_pb2_grpc import KVServicer

from cowslipfork_lab.store.faults import CONTROL_PREFIX, StoreFaults
from cowslipfork_lab.store.keys import KeySpace

#: Longest value that the store takes.
MAXIMUM_VALUE_BYTES = 1024 * 1024
_COUNTS_KEY = b'/lab/counts'

_TARGETS = MappingProxyType(
    {
        rpc.Compare.VERSION: 'version',
        rpc.Compare.CREATE: 'create_revision',
        rpc.Compare.MOD: 'mod_revision',
        rpc.Compare.VALUE: 'value',
        rpc.Compare.LEASE: 'lease',
    }
)
_RESULTS = MappingProxyType(
    {
        rpc.Compare.EQUAL: operator.eq,
        rpc.Compare.NOT_EQUAL: operator.ne,
        rpc.Compare.LESS: operator.lt,
        rpc.Compare.GREATER: operator.gt,
    }
)
_ABSENT = rpc.KeyValue()


class KeyValueService(KVServicer):
    """Range, Put, DeleteRange and Txn."""

    def __init__(self, keys: KeySpace, faults: StoreFaults) -> None:
        """Serves the keys.

        Args:
            keys: the keys.
            faults: faults before and after each call.
        """
        self._keys = keys
        self._faults = faults

    async def Range(self, request: Any, context: Any) -> Any:
        """Reads a key or range."""
        if request.key == _COUNTS_KEY:
            report = self._faults.report()
            entry = rpc.KeyValue(key=_COUNTS_KEY, value=report, mod_revision=1)
            return rpc.RangeResponse(
                header=self._header(),
                kvs=[entry],
                count=1,
            )
        await self._faults.enter('range', context, write=False)
        return self._range(request)

    async def Put(self, request: Any, context: Any) -> Any:
        """Writes a key, or sets a fault."""
        if request.key.startswith(CONTROL_PREFIX):
            if not self._faults.set(request.key, request.value):
                await context.abort(grpc.StatusCode.NOT_FOUND, 'no such fault')
            return rpc.PutResponse(header=self._header())
        await self._faults.enter('put', context, write=True)
        await self._check_size(request, context)
        self._keys.change([request])
        await self._faults.leave_write(context)
        return rpc.PutResponse(header=self._header())

    async def DeleteRange(self, request: Any, context: Any) -> Any:
        """Deletes a key or range."""
        await self._faults.enter('delete', context, write=True)
        deleted = self._keys.change([], [(request.key, request.range_end)])
        await self._faults.leave_write(context)
        return rpc.DeleteRangeResponse(header=self._header(), deleted=deleted)

    async def Txn(self, request: Any, context: Any) -> Any:
        """Compares, then runs one of two lists of operations."""
        operations = (*request.success, *request.failure)
        write = any(
            one.WhichOneof('request') != 'request_range' for one in operations
        )
        await self._faults.enter('txn', context, write=write)
        for one in operations:
            await self._check_size(one.request_put, context)
        succeeded = all(self._holds(compare) for compare in request.compare)
        chosen = request.success if succeeded else request.failure
        responses = self._run(chosen)
        if write:
            await self._faults.leave_write(context)
        return rpc.TxnResponse(
            header=self._header(),
            succeeded=succeeded,
            responses=responses,
        )

    def _run(self, operations: Any) -> list[Any]:
        puts = [
            one.request_put
            for one in operations
            if one.WhichOneof('request') == 'request_put'
        ]
        deletes = [
            (one.request_delete_range.key, one.request_delete_range.range_end)
            for one in operations
            if one.WhichOneof('request') == 'request_delete_range'
        ]
        self._keys.change(puts, deletes)
        return [self._response(one) for one in operations]

    def _response(self, operation: Any) -> Any:
        header = self._header()
        kind = operation.WhichOneof('request')
        if kind == 'request_range':
            found = self._range(operation.request_range)
            return rpc.ResponseOp(response_range=found)
        if kind == 'request_put':
            return rpc.ResponseOp(response_put=rpc.PutResponse(header=header))
        deleted = rpc.DeleteRangeResponse(header=header, deleted=1)
        return rpc.ResponseOp(response_delete_range=deleted)

    def _range(self, request: Any) -> Any:
        found = self._keys.select(request.key, request.range_end)
        limited = found[: request.limit] if request.limit else found
        return rpc.RangeResponse(
            header=self._header(),
            kvs=[] if request.count_only else limited,
            count=len(found),
            more=len(limited) < len(found),
        )

    def _holds(self, compare: Any) -> bool:
        entry = self._keys.find(compare.key) or _ABSENT
        attribute = _TARGETS[compare.target]
        return _RESULTS[compare.result](
            getattr(entry, attribute),
            getattr(compare, attribute),
        )

    async def _check_size(self, put: Any, context: Any) -> None:
        if len(put.value) > MAXIMUM_VALUE_BYTES:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT,
                'value is too large',
            )

    def _header(self) -> Any:
        return rpc.ResponseHeader(revision=self._keys.revision)
