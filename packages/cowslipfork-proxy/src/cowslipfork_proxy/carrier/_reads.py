"""Reads: any endpoint that provably meets the reading rule."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cowslipfork.configuration import AgeRule, FreshRule, ReadingRule
from cowslipfork.groups.port import EndpointRole
from cowslipfork.groups.tracker import Tracker
from cowslipfork.ids import EndpointId, Mark
from cowslipfork.limits import SlotQueue


@dataclass(frozen=True, slots=True)
class Need:
    """What an endpoint must prove before it may answer.

    Attributes:
        max_age: seconds; None if the mark decides.
        mark: mark that it must hold; None if the age decides.
        primary: whether the primary may answer too.
    """

    max_age: float | None
    mark: Mark | None
    primary: bool


def need_of(rule: ReadingRule, mark: Mark | None, *, primary: bool) -> Need:
    """Turns a reading rule into a need.

    Args:
        rule: the rule of the request's kind.
        mark: what a session has written, or a check found.
        primary: whether the primary may answer.

    Returns:
        The need.
    """
    max_age = rule.max_age if isinstance(rule, AgeRule) else None
    return Need(max_age, mark, primary)


def is_fresh(rule: ReadingRule, session_mark: Mark | None) -> bool:
    """Tells whether a read must see every acknowledged write.

    Args:
        rule: the rule of the request's kind.
        session_mark: mark of the session; None if it is not known.

    Returns:
        Whether a check is needed.
    """
    if isinstance(rule, AgeRule):
        return False
    return isinstance(rule, FreshRule) or session_mark is None


def eligible(
    tracker: Tracker,
    queue: SlotQueue,
    need: Need,
) -> Iterable[EndpointId]:
    """Lists endpoints that may answer now.

    Args:
        tracker: what is known of the endpoints.
        queue: how busy they are.
        need: what they must prove.

    Returns:
        Replicas, least busy first; then the primary, if it may answer.
    """
    replicas = [
        endpoint
        for endpoint in tracker.controls
        if _proved(tracker, endpoint, need)
    ]
    replicas.sort(key=queue.load)
    if need.primary:
        replicas.append(tracker.record.primary)
    return replicas


def _proved(tracker: Tracker, endpoint: EndpointId, need: Need) -> bool:
    status = tracker.status(endpoint)
    replica = (
        status is not None
        and status.role is EndpointRole.REPLICA
        and status.term == tracker.record.term
        and not tracker.silence(endpoint)
    )
    if status is None or not replica:
        return False
    if need.max_age is not None:
        age = tracker.age(endpoint)
        return age is not None and age <= need.max_age
    return need.mark is None or status.mark >= need.mark
