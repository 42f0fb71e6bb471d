"""The platform's key-value store, as the domain sees it."""

from cowslipfork.store.port import (
    Compare,
    Entry,
    Event,
    Put,
    Store,
    StoreDown,
    StoreUncertain,
    Swapped,
)

__all__ = (
    'Compare',
    'Entry',
    'Event',
    'Put',
    'Store',
    'StoreDown',
    'StoreUncertain',
    'Swapped',
)
