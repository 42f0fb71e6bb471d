"""Counters and histograms of a node.

Labels take few values: verbs, outcomes, endpoints that are listed now.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

#: Bounds of the histograms' buckets, in seconds.
BUCKETS: Final = (
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
)

#: Media type of the text format.
CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'

#: Reads counts by label when the metrics are asked for.
ReadCounts = Callable[[], Mapping[str, float]]


class Metrics:
    """All figures of one node."""

    def __init__(self) -> None:
        """Starts with every figure at nothing."""
        self._registry = CollectorRegistry(auto_describe=False)
        self._requests = Counter(
            'cowslipfork_requests',
            'Statements of callers by verb and outcome.',
            ('verb', 'outcome'),
            registry=self._registry,
        )
        self._seconds = Histogram(
            'cowslipfork_request_seconds',
            'From the arrival of a statement to its answer.',
            ('verb',),
            buckets=BUCKETS,
            registry=self._registry,
        )
        self._tries = Counter(
            'cowslipfork_tries',
            'Statements sent to endpoints by how that ended.',
            ('ended',),
            registry=self._registry,
        )
        self._takeovers = Counter(
            'cowslipfork_takeover_steps',
            'Steps of changes of primary that this node took.',
            ('step',),
            registry=self._registry,
        )
        self._gaps = Histogram(
            'cowslipfork_leaderless_seconds',
            'Times without a known primary, by group.',
            ('group',),
            buckets=BUCKETS,
            registry=self._registry,
        )
        self._revision = Gauge(
            'cowslipfork_configuration_revision',
            'Revision of the configuration in force.',
            registry=self._registry,
        )

    def count_request(self, verb: str, outcome: str, seconds: float) -> None:
        """Counts an answered statement."""
        self._requests.labels(verb, outcome).inc()
        self._seconds.labels(verb).observe(seconds)

    def count_try(self, ended: str) -> None:
        """Counts a try at an endpoint."""
        self._tries.labels(ended).inc()

    def count_takeover_step(self, step: str) -> None:
        """Counts a step of a change of primary."""
        self._takeovers.labels(step).inc()

    def gap(self, group: str, seconds: float) -> None:
        """Counts a time without a known primary."""
        self._gaps.labels(group).observe(seconds)

    def set_configuration_revision(self, revision: int) -> None:
        """Takes note of the configuration in force."""
        self._revision.set(revision)

    def add_counter(
        self,
        name: str,
        text: str,
        label: str,
        read: ReadCounts,
    ) -> None:
        """Adds a counter that is kept elsewhere.

        Args:
            name: name without prefix.
            text: what it counts.
            label: name of its label.
            read: gives counts by the label's value.
        """
        self._registry.register(_Reading(name, text, label, read, counts=True))

    def add_gauge(
        self,
        name: str,
        text: str,
        label: str,
        read: ReadCounts,
    ) -> None:
        """Adds a level that is kept elsewhere; like ``add_counter``."""
        self._registry.register(
            _Reading(name, text, label, read, counts=False),
        )

    def text(self) -> bytes:
        """Writes all figures in the text format."""
        return generate_latest(self._registry)


class _Reading:
    """Figures that are read when they are asked for."""

    def __init__(
        self,
        name: str,
        text: str,
        label: str,
        read: ReadCounts,
        *,
        counts: bool,
    ) -> None:
        self._name = f'cowslipfork_{name}'
        self._text = text
        self._label = label
        self._read = read
        self._counts = counts

    def collect(self) -> list[Metric]:
        family = CounterMetricFamily if self._counts else GaugeMetricFamily
        metric = family(self._name, self._text, labels=(self._label,))
        for label, figure in self._read().items():
            metric.add_metric((label,), figure)
        return [metric]
