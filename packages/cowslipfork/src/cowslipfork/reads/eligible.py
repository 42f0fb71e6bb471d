"""Endpoints that are proved to meet the need of a read."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, unique

from cowslipfork.groups import EndpointRole, EndpointStatus, Tracker
from cowslipfork.ids import EndpointId, Term
from cowslipfork.reads.requirement import ReadRequirement

#: Share of an endpoint's slots in use, or any other figure to order by.
Load = Callable[[EndpointId], float]


@unique
class ReadPreference(IntEnum):
    """Order in which endpoints are preferred for reads."""

    REPLICA = 0
    PRIMARY = 1
    SILENT = 2
    #: Fenced or in another term; its log may end in a tail that is dropped.
    LEFT_BEHIND = 3


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may serve a read.

    Attributes:
        term: the connection must be bound to it: the proof holds while the
            endpoint stays in this term.
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
    """Orders the endpoints that provably meet a need.

    Args:
        tracker: samples of the group.
        requirement: what the read demands; its floor is already known.
        load: load of an endpoint.
        primary_reads: whether the primary may serve the read.

    Returns:
        Replicas with the least load first, then the primary, then endpoints
        that are silent or, unless the read is fresh, left behind.
    """
    statuses = [
        status
        for status in map(tracker.status, tracker.controls)
        if status is not None and _meets(tracker, status, requirement)
    ]
    able = [
        Candidate(status.endpoint, status.term, preference)
        for status in statuses
        for preference in (preference_of(tracker, status),)
        if not _barred(preference, status, tracker, requirement, primary_reads)
    ]
    return tuple(
        sorted(
            able,
            key=lambda candidate: (
                candidate.preference,
                load(candidate.endpoint),
            ),
        ),
    )


def preference_of(tracker: Tracker, status: EndpointStatus) -> ReadPreference:
    """Tells what an endpoint is to the record in force."""
    record = tracker.record
    if status.term != record.term or status.role is EndpointRole.FENCED:
        return ReadPreference.LEFT_BEHIND
    if tracker.silent_seconds(status.endpoint):
        return ReadPreference.SILENT
    if status.endpoint == record.primary:
        return ReadPreference.PRIMARY
    return ReadPreference.REPLICA


def _barred(
    preference: ReadPreference,
    status: EndpointStatus,
    tracker: Tracker,
    requirement: ReadRequirement,
    primary_reads: bool,
) -> bool:
    if preference is ReadPreference.LEFT_BEHIND:
        return requirement.fresh
    return status.endpoint == tracker.record.primary and not primary_reads


def _meets(
    tracker: Tracker, status: EndpointStatus, requirement: ReadRequirement
) -> bool:
    if status.leaving or status.mark < requirement.minimum_mark:
        return False
    if requirement.max_age is None:
        return True
    age = tracker.age(status.endpoint)
    return age is not None and age <= requirement.max_age
