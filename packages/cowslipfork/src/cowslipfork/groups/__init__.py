"""Database groups: terms, marks, checks and promotion."""

from cowslipfork.groups.check import CheckFailure, CompletedCheck, Violation
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
    ClaimContext,
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
from cowslipfork.groups.supervision import (
    BeginTerm,
    SupervisionContext,
    supervise,
)
from cowslipfork.groups.suspicion import AskPeers, ProbeResult, probe_primary
from cowslipfork.groups.tracker import Tracker

__all__ = (
    'BeginTerm',
    'AskPeers',
    'CheckFailure',
    'CompletedCheck',
    'ClaimFailure',
    'ClaimContext',
    'ClaimerId',
    'Condition',
    'EndpointControl',
    'EndpointRole',
    'EndpointSilent',
    'EndpointStatus',
    'EndpointUnreachable',
    'ProbeResult',
    'GroupRecord',
    'Health',
    'RecordConflict',
    'RecordInvalid',
    'RecordState',
    'StoredRecord',
    'SupervisionContext',
    'TermRefused',
    'Tracker',
    'Violation',
    'claim_record',
    'decode_record',
    'encode_record',
    'probe_primary',
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
