"""The platform's key-value store, as the domain sees it."""

from cowslipfork.store.backoff import backoff_delays
from cowslipfork.store.port import (
    Compare,
    Entry,
    EraEnded,
    Event,
    HistoryLost,
    LeaseId,
    LeaseLost,
    LeasingStore,
    Put,
    Store,
    StoreDown,
    StoreEra,
    StoreUncertain,
    SwapResult,
    TooManyChanges,
    WatchClosed,
)
from cowslipfork.store.rate_limiter import CallRateLimiter
from cowslipfork.store.unreadable import RecordUnreadable

__all__ = (
    'CallRateLimiter',
    'Compare',
    'Entry',
    'EraEnded',
    'Event',
    'HistoryLost',
    'LeaseId',
    'LeaseLost',
    'LeasingStore',
    'Put',
    'RecordUnreadable',
    'Store',
    'StoreDown',
    'StoreEra',
    'StoreUncertain',
    'SwapResult',
    'TooManyChanges',
    'WatchClosed',
    'backoff_delays',
)
