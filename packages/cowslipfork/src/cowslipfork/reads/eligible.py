"""Endpoints that are proved to meet the need of a read."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, unique

from cowslipfork.groups import EndpointRole, EndpointStatus, Tracker
from cowslipfork.ids import EndpointId, Term
from cowslipfork.reads.requirement import Need

#: Share of an endpoint's slots in use, or any other figure to order by.
Load = Callable[[EndpointId], float]


@unique
class Standing(IntEnum):
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
    standing: Standing


def candidates(
    tracker: Tracker,
    need: Need,
    load: Load,
    *,
    primary_reads: bool,
) -> tuple[Candidate, ...]:
    """Orders the endpoints that provably meet a need.

    Args:
        tracker: samples of the group.
        need: what the read demands; its floor is already known.
        load: load of an endpoint.
        primary_reads: whether the primary may serve the read.

    Returns:
        Replicas with the least load first, then the primary, then endpoints
        that are silent or, unless the read is fresh, left behind.
    """
    statuses = [
        status
        for status in map(tracker.status, tracker.controls)
        if status is not None and _meets(tracker, status, need)
    ]
    able = [
        Candidate(status.endpoint, status.term, standing)
        for status in statuses
        for standing in (standing_of(tracker, status),)
        if not _barred(standing, status, tracker, need, primary_reads)
    ]
    return tuple(
        sorted(
            able,
            key=lambda candidate: (
                candidate.standing,
                load(candidate.endpoint),
            ),
        ),
    )


def standing_of(tracker: Tracker, status: EndpointStatus) -> Standing:
    """Tells what an endpoint is to the record in force."""
    record = tracker.record
    if status.term != record.term or status.role is EndpointRole.FENCED:
        return Standing.LEFT_BEHIND
    if tracker.silence(status.endpoint):
        return Standing.SILENT
    if status.endpoint == record.primary:
        return Standing.PRIMARY
    return Standing.REPLICA


def _barred(
    standing: Standing,
    status: EndpointStatus,
    tracker: Tracker,
    need: Need,
    primary_reads: bool,
) -> bool:
    if standing is Standing.LEFT_BEHIND:
        return need.fresh
    return status.endpoint == tracker.record.primary and not primary_reads


def _meets(tracker: Tracker, status: EndpointStatus, need: Need) -> bool:
    if status.leaving or status.mark < need.floor:
        return False
    if need.max_age is None:
        return True
    age = tracker.age(status.endpoint)
    return age is not None and age <= need.max_age
