"""Finds the endpoints that are proved to meet the requirement of a read."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, unique

from cowslipfork.groups import EndpointRole, EndpointStatus, Tracker
from cowslipfork.ids import EndpointId, Term
from cowslipfork.reads.requirement import ReadRequirement

#: Load of an endpoint: the fraction of its slots in use, or any other number
#: to sort by, lowest first.
Load = Callable[[EndpointId], float]


@unique
class ReadPreference(IntEnum):
    """Order in which endpoints are preferred for reads."""

    REPLICA = 0
    PRIMARY = 1
    SILENT = 2
    #: Fenced or in another term; the tail of its log may be discarded later.
    OUT_OF_TERM = 3


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may serve a read.

    Attributes:
        term: term that the connection must be bound to: the endpoint is proved
            to meet the requirement only while it stays in this term.
    """

    endpoint: EndpointId
    term: Term
    preference: ReadPreference


def candidates(
    tracker: Tracker,
    requirement: ReadRequirement,
    load: Load,
    *,
    primary_reads: bool,
) -> tuple[Candidate, ...]:
    """Returns the endpoints that provably meet a requirement, best first.

    Args:
        tracker: samples of the group.
        requirement: what the read requires; its minimum mark is final.
        load: load of an endpoint.
        primary_reads: whether the primary may serve the read.

    Returns:
        Replicas by ascending load, then the primary, then endpoints that do
        not respond and, unless the read is fresh, endpoints that are fenced
        or in another term.
    """
    statuses = [
        status
        for status in map(tracker.status, tracker.controls)
        if status is not None and _meets(tracker, status, requirement)
    ]
    eligible = [
        Candidate(status.endpoint, status.term, preference)
        for status in statuses
        for preference in (preference_of(tracker, status),)
        if not _is_excluded(
            preference, status, tracker, requirement, primary_reads
        )
    ]
    return tuple(
        sorted(
            eligible,
            key=lambda candidate: (
                candidate.preference,
                load(candidate.endpoint),
            ),
        ),
    )


def preference_of(tracker: Tracker, status: EndpointStatus) -> ReadPreference:
    """Returns how far an endpoint is preferred under the current record."""
    record = tracker.record
    if status.term != record.term or status.role is EndpointRole.FENCED:
        return ReadPreference.OUT_OF_TERM
    if tracker.silent_seconds(status.endpoint):
        return ReadPreference.SILENT
    if status.endpoint == record.primary:
        return ReadPreference.PRIMARY
    return ReadPreference.REPLICA


def _is_excluded(
    preference: ReadPreference,
    status: EndpointStatus,
    tracker: Tracker,
    requirement: ReadRequirement,
    primary_reads: bool,
) -> bool:
    if preference is ReadPreference.OUT_OF_TERM:
        return requirement.fresh
    return status.endpoint == tracker.record.primary and not primary_reads


def _meets(
    tracker: Tracker,
    status: EndpointStatus,
    requirement: ReadRequirement,
) -> bool:
    if status.leaving or status.mark < requirement.minimum_mark:
        return False
    if requirement.max_age is None:
        return True
    age = tracker.age(status.endpoint)
    return age is not None and age <= requirement.max_age
