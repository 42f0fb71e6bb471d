"""The record of a group: which endpoint is primary in which term."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, unique
from types import MappingProxyType
from typing import NewType

from google.protobuf.message import DecodeError

from cowslipfork.configuration import Group
from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import EndpointId, GroupName, Term
from cowslipfork.wire import records_pb2

#: VM and incarnation of a process, such as ``vm1/12``. It is unique to one
#: process, so that a record that is read back proves which process wrote it.
ClaimerId = NewType('ClaimerId', str)

FIRST_TERM = Term(1)
RECORDS_PREFIX = '/cowslipfork/groups/'


@unique
class RecordState(Enum):
    """Whether a group has a published primary."""

    SERVING = 'serving'
    CLAIMED = 'claimed'


class RecordInvalid(CowslipforkError):
    """A stored record cannot be decoded."""

    def __init__(self, key: str, cause: str) -> None:
        """Describes the invalid record.

        Args:
            key: store key of the record.
            cause: what is wrong with the content.
        """
        super().__init__(f'record at {key} is invalid: {cause}')
        self.key = key
        self.cause = cause


class PublishRefused(CowslipforkError):
    """A process other than a term's claimer tried to publish its primary."""

    def __init__(self, record: GroupRecord, claimer: ClaimerId) -> None:
        """Describes the refused attempt.

        Args:
            record: the current record.
            claimer: process that tried to publish.
        """
        super().__init__(f'{claimer} does not hold the claim of {record}')
        self.record = record
        self.claimer = claimer


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """The agreed state of a group; its term only grows.

    Attributes:
        primary: primary of the term; while the term is only claimed, the last
            published primary.
        claimer: process that claimed the term; empty in the first term.
    """

    group: GroupName
    term: Term
    state: RecordState
    primary: EndpointId
    claimer: ClaimerId = ClaimerId('')

    @property
    def serving(self) -> bool:
        """Whether the primary of the term is published."""
        return self.state is RecordState.SERVING

    def claim(self, claimer: ClaimerId) -> GroupRecord:
        """Returns the claim of the next term.

        This term may be claimed only or have a published primary.
        """
        return replace(
            self,
            term=Term(self.term + 1),
            state=RecordState.CLAIMED,
            claimer=claimer,
        )

    def publish(self, claimer: ClaimerId, primary: EndpointId) -> GroupRecord:
        """Returns the record with the published primary of a claimed term.

        Raises:
            PublishRefused: the term is not claimed by this claimer.
        """
        if self.serving or self.claimer != claimer:
            raise PublishRefused(self, claimer)
        return replace(self, state=RecordState.SERVING, primary=primary)

    def supersedes(self, other: GroupRecord) -> bool:
        """Returns whether this record is later than another of its group."""
        if self.term == other.term:
            return self.serving and not other.serving
        return self.term > other.term


def first_record(group: Group) -> GroupRecord:
    """Returns the record of a group for which none is stored yet."""
    return GroupRecord(
        group.name,
        FIRST_TERM,
        RecordState.SERVING,
        group.endpoints[0],
    )


def record_key(group: GroupName) -> str:
    """Returns the store key of a group's record."""
    return f'{RECORDS_PREFIX}{group}'


_TO_WIRE = MappingProxyType(
    {
        RecordState.SERVING: records_pb2.GROUP_STATE_SERVING,
        RecordState.CLAIMED: records_pb2.GROUP_STATE_CLAIMED,
    },
)
_FROM_WIRE = MappingProxyType(
    {wire: state for state, wire in _TO_WIRE.items()},
)


def record_to_wire(record: GroupRecord) -> records_pb2.GroupRecord:
    """Returns the protobuf message of a record."""
    return records_pb2.GroupRecord(
        group=record.group,
        term=record.term,
        state=_TO_WIRE[record.state],
        primary=record.primary,
        claimer=record.claimer,
    )


def record_from_wire(message: records_pb2.GroupRecord) -> GroupRecord:
    """Returns the record of a protobuf message.

    Raises:
        RecordInvalid: a field is missing or the state is unknown.
    """
    key = record_key(GroupName(message.group))
    state = _FROM_WIRE.get(message.state)
    if state is None:
        raise RecordInvalid(key, f'unknown state {message.state}')
    if not (message.group and message.primary and message.term > 0):
        raise RecordInvalid(key, 'group, primary or term is missing')
    return GroupRecord(
        GroupName(message.group),
        Term(message.term),
        state,
        EndpointId(message.primary),
        ClaimerId(message.claimer),
    )


def encode_record(record: GroupRecord) -> bytes:
    """Returns the bytes of a record as they are stored."""
    return record_to_wire(record).SerializeToString(deterministic=True)


def decode_record(key: str, content: bytes) -> GroupRecord:
    """Returns the record of stored bytes.

    Raises:
        RecordInvalid: the bytes are no valid record of the key's group.
    """
    try:
        message = records_pb2.GroupRecord.FromString(content)
    except DecodeError as error:
        raise RecordInvalid(key, str(error)) from error
    if record_key(GroupName(message.group)) != key:
        raise RecordInvalid(key, f'it names group {message.group!r}')
    return record_from_wire(message)
