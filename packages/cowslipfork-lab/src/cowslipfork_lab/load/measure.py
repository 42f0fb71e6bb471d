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
class FinishedRequest:
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
class KindStatistics:
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


def statistics_by_kind(
    finished_requests: Iterable[FinishedRequest],
) -> dict[KindName, KindStatistics]:
    """Sums up the requests of each kind."""
    by_kind: defaultdict[KindName, list[FinishedRequest]] = defaultdict(list)
    for finished_request in finished_requests:
        by_kind[finished_request.attempt.kind].append(finished_request)
    return {
        kind: _statistics(requests)
        for kind, requests in sorted(by_kind.items())
    }


def weighted_availability(
    kinds: Mapping[KindName, KindStatistics],
    weights: Mapping[KindName, int],
) -> float:
    """Gives the share of requests done in time, weighted by class."""
    due = sum(one.requests * weights[kind] for kind, one in kinds.items())
    met = sum(one.in_time * weights[kind] for kind, one in kinds.items())
    return met / due if due else 1


def failover_gap(
    finished_requests: Iterable[FinishedRequest],
    fault: Fault,
) -> float | None:
    """Gives the time from a fault to the next acknowledged job.

    Args:
        finished_requests: all requests.
        fault: the fault.

    Returns:
        Seconds; None if no job sent after the fault was acknowledged.
    """
    acknowledged = [
        finished_request.attempt.ended
        for finished_request in finished_requests
        if finished_request.attempt.group == fault.group
        and finished_request.attempt.action == Action.JOB
        and finished_request.attempt.ending == Ending.DONE
        and finished_request.attempt.started > fault.at
    ]
    return min(acknowledged) - fault.at if acknowledged else None


def replica_share(counters: Iterable[Mapping[str, int]]) -> float | None:
    """Gives the share of reads that replicas served."""
    counted = list(counters)
    reads = sum(one['reads'] for one in counted)
    replicas = sum(one['replica_reads'] for one in counted)
    return replicas / reads if reads else None


def as_document(kinds: Mapping[KindName, KindStatistics]) -> dict[str, Any]:
    """Gives the figures for a JSON report."""
    return {kind: asdict(one) for kind, one in kinds.items()}


def _statistics(requests: Sequence[FinishedRequest]) -> KindStatistics:
    histogram = HdrHistogram(1, _LONGEST_MICROSECONDS, _DIGITS)
    done = [one for one in requests if one.attempt.ending == Ending.DONE]
    for finished_request in done:
        histogram.record_value(int(finished_request.seconds * _MICROSECONDS))
    return KindStatistics(
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
