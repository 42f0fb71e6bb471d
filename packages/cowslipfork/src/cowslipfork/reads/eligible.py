"""Finds the endpoints that are proved to meet the requirement of a read."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, unique

from cowslipfork.groups import EndpointRole, EndpointStatus, Tracker
from cowslipfork.ids import EndpointId, Term
from cowslipfork.reads.requirement import Need

#: Load of an endpoint: the fraction of its slots in use, or any other number
#: to sort by, lowest first.
Load = Callable[[EndpointId], float]


@unique
class Standing(IntEnum):
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
    standing: Standing


def candidates(
    tracker: Tracker,
    need: Need,
    load: Load,
    *,
    primary_reads: bool,
) -> tuple[Candidate, ...]:
    """Returns the endpoints that provably meet a requirement, best first.

    Args:
        tracker: samples of the group.
        need: what the read requires; its minimum mark is final.
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
        if status is not None and _meets(tracker, status, need)
    ]
    eligible = [
        Candidate(status.endpoint, status.term, standing)
        for status in statuses
        for standing in (standing_of(tracker, status),)
        if not _is_excluded(standing, status, tracker, need, primary_reads)
    ]
    return tuple(
        sorted(
            eligible,
            key=lambda candidate: (
                candidate.standing,
                load(candidate.endpoint),
            ),
        ),
    )


def standing_of(tracker: Tracker, status: EndpointStatus) -> Standing:
    """Returns how far an endpoint is preferred under the current record."""
    record = tracker.record
    if status.term != record.term or status.role is EndpointRole.FENCED:
        return Standing.OUT_OF_TERM
    if tracker.silence(status.endpoint):
        return Standing.SILENT
    if status.endpoint == record.primary:
        return Standing.PRIMARY
    return Standing.REPLICA


def _is_excluded(
    standing: Standing,
    status: EndpointStatus,
    tracker: Tracker,
    need: Need,
    primary_reads: bool,
) -> bool:
    if standing is Standing.OUT_OF_TERM:
        return need.fresh
    return status.endpoint == tracker.record.primary and not primary_reads


def _meets(tracker: Tracker, status: EndpointStatus, need: Need) -> bool:
    if status.leaving or status.mark < need.floor:
        return False
    if need.max_age is None:
        return True
    age = tracker.age(status.endpoint)
    return age is not None and age <= need.max_age
