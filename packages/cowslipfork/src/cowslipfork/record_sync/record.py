"""Records of the store as nodes hold and pass them on."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from google.protobuf.message import DecodeError

from cowslipfork.changes.records import CURRENT_KEY
from cowslipfork.store.unreadable import RecordUnreadable
from cowslipfork.wire import records_pb2

CONFIGURATION_KEY = CURRENT_KEY
GROUPS_PREFIX = '/cowslipfork/groups/'
PLATFORM_PREFIX = '/platform/'
VMS_PREFIX = '/platform/vms/'
ENDPOINTS_PREFIX = '/platform/endpoints/'


@unique
class RecordKind(Enum):
    """What a record holds, told by its key."""

    CONFIGURATION = 'configuration'
    GROUP = 'group'
    PLATFORM = 'platform'


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """Order of the contents of one key.

    Attributes:
        major: revision of a configuration, term of a group, or store
            revision of an entry of the platform.
        minor: state of a group's term; 0 otherwise.
    """

    major: int
    minor: int = 0


@dataclass(frozen=True, slots=True)
class HeldRecord:
    """A value of the store.

    Attributes:
        key: key in the store.
        content: value as it was written; None if deleted.
    """

    key: str
    version: Version
    content: bytes | None


def kind_of(key: str) -> RecordKind:
    """Tells the kind of a key.

    Args:
        key: key in the store.

    Returns:
        The kind.

    Raises:
        RecordUnreadable: nodes do not hold such a key.
    """
    if key == CONFIGURATION_KEY:
        return RecordKind.CONFIGURATION
    if key.startswith(GROUPS_PREFIX):
        return RecordKind.GROUP
    if key.startswith(PLATFORM_PREFIX):
        return RecordKind.PLATFORM
    raise RecordUnreadable(key, 'unknown key')


def read_record(key: str, content: bytes | None, revision: int) -> HeldRecord:
    """Reads a value with its version.

    Args:
        key: key in the store.
        content: value; None if deleted.
        revision: store revision of its last change.

    Returns:
        The record. Configurations and groups carry their version inside, so
        that it does not depend on who passed them on.

    Raises:
        RecordUnreadable: the value is not of the key's kind.
    """
    kind = kind_of(key)
    if kind is RecordKind.PLATFORM:
        return HeldRecord(key, Version(revision), content)
    if content is None:
        raise RecordUnreadable(key, 'deleted, but it never reverts')
    try:
        return HeldRecord(key, _version(kind, content), content)
    except DecodeError as error:
        raise RecordUnreadable(key, str(error)) from error


def _version(kind: RecordKind, content: bytes) -> Version:
    if kind is RecordKind.CONFIGURATION:
        record = records_pb2.ConfigurationRecord.FromString(content)
        return Version(record.revision)
    group = records_pb2.GroupRecord.FromString(content)
    serving = group.state == records_pb2.GROUP_STATE_SERVING
    return Version(group.term, int(serving))
