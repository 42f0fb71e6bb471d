"""The platform's key-value store, as the domain sees it."""

from cowslipfork.store.backoff import backoff_delays
from cowslipfork.store.port import (
    Compare,
    Entry,
    Event,
    HistoryLost,
    LeaseId,
    LeaseLost,
    LeasingStore,
    Put,
    Store,
    StoreDown,
    StoreUncertain,
    SwapResult,
)
from cowslipfork.store.rate_limiter import CallRateLimiter
from cowslipfork.store.unreadable import RecordUnreadable

__all__ = (
    'CallRateLimiter',
    'Compare',
    'Entry',
    'Event',
    'HistoryLost',
    'LeaseId',
    'LeaseLost',
    'LeasingStore',
    'Put',
    'RecordUnreadable',
    'Store',
    'StoreDown',
    'StoreUncertain',
    'SwapResult',
    'backoff_delays',
)
