"""Keys and records of accepted changes in the platform's store."""

from __future__ import annotations

import zlib
from typing import TypeVar

from google.protobuf.message import DecodeError

from cowslipfork.store.unreadable import RecordUnreadable
from cowslipfork.wire.records_pb2 import (
    AuditRecord,
    ConfigurationRecord,
    Texts,
)

_Record = TypeVar('_Record', AuditRecord, ConfigurationRecord, Texts)

CURRENT_KEY = '/cowslipfork/configuration/current'
_CONFIGURATION_PREFIX = '/cowslipfork/configuration/'
_AUDIT_PREFIX = '/cowslipfork/audit/'

_REVISION_DIGITS = 12

#: Audit records that one list call returns.
RECORDS_PER_LIST = 10

#: Texts kept for rollbacks, with the current one.
KEPT_CONFIGURATIONS = 50

#: Audit records kept in the store.
KEPT_AUDIT_RECORDS = 20_000

#: Longest base file and overlays together; a message of gRPC holds 4 MiB.
MAX_TEXT_BYTES = 3_000_000

#: Longest packed record. A change writes it twice in one transaction, for
#: which a store of the etcd kind takes 1.5 MiB.
MAX_RECORD_BYTES = 700_000


def configuration_key(revision: int) -> str:
    """Names the key of a revision's text."""
    return f'{_CONFIGURATION_PREFIX}{revision:0{_REVISION_DIGITS}}'


def audit_key(revision: int) -> str:
    """Names the key of a revision's audit record."""
    return f'{_AUDIT_PREFIX}{revision:0{_REVISION_DIGITS}}'


def audit_prefix(revision: int) -> str:
    """Names the prefix of ten audit records, the revision's among them."""
    return audit_key(revision)[:-1]


def encode_configuration(record: ConfigurationRecord) -> bytes:
    """Packs an accepted configuration for the store and for other nodes.

    Args:
        record: with its texts.

    Returns:
        The value; its texts are compressed, all else can be read directly.
    """
    texts = Texts(base=record.base, overlays=record.overlays)
    packed = ConfigurationRecord()
    packed.CopyFrom(record)
    packed.ClearField('base')
    packed.ClearField('overlays')
    packed.packed = zlib.compress(texts.SerializeToString(deterministic=True))
    return packed.SerializeToString()


def decode_configuration(key: str, content: bytes) -> ConfigurationRecord:
    """Reads an accepted configuration.

    Args:
        key: key that it was read from.
        content: value.

    Returns:
        The record.

    Raises:
        RecordUnreadable: the value is damaged.
    """
    record = _decode(ConfigurationRecord(), key, content)
    if record.revision < 1:
        raise RecordUnreadable(key, 'no revision')
    if record.packed:
        texts = _decode(Texts(), key, _unpack(record.packed, key))
        record.base = texts.base
        record.overlays.update(texts.overlays)
        record.ClearField('packed')
    return record


def decode_audit(key: str, content: bytes) -> AuditRecord:
    """Reads an audit record.

    Args:
        key: key that it was read from.
        content: value.

    Returns:
        The record.

    Raises:
        RecordUnreadable: the value is damaged.
    """
    record = _decode(AuditRecord(), key, content)
    if audit_key(record.revision) != key:
        raise RecordUnreadable(key, f'is of revision {record.revision}')
    return record


def archived_keys(revision: int) -> tuple[str, ...]:
    """Names the keys that a new revision pushes out of the store.

    Args:
        revision: the new revision.

    Returns:
        Keys to delete in the same transaction.
    """
    old = (
        (configuration_key, revision - KEPT_CONFIGURATIONS),
        (audit_key, revision - KEPT_AUDIT_RECORDS),
    )
    return tuple(key_of(number) for key_of, number in old if number > 0)


def _unpack(packed: bytes, key: str) -> bytes:
    # Twice the texts leaves room for what encodes them.
    unpacker = zlib.decompressobj()
    try:
        texts = unpacker.decompress(packed, 2 * MAX_TEXT_BYTES)
    except zlib.error as error:
        raise RecordUnreadable(key, str(error)) from error
    if not unpacker.eof:
        raise RecordUnreadable(key, 'texts are cut or too long')
    return texts


def _decode(record: _Record, key: str, content: bytes) -> _Record:
    try:
        record.ParseFromString(content)
    except DecodeError as error:
        raise RecordUnreadable(key, str(error)) from error
    return record
