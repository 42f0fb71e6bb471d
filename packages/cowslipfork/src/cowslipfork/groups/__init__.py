"""Database groups: terms, marks, checks and promotion."""

from cowslipfork.groups.check import CheckFailure, CheckPoint, Violation
from cowslipfork.groups.condition import Condition, Health, write_refusal
from cowslipfork.groups.port import (
    EndpointControl,
    EndpointRole,
    EndpointSilent,
    EndpointStatus,
    EndpointUnreachable,
    TermRefused,
)
from cowslipfork.groups.promotion import (
    Claimant,
    ClaimFailure,
    promote_another,
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
from cowslipfork.groups.supervision import BeginTerm, Supervision, supervise
from cowslipfork.groups.suspicion import AskPeers, Evidence, examine
from cowslipfork.groups.tracker import Tracker

__all__ = (
    'BeginTerm',
    'AskPeers',
    'CheckFailure',
    'CheckPoint',
    'ClaimFailure',
    'Claimant',
    'ClaimerId',
    'Condition',
    'EndpointControl',
    'EndpointRole',
    'EndpointSilent',
    'EndpointStatus',
    'EndpointUnreachable',
    'Evidence',
    'GroupRecord',
    'Health',
    'RecordConflict',
    'RecordInvalid',
    'RecordState',
    'StoredRecord',
    'Supervision',
    'TermRefused',
    'Tracker',
    'Violation',
    'claim_record',
    'decode_record',
    'encode_record',
    'examine',
    'first_record',
    'promote_another',
    'publish_record',
    'read_record',
    'record_from_wire',
    'record_key',
    'record_to_wire',
    'supervise',
    'write_refusal',
)
