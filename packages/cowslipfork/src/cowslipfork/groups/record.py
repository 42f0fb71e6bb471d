"""A group's record: which endpoint is primary in which term."""

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

#: A VM and the start of its process, such as ``vm1/12``. Unique to one
#: process, so that a record read back proves who wrote it.
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
        """Remembers the key.

        Args:
            key: where the record was stored.
            cause: what is wrong with it.
        """
        super().__init__(f'record at {key} is invalid: {cause}')
        self.key = key
        self.cause = cause


class PublishRefused(CowslipforkError):
    """Only the claimer of a term publishes the term's primary."""

    def __init__(self, record: GroupRecord, claimer: ClaimerId) -> None:
        """Remembers who tried.

        Args:
            record: the record as it is.
            claimer: who tried to publish.
        """
        super().__init__(f'{claimer} does not hold the claim of {record}')
        self.record = record
        self.claimer = claimer


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """The agreed state of a group; terms only grow.

    Attributes:
        primary: primary of the term; while claimed, of the term before.
        claimer: who claimed the term; empty in the first term.
    """

    group: GroupName
    term: Term
    state: RecordState
    primary: EndpointId
    claimer: ClaimerId = ClaimerId('')

    @property
    def serving(self) -> bool:
        """Whether the primary is published."""
        return self.state is RecordState.SERVING

    def claim(self, claimer: ClaimerId) -> GroupRecord:
        """Claims the next term, whether or not this one was published."""
        return replace(
            self,
            term=Term(self.term + 1),
            state=RecordState.CLAIMED,
            claimer=claimer,
        )

    def publish(self, claimer: ClaimerId, primary: EndpointId) -> GroupRecord:
        """Publishes the primary of a claimed term.

        Raises:
            PublishRefused: the term is not claimed by this claimer.
        """
        if self.serving or self.claimer != claimer:
            raise PublishRefused(self, claimer)
        return replace(self, state=RecordState.SERVING, primary=primary)

    def supersedes(self, other: GroupRecord) -> bool:
        """Tells whether this record is later than another of its group."""
        if self.term == other.term:
            return self.serving and not other.serving
        return self.term > other.term


def first_record(group: Group) -> GroupRecord:
    """Gives the record of a group that no claimer has written yet."""
    return GroupRecord(
        group.name,
        FIRST_TERM,
        RecordState.SERVING,
        group.endpoints[0],
    )


def record_key(group: GroupName) -> str:
    """Gives the store key of a group's record."""
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
    """Translates a record into its message."""
    return records_pb2.GroupRecord(
        group=record.group,
        term=record.term,
        state=_TO_WIRE[record.state],
        primary=record.primary,
        claimer=record.claimer,
    )


def record_from_wire(message: records_pb2.GroupRecord) -> GroupRecord:
    """Translates a message into a record.

    Raises:
        RecordInvalid: a field is missing or its state is unknown.
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
    """Encodes a record for the store."""
    return record_to_wire(record).SerializeToString(deterministic=True)


def decode_record(key: str, content: bytes) -> GroupRecord:
    """Decodes a stored record.

    Raises:
        RecordInvalid: the bytes are no record of that key.
    """
    try:
        message = records_pb2.GroupRecord.FromString(content)
    except DecodeError as error:
        raise RecordInvalid(key, str(error)) from error
    if record_key(GroupName(message.group)) != key:
        raise RecordInvalid(key, f'it names group {message.group!r}')
    return record_from_wire(message)
