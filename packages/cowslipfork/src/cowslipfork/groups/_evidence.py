"""What the latest samples of a group's endpoints prove in combination."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping

from cowslipfork.groups.check import CompletedCheck, Sample, Violation
from cowslipfork.groups.port import EndpointRole, EndpointStatus
from cowslipfork.ids import INITIAL_MARK, EndpointId, Mark, Position, Term


def majority_of(endpoints: int) -> int:
    """Returns the size of the smallest majority of a number of endpoints."""
    return endpoints // 2 + 1


def completed_check(
    term: Term,
    primary: Sample,
    others: Iterable[Sample],
    endpoints: int,
) -> CompletedCheck | None:
    """Returns the newest check that the latest samples complete.

    Args:
        term: term in which the primary and a majority must be.
        primary: latest sample of the term's primary.
        others: latest samples of the endpoints; the primary may be among
            them.
        endpoints: number of endpoints of the group.

    Returns:
        The check, or None without a majority in the term.
    """
    status = primary.status
    if not leads(status, term):
        return None
    samples = sorted(
        (
            sample
            for sample in others
            if sample.status.term == term and sample is not primary
        ),
        key=lambda sample: sample.ordinal,
        reverse=True,
    )
    needed = majority_of(endpoints) - 1
    if len(samples) < needed:
        return None
    earliest = min(
        (primary, *samples[:needed]),
        key=lambda sample: sample.ordinal,
    )
    return CompletedCheck(earliest.ordinal, earliest.begun, status.mark)


def majority_mark(
    term: Term,
    primary: Sample,
    samples: Collection[Sample],
    endpoints: int,
) -> Mark | None:
    """Returns the highest mark that a majority holds in a term.

    Args:
        term: term in which the primary and a majority must be.
        primary: latest sample of the term's primary.
        samples: latest samples of all endpoints, the primary included.
        endpoints: number of endpoints of the group.

    Returns:
        The mark, which the primary also holds; None without a majority.
    """
    if not leads(primary.status, term):
        return None
    marks = sorted(
        (
            sample.status.mark
            for sample in samples
            if sample.status.term == term
        ),
        reverse=True,
    )
    needed = majority_of(endpoints)
    if len(marks) < needed:
        return None
    return min(primary.status.mark, marks[needed - 1])


def required_majority_mark(term: Term, mark: Mark) -> Mark:
    """Returns the mark that a majority must hold for a mark to be safe.

    An entry of an earlier term may be held by a majority and still lose
    against a log with an entry of a term in between. Once a majority holds
    an entry of this term, every later primary has all entries before it.
    """
    if mark == INITIAL_MARK:
        return mark
    return max(mark, Mark(term, Position(0)))


def majority_in_later_term(
    term: Term,
    samples: Iterable[Sample],
    endpoints: int,
) -> bool:
    """Returns whether a majority of the endpoints is in a later term."""
    later = sum(sample.status.term > term for sample in samples)
    return later >= majority_of(endpoints)


def leads(status: EndpointStatus, term: Term) -> bool:
    """Returns whether an endpoint reports that it is the primary of a term."""
    return status.role is EndpointRole.PRIMARY and status.term == term


def violations(
    endpoint: EndpointId,
    status: EndpointStatus,
    samples: Mapping[EndpointId, Sample],
) -> Iterator[Violation]:
    """Yields the invariants that a status violates against earlier samples."""
    before = samples.get(endpoint)
    if before is not None and _mark_went_back(before.status, status):
        yield Violation.MARK_WENT_BACKWARDS
    other_primary = any(
        leads(sample.status, status.term)
        for other, sample in samples.items()
        if other != endpoint
    )
    if other_primary and leads(status, status.term):
        yield Violation.TWO_PRIMARIES


def _mark_went_back(before: EndpointStatus, after: EndpointStatus) -> bool:
    # A fenced endpoint may discard the tail of its log when it becomes a
    # replica.
    same = before.term == after.term and before.role is after.role
    return same and after.mark < before.mark
