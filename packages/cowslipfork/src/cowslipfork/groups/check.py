"""What a check proves, and how it fails."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from cowslipfork.groups.port import EndpointStatus
from cowslipfork.ids import Mark


@unique
class CheckFailure(Enum):
    """Why a check failed."""

    #: The term is over, or its primary is not published.
    STALE_TERM = 'stale_term'
    #: No majority that includes the primary answered before the deadline.
    NO_MAJORITY = 'no_majority'


@unique
class Violation(Enum):
    """A violated invariant; the count of each must stay 0."""

    STALE_ACKNOWLEDGEMENT = 'stale_acknowledgement'
    MARK_WENT_BACKWARDS = 'mark_went_backwards'
    TWO_PRIMARIES = 'two_primaries'


@dataclass(frozen=True, slots=True)
class Sample:
    """The status of an endpoint and when it was requested.

    Attributes:
        ordinal: orders the starts of samples and the arrivals of waiters, also
            those at the same clock reading.
        begun: loop time in seconds before the request was sent.
    """

    ordinal: int
    begun: float
    status: EndpointStatus


@dataclass(frozen=True, slots=True)
class CompletedCheck:
    """A completed check.

    Every write acknowledged before ``begun`` is at or below ``mark``.

    Attributes:
        ordinal: orders the check relative to the arrivals of waiters.
        begun: loop time in seconds at which the earliest sample that the check
            is based on was requested.
        mark: the primary's mark.
    """

    ordinal: int
    begun: float
    mark: Mark
