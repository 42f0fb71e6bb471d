"""Figures of a run: latencies, availability, goodput and gaps."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from cowslipfork.ids import GroupName, KindName
from cowslipfork_lab.history import Action, Attempt, Ending

_LONGEST_MICROSECONDS = 600_000_000
_DIGITS = 3
_MICROSECONDS = 1_000_000
_MILLISECONDS = 1000
_MEDIAN = 50
_TAIL = 99
_FAR_TAIL = 99.9


@dataclass(frozen=True, slots=True)
class Final:
    """A request with the last of its attempts.

    Attributes:
        attempt: the last attempt.
        tries: number of attempts.
        in_time: whether it was done within its deadline.
    """

    attempt: Attempt
    tries: int
    in_time: bool

    @property
    def seconds(self) -> float:
        """Time from when it was due to its answer."""
        return self.attempt.ended - self.attempt.scheduled


@dataclass(slots=True)
class KindFigures:
    """Figures of one kind of request.

    Attributes:
        requests: requests due.
        endings: last attempts by outcome.
        in_time: done within the deadline.
        latency_ms: percentiles of those done, from when they were due.
    """

    requests: int = 0
    endings: dict[str, int] = field(default_factory=dict)
    in_time: int = 0
    latency_ms: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that the run brought about.

    Attributes:
        name: which.
        group: group that it hit.
        at: loop time in seconds.
    """

    name: str
    group: GroupName
    at: float


def figures_by_kind(finals: Iterable[Final]) -> dict[KindName, KindFigures]:
    """Sums up the requests of each kind."""
    by_kind: defaultdict[KindName, list[Final]] = defaultdict(list)
    for final in finals:
        by_kind[final.attempt.kind].append(final)
    return {
        kind: _figures(requests) for kind, requests in sorted(by_kind.items())
    }


def weighted_availability(
    kinds: Mapping[KindName, KindFigures],
    weights: Mapping[KindName, int],
) -> float:
    """Gives the share of requests done in time, weighted by class."""
    due = sum(one.requests * weights[kind] for kind, one in kinds.items())
    met = sum(one.in_time * weights[kind] for kind, one in kinds.items())
    return met / due if due else 1


def failover_gap(
    finals: Iterable[Final],
    fault: Fault,
) -> float | None:
    """Gives the time from a fault to the next acknowledged job.

    Args:
        finals: all requests.
        fault: the fault.

    Returns:
        Seconds; None if no job sent after the fault was acknowledged.
    """
    acknowledged = [
        final.attempt.ended
        for final in finals
        if final.attempt.group == fault.group
        and final.attempt.action == Action.JOB
        and final.attempt.ending == Ending.DONE
        and final.attempt.started > fault.at
    ]
    return min(acknowledged) - fault.at if acknowledged else None


def replica_share(counters: Iterable[Mapping[str, int]]) -> float | None:
    """Gives the share of reads that replicas served."""
    counted = list(counters)
    reads = sum(one['reads'] for one in counted)
    replicas = sum(one['replica_reads'] for one in counted)
    return replicas / reads if reads else None


def as_document(kinds: Mapping[KindName, KindFigures]) -> dict[str, Any]:
    """Gives the figures for a JSON report."""
    return {kind: asdict(one) for kind, one in kinds.items()}


def _figures(requests: Sequence[Final]) -> KindFigures:
    histogram = HdrHistogram(1, _LONGEST_MICROSECONDS, _DIGITS)
    done = [one for one in requests if one.attempt.ending == Ending.DONE]
    for final in done:
        histogram.record_value(int(final.seconds * _MICROSECONDS))
    return KindFigures(
        len(requests),
        dict(Counter(one.attempt.ending.value for one in requests)),
        sum(one.in_time for one in requests),
        {
            f'p{percentile}': _milliseconds(histogram, percentile)
            for percentile in (_MEDIAN, _TAIL, _FAR_TAIL)
        },
    )


def _milliseconds(histogram: Any, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / _MILLISECONDS
