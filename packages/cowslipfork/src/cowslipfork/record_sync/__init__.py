"""Configuration, group records and platform lists, in force everywhere."""

from cowslipfork.record_sync.change_log import ChangeLog
from cowslipfork.record_sync.local_records import (
    LocalRecords,
    RecordRefusal,
    RecordRefused,
)
from cowslipfork.record_sync.record import (
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
    'LocalRecords',
    'RecordKind',
    'RecordRefused',
    'RecordUnreadable',
    'RecordRefusal',
    'Version',
    'kind_of',
    'read_record',
)
