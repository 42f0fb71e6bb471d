"""Database groups: terms, marks, checks and promotion."""

from cowslipfork.groups.check import CheckFailure, CheckPoint, Violation
from cowslipfork.groups.port import (
    EndpointControl,
    EndpointRole,
    EndpointSilent,
    EndpointStatus,
    EndpointUnreachable,
    TermRefused,
)
from cowslipfork.groups.record import (
    ClaimerId,
    GroupRecord,
    RecordInvalid,
    RecordState,
    decode_record,
    encode_record,
    first_record,
    record_from_wire,
    record_key,
    record_to_wire,
)
from cowslipfork.groups.record_store import (
    RecordConflict,
    StoredRecord,
    claim_record,
    publish_record,
    read_record,
)
from cowslipfork.groups.tracker import Tracker

__all__ = (
    'CheckFailure',
    'CheckPoint',
    'ClaimerId',
    'EndpointControl',
    'EndpointRole',
    'EndpointSilent',
    'EndpointStatus',
    'EndpointUnreachable',
    'GroupRecord',
    'RecordConflict',
    'RecordInvalid',
    'RecordState',
    'StoredRecord',
    'TermRefused',
    'Tracker',
    'Violation',
    'claim_record',
    'decode_record',
    'encode_record',
    'first_record',
    'publish_record',
    'read_record',
    'record_from_wire',
    'record_key',
    'record_to_wire',
)
