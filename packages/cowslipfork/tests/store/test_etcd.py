"""Faults of the store's connection, brought about by small servicers."""

import asyncio
from contextlib import asynccontextmanager

import grpc
import pytest
from aetcd import rpc

from cowslipfork.store import (
    CallRateLimiter,
    Put,
    StoreDown,
    StoreUncertain,
)
from cowslipfork.store.etcd import EtcdStore


class FaultyStore(rpc.KV, rpc.Watch):
    """Answers every call with one status, or never."""

    def __init__(self, code):
        self.code = code

    async def _fail(self, context):
        if self.code is None:
            await asyncio.Event().wait()
        await context.abort(self.code, 'faulty')

    async def Range(self, request, context):
        await self._fail(context)

    async def Txn(self, request, context):
        await self._fail(context)

    async def Watch(self, requests, context):
        yield rpc.WatchResponse(created=True)
        if self.code is grpc.StatusCode.OUT_OF_RANGE:
            yield rpc.WatchResponse(canceled=True, compact_revision=7)
        elif self.code is grpc.StatusCode.CANCELLED:
            yield rpc.WatchResponse(canceled=True, cancel_reason='no')
        elif self.code is not grpc.StatusCode.OK:
            await self._fail(context)


@asynccontextmanager
async def served(code, counted=None):
    server = grpc.aio.server()
    servicer = FaultyStore(code)
    rpc.rpc_pb2_grpc.add_KVServicer_to_server(servicer, server)
    rpc.rpc_pb2_grpc.add_WatchServicer_to_server(servicer, server)
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    counted = [] if counted is None else counted
    store = EtcdStore('127.0.0.1', port, count_call=counted.append, timeout=0.3)
    try:
        yield store, server
    finally:
        await store.close()
        await server.stop(None)


@pytest.mark.parametrize(
    ('code', 'error'),
    [
        (None, StoreUncertain),
        (grpc.StatusCode.UNAVAILABLE, StoreUncertain),
        (grpc.StatusCode.DEADLINE_EXCEEDED, StoreUncertain),
        (grpc.StatusCode.UNKNOWN, StoreUncertain),
        (grpc.StatusCode.INTERNAL, StoreUncertain),
        (grpc.StatusCode.CANCELLED, StoreUncertain),
        (grpc.StatusCode.RESOURCE_EXHAUSTED, StoreUncertain),
        (grpc.StatusCode.INVALID_ARGUMENT, StoreDown),
        (grpc.StatusCode.UNAUTHENTICATED, StoreDown),
        (grpc.StatusCode.PERMISSION_DENIED, StoreDown),
    ],
)
async def test_a_write_is_certain_only_if_the_store_refused_it(code, error):
    async with served(code) as (store, _):
        with pytest.raises(StoreDown) as raised:
            await store.swap([], [Put('/k', b'')])
        assert type(raised.value) is error


@pytest.mark.parametrize('code', [None, grpc.StatusCode.UNAVAILABLE])
async def test_a_read_without_answer_is_down(code):
    counted = []
    async with served(code, counted) as (store, _):
        with pytest.raises(StoreDown) as raised:
            await store.get('/k')
        assert type(raised.value) is StoreDown
        with pytest.raises(StoreDown):
            await store.list_prefix('/k')
    assert counted == ['get', 'list']


@pytest.mark.parametrize(
    ('code', 'cause'),
    [
        (grpc.StatusCode.OUT_OF_RANGE, 'compacted'),
        (grpc.StatusCode.CANCELLED, 'no'),
        (grpc.StatusCode.UNAVAILABLE, 'unavailable'),
        (grpc.StatusCode.OK, 'ended'),
    ],
)
async def test_a_broken_watch_is_down(code, cause):
    async with served(code) as (store, _):
        with pytest.raises(StoreDown, match=cause):
            await anext(store.watch('/', 0))


async def test_a_watch_ends_when_the_server_goes_away():
    async with served(None) as (store, server):
        waiting = asyncio.create_task(anext(store.watch('/', 0)))
        await asyncio.sleep(0.1)
        await server.stop(None)
        with pytest.raises(StoreDown):
            await asyncio.wait_for(waiting, 10)


async def test_a_write_to_nobody_is_certainly_not_made():
    async with served(None) as (store, server):
        await server.stop(None)
        for _ in range(3):
            with pytest.raises(StoreDown) as raised:
                await store.swap([], [Put('/k', b'')])
            assert type(raised.value) is StoreDown


async def test_a_call_beyond_the_budget_is_counted_and_not_sent():
    counted = []
    async with served(grpc.StatusCode.OK, counted) as (store, _):
        store._rate_limiter = CallRateLimiter(0.001, 1)
        for _ in range(3):
            with pytest.raises(StoreDown):
                await store.get('/k')
    assert counted == ['get', 'refused', 'refused']
