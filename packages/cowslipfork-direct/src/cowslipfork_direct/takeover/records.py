"""Records of changes of primary in the store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, NewType, TypeVar

import msgspec
from expression import Error, Ok, Result

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import EndpointId, GroupName, Term, VmId

#: Identifies one claim, so that its claimer finds out whether a write whose
#: answer was lost has taken effect.
ClaimId = NewType('ClaimId', str)

#: Record of who gives orders of promotion; its revision is the fence.
DUTY_KEY: Final = 'cowslipfork/duty'

#: Records of the last takeover of each group.
TAKEOVERS_PREFIX: Final = 'cowslipfork/takeovers/'

#: Keys of nodes that have stopped for a takeover: group, then node.
STOPPED_PREFIX: Final = 'cowslipfork/stopped/'

#: Keys of nodes that can't reach the primary: group, then node.
SUSPECTS_PREFIX: Final = 'cowslipfork/suspects/'


@unique
class TakeoverPhase(Enum):
    """How far a takeover has come."""

    #: Nodes stop using the old primary.
    CLAIMED = 'claimed'
    #: The platform is being told to promote the candidate.
    ORDERED = 'ordered'
    #: The candidate leads.
    DONE = 'done'
    #: Nothing was ordered; the old primary goes on.
    ABANDONED = 'abandoned'


@unique
class TakeoverKind(Enum):
    """Why the primary changes."""

    #: The old one can't be reached.
    FAILOVER = 'failover'
    #: The old one is about to leave and still serves.
    HANDOVER = 'handover'


@dataclass(frozen=True, slots=True)
class Duty:
    """Who gives orders of promotion.

    Attributes:
        holder: the node.
        claim: claim with which it took the duty.
    """

    holder: VmId
    claim: ClaimId


@dataclass(frozen=True, slots=True)
class Takeover:
    """A change of primary of one group.

    Attributes:
        group: the group.
        term: least term that the candidate may lead; once done, its term.
        ceiling: greatest term that a primary of an earlier takeover may lead,
            also of one that nobody saw take effect. Who leads a term up to it
            is barred, but for the candidate.
        old: endpoint that led before, if known.
        kind: why.
        phase: how far.
        claimer: node that carries it out.
        claim: its claim.
        candidate: new primary; None until it is chosen.
    """

    group: GroupName
    term: Term
    ceiling: Term
    old: EndpointId | None
    kind: TakeoverKind
    phase: TakeoverPhase
    claimer: VmId
    claim: ClaimId
    candidate: EndpointId | None = None

    @property
    def under_way(self) -> bool:
        """Whether it has neither succeeded nor been given up."""
        return self.phase in {TakeoverPhase.CLAIMED, TakeoverPhase.ORDERED}


@dataclass(frozen=True, slots=True)
class Stopped:
    """A node's word that it has stopped for a takeover.

    Attributes:
        claim: the takeover's claim.
    """

    claim: ClaimId


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A node's word that a primary is of no use to it.

    Attributes:
        endpoint: the primary.
        term: its term.
        ill: whether it is reached and fails; otherwise it is not reached.
    """

    endpoint: EndpointId
    term: Term
    ill: bool = False


class RecordUnreadable(CowslipforkError):
    """A record of another writer or version."""


_Record = TypeVar('_Record', Duty, Takeover, Stopped, Suspicion)


def encode(record: Duty | Takeover | Stopped | Suspicion) -> bytes:
    """Writes a record."""
    return msgspec.json.encode(record)


def decode(
    content: bytes,
    shape: type[_Record],
) -> Result[_Record, RecordUnreadable]:
    """Reads a record."""
    try:
        return Ok(msgspec.json.decode(content, type=shape))
    except msgspec.MsgspecError as error:
        return Error(RecordUnreadable(f'{shape.__name__}: {error}'))


def takeover_key(group: GroupName) -> str:
    """Gives the key of a group's takeover."""
    return f'{TAKEOVERS_PREFIX}{group}'


def stopped_key(group: GroupName, node: VmId) -> str:
    """Gives the key of a node's word for a group."""
    return f'{STOPPED_PREFIX}{group}/{node}'


def suspect_key(group: GroupName, node: VmId) -> str:
    """Gives the key of a node's suspicion of a group's primary."""
    return f'{SUSPECTS_PREFIX}{group}/{node}'
