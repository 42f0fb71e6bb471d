"""Configuration, group records and platform lists, in force everywhere."""

from cowslipfork.spread.changes import ChangeLog
from cowslipfork.spread.holdings import Holdings, RecordRefused, Refusal
from cowslipfork.spread.record import (
    HeldRecord,
    RecordKind,
    Version,
    kind_of,
    read_record,
)
from cowslipfork.store.unreadable import RecordUnreadable

__all__ = (
    'ChangeLog',
    'HeldRecord',
    'Holdings',
    'RecordKind',
    'RecordRefused',
    'RecordUnreadable',
    'Refusal',
    'Version',
    'kind_of',
    'read_record',
)
