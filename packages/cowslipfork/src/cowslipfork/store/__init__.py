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
    Swapped,
)
from cowslipfork.store.rate_limiter import Budget
from cowslipfork.store.unreadable import RecordUnreadable

__all__ = (
    'Budget',
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
    'Swapped',
    'backoff_delays',
)
