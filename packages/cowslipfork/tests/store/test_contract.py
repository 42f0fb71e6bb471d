"""The contract of a ``Store`` in memory and over the etcd API."""

from contextlib import asynccontextmanager

import pytest
from store_contract import *  # noqa: F401, F403

from cowslipfork.store import CallRateLimiter
from cowslipfork.store.etcd import EtcdStore
from cowslipfork.store.memory import MemoryStore
from cowslipfork_lab.store import StoreServer


@asynccontextmanager
async def _memory():
    yield MemoryStore()


@asynccontextmanager
async def _stand_in():
    server = StoreServer()
    await server.start()
    store = EtcdStore('127.0.0.1', server.port, CallRateLimiter(10_000, 10_000))
    store.fail_once = lambda _: server.faults.set(b'/lab/lost_answers', b'1')
    yield store
    await store.close()
    await server.close()


@pytest.fixture(params=[_memory, _stand_in])
async def store(request):
    async with request.param() as opened:
        yield opened
