"""Records of changes of primary, as they are kept in the store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from types import MappingProxyType
from typing import Final, NewType

import msgspec

from cowslipfork.ids import EndpointId, GroupName, Term, VmId

#: Identifies one claim, so that its claimer can find out whether a write whose
#: answer was lost has taken effect.
ClaimId = NewType('ClaimId', str)

#: Key of the record of the node that may order promotions; the revision of
#: that record is the fencing token of its orders.
DUTY_KEY: Final = 'cowslipfork/duty'

#: Keys of the last takeover of each group.
TAKEOVERS_PREFIX: Final = 'cowslipfork/takeovers/'

#: Keys of acknowledgements by nodes that have stopped using an old primary:
#: group, then node.
STOPPED_PREFIX: Final = 'cowslipfork/stopped/'

#: Keys of nodes' suspicions of a primary: group, then node.
SUSPECTS_PREFIX: Final = 'cowslipfork/suspects/'

#: Keys of the replicas of each group that leave, or have left, and may hold
#: commits that no other replica has.
DEPARTURES_PREFIX: Final = 'cowslipfork/departures/'


@unique
class TakeoverPhase(Enum):
    """Progress of a takeover."""

    #: Nodes stop using the old primary.
    CLAIMED = 'claimed'
    #: The claimer orders the platform to promote the candidate.
    ORDERED = 'ordered'
    #: The candidate is primary.
    DONE = 'done'
    #: No promotion was ordered; the old primary remains.
    ABANDONED = 'abandoned'


#: How far a takeover is in each phase; it ends as done or abandoned.
_PROGRESS: Final = MappingProxyType(
    {
        TakeoverPhase.CLAIMED: 0,
        TakeoverPhase.ORDERED: 1,
        TakeoverPhase.DONE: 2,
        TakeoverPhase.ABANDONED: 2,
    }
)


@unique
class TakeoverKind(Enum):
    """Why the primary changes."""

    #: The old primary can't be reached.
    FAILOVER = 'failover'
    #: The old primary still serves, but is about to leave or is failing.
    HANDOVER = 'handover'


@dataclass(frozen=True, slots=True)
class Duty:
    """Right of one node to order promotions.

    Attributes:
        holder: node that has the right.
        claim: claim with which it acquired the right.
    """

    holder: VmId
    claim: ClaimId


@dataclass(frozen=True, slots=True)
class Takeover:
    """A change of primary of one group.

    Attributes:
        group: the group.
        term: lowest term that the candidate may lead; once done, the term
            that it leads.
        ceiling: highest term that a primary of an earlier takeover may lead,
            including a takeover whose effect was never observed. Primaries
            up to this term are rejected, except the candidate.
        old: previous primary, if known.
        kind: why the primary changes.
        phase: progress of the takeover.
        claimer: node that carries it out.
        claim: id of the claimer's claim.
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
        """Whether it is neither done nor abandoned."""
        return self.phase in {TakeoverPhase.CLAIMED, TakeoverPhase.ORDERED}

    @property
    def last_led_term(self) -> Term:
        """Highest term that certainly had a primary when it was claimed."""
        return Term(self.term - 1)

    def is_ahead_of(self, other: Takeover) -> bool:
        """Returns whether this is a later state of the group's primary.

        Without the revisions of one era it can't be told which of two claims
        with the same ceiling is later; neither is ahead then.

        Args:
            other: another record of the same group.
        """
        if self.claim == other.claim:
            return _PROGRESS[self.phase] > _PROGRESS[other.phase]
        return self.ceiling > other.ceiling


@dataclass(frozen=True, slots=True)
class Stopped:
    """A node's acknowledgement that it has stopped using an old primary.

    Attributes:
        claim: claim of the takeover for which it has stopped.
    """

    claim: ClaimId


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A node's report that it can't use a primary.

    Attributes:
        endpoint: the primary; None if the node has not seen any since its
            start and finds only replicas.
        term: its term.
        ill: whether the primary can be reached but fails; otherwise it can't
            be reached.
    """

    endpoint: EndpointId | None
    term: Term
    ill: bool = False

    def agrees_with(self, other: Suspicion) -> bool:
        """Returns whether two nodes mean the same primary.

        A node that was started after the primary was lost can't name it.
        """
        unnamed = self.endpoint is None or other.endpoint is None
        named_alike = unnamed or self.endpoint == other.endpoint
        alike = self.term == other.term and self.ill is other.ill
        return named_alike and alike


@dataclass(frozen=True, slots=True)
class Departure:
    """A replica that has announced that it leaves.

    Attributes:
        endpoint: its id.
        host: IP address, at which its replacement starts with its log.
        port: TCP port there.
    """

    endpoint: EndpointId
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Departures:
    """Replicas of a group that leave, or have left.

    Attributes:
        group: the group.
        replicas: the replicas that may hold commits that no other one has.
    """

    group: GroupName
    replicas: tuple[Departure, ...]


def encode(
    record: Duty | Takeover | Stopped | Suspicion | Departures,
) -> bytes:
    """Encodes a record as JSON."""
    return msgspec.json.encode(record)


def takeover_key(group: GroupName) -> str:
    """Returns the key of a group's takeover."""
    return f'{TAKEOVERS_PREFIX}{group}'


def stopped_key(group: GroupName, node: VmId) -> str:
    """Returns the key of a node's acknowledgement that it has stopped."""
    return f'{STOPPED_PREFIX}{group}/{node}'


def suspect_key(group: GroupName, node: VmId) -> str:
    """Returns the key of a node's suspicion of a group's primary."""
    return f'{SUSPECTS_PREFIX}{group}/{node}'


def departures_key(group: GroupName) -> str:
    """Returns the key of a group's departures."""
    return f'{DEPARTURES_PREFIX}{group}'
