"""The platform's store over the etcd v3 API, on the stubs of ``aetcd``."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import TypeVar

import grpc
from aetcd import rpc

from cowslipfork.store import _messages as messages
from cowslipfork.store.change_size import ensure_short
from cowslipfork.store.port import (
    Compare,
    Entry,
    Event,
    HistoryLost,
    Put,
    StoreDown,
    StoreUncertain,
    SwapResult,
)
from cowslipfork.store.rate_limiter import CallRateLimiter

_Answer = TypeVar('_Answer')

#: Bound of one call, in seconds.
CALL_TIMEOUT = 2.0

#: Bound of the wait for a connection, in seconds.
READY_TIMEOUT = 1.0

#: Counted in place of a call that the budget did not allow.
REFUSED = 'refused'

#: Entries asked for in one call of a long list.
PAGE_ENTRIES = 1000

_CHANNEL_OPTIONS = (
    # A repeated transaction must be this module's decision, not gRPC's.
    ('grpc.enable_retries', 0),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.min_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 5000),
    ('grpc.max_receive_message_length', 33_554_432),
    # A connection that went silent breaks its watch within 13 seconds.
    ('grpc.keepalive_time_ms', 10_000),
    ('grpc.keepalive_timeout_ms', 3000),
    ('grpc.http2.max_pings_without_data', 0),
)

#: Answers by which the store says that it did not run a transaction. Not
#: RESOURCE_EXHAUSTED: a connection that the server closes for too many pings
#: gives its calls in flight that status too.
_REJECTIONS = frozenset(
    (
        grpc.StatusCode.INVALID_ARGUMENT,
        grpc.StatusCode.FAILED_PRECONDITION,
        grpc.StatusCode.OUT_OF_RANGE,
        grpc.StatusCode.PERMISSION_DENIED,
        grpc.StatusCode.UNAUTHENTICATED,
        grpc.StatusCode.UNIMPLEMENTED,
    ),
)


def _count_nothing(operation: str) -> None:
    """Counts no call."""


class EtcdStore:
    """A ``Store`` that speaks the etcd v3 API."""

    def __init__(
        self,
        host: str,
        port: int,
        rate_limiter: CallRateLimiter | None = None,
        count_call: Callable[[str], None] = _count_nothing,
        timeout: float = CALL_TIMEOUT,
    ) -> None:
        """Prepares a connection; it is made with the first call.

        Args:
            host: IP number of the store.
            port: its port.
            rate_limiter: bounds the calls.
            count_call: called with each call's name, for metrics.
            timeout: bound of a call in seconds.
        """
        self._channel = rpc.insecure_channel(
            f'{host}:{port}',
            options=_CHANNEL_OPTIONS,
        )
        self._kv = rpc.KVStub(self._channel)
        self._watch = rpc.WatchStub(self._channel)
        self._rate_limiter = (
            CallRateLimiter() if rate_limiter is None else rate_limiter
        )
        self._count_call = count_call
        self._timeout = timeout

    async def close(self) -> None:
        """Breaks the connection and every watch on it."""
        await self._channel.close()

    async def get(self, key: str) -> Entry | None:
        """Reads one key; see ``Store``."""
        request = rpc.RangeRequest(key=key.encode())
        found = await self._read('get', self._kv.Range, request)
        entries = [messages.entry(pair) for pair in found.kvs]
        return entries[0] if entries else None

    async def list_prefix(self, prefix: str) -> tuple[Sequence[Entry], int]:
        """Reads all keys below a prefix; see ``Store``.

        Long lists take several calls at the store revision of the first.
        """
        entries: list[Entry] = []
        request = messages.prefix_range(prefix, PAGE_ENTRIES)
        more = True
        while more:
            page = await self._read('list', self._kv.Range, request)
            entries.extend(messages.entry(pair) for pair in page.kvs)
            request.revision = request.revision or page.header.revision
            more = page.more
            if more:
                request.key = messages.after(page.kvs[-1].key)
        return entries, request.revision

    async def swap(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
    ) -> SwapResult:
        """Writes all puts if all compares hold; see ``Store``."""
        request = messages.transaction(compares, puts)
        await self._prepare('swap')
        try:
            done = await self._kv.Txn(request, timeout=self._timeout)
        except grpc.aio.AioRpcError as error:
            if error.code() in _REJECTIONS:
                raise StoreDown('swap', _cause(error)) from error
            raise StoreUncertain('swap', _cause(error)) from error
        return SwapResult(done.succeeded, done.header.revision)

    async def watch(
        self,
        prefix: str,
        after: int,
        max_size: int | None = None,
    ) -> AsyncIterator[list[Event]]:
        """Yields changes below a prefix; see ``Store``."""
        await self._prepare('watch')
        call = self._watch.Watch()
        try:
            await call.write(messages.watch_request(prefix, after))
            async for response in call:
                _check_watch(response)
                events = [messages.event(change) for change in response.events]
                if events:
                    ensure_short(events, max_size)
                    yield events
        except grpc.aio.AioRpcError as error:
            raise StoreDown('watch', _cause(error)) from error
        except asyncio.InvalidStateError as error:
            raise StoreDown('watch', 'stream is broken') from error
        finally:
            call.cancel()
        raise StoreDown('watch', 'store ended the watch')

    async def _read(
        self,
        operation: str,
        method: Callable[..., Awaitable[_Answer]],
        request: object,
    ) -> _Answer:
        await self._prepare(operation)
        try:
            return await method(request, timeout=self._timeout)
        except grpc.aio.AioRpcError as error:
            raise StoreDown(operation, _cause(error)) from error

    async def _prepare(self, operation: str) -> None:
        """Takes a call from the budget and makes sure of a connection.

        A failure here proves that nothing was sent.
        """
        await self._ready(operation)
        try:
            await self._rate_limiter.acquire(operation)
        except StoreDown:
            self._count_call(REFUSED)
            raise
        self._count_call(operation)

    async def _ready(self, operation: str) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT):
                await self._connect(operation)
        except TimeoutError as error:
            raise StoreDown(operation, 'no connection in time') from error

    async def _connect(self, operation: str) -> None:
        state = self._channel.get_state(try_to_connect=True)
        while state is not grpc.ChannelConnectivity.READY:
            if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                raise StoreDown(operation, 'no connection')
            await self._channel.wait_for_state_change(state)
            state = self._channel.get_state(try_to_connect=True)


def _check_watch(response: rpc.WatchResponse) -> None:
    if response.compact_revision:
        raise HistoryLost('watch', 'history is compacted')
    if response.canceled:
        raise StoreDown('watch', response.cancel_reason or 'cancelled')


def _cause(error: grpc.aio.AioRpcError) -> str:
    return f'{error.code().name.lower()}: {error.details()}'
