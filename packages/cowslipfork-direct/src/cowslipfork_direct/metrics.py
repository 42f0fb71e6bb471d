"""Counters, gauges and histograms of a node.

Labels have few values: verbs, outcomes, endpoints that are currently listed.
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

#: Upper bounds of the histograms' buckets, in seconds.
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

#: Content type of the Prometheus text format.
CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'

#: Returns the current values by label, called whenever metrics are collected.
ReadValues = Callable[[], Mapping[str, float]]


class Metrics:
    """All metrics of one node."""

    def __init__(self) -> None:
        """Starts with all metrics at zero, in a registry of their own."""
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
        self._forwarded = Counter(
            'cowslipfork_forwarded',
            'Statements forwarded to carriers by how that ended.',
            ('outcome',),
            registry=self._registry,
        )
        self._takeovers = Counter(
            'cowslipfork_takeover_steps',
            'Steps of changes of primary that this node took.',
            ('step',),
            registry=self._registry,
        )
        self._store_restores = Counter(
            'cowslipfork_store_restores',
            'Times that the store was seen to return from an older copy.',
            registry=self._registry,
        )
        self._unreadable_entries = Counter(
            'cowslipfork_unreadable_entries',
            "Servers' entries in the store that describe no usable server.",
            registry=self._registry,
        )
        self._refused_keys = Counter(
            'cowslipfork_refused_keys',
            'Callers and statements that were refused for their key.',
            ('reason',),
            registry=self._registry,
        )
        self._task_failures = Counter(
            'cowslipfork_task_failures',
            'Unexpected errors after which a part of the node was restarted.',
            ('task',),
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
        """Counts an answered statement and records its duration."""
        self._requests.labels(verb, outcome).inc()
        self._seconds.labels(verb).observe(seconds)

    def count_try(self, ended: str) -> None:
        """Counts a try of a statement by the name of its outcome."""
        self._tries.labels(ended).inc()

    def count_forwarded(self, outcome: str) -> None:
        """Counts a forwarded statement by outcome, or by how it failed."""
        self._forwarded.labels(outcome).inc()

    def count_takeover_step(self, step: str) -> None:
        """Counts a step of a takeover that this node carried out."""
        self._takeovers.labels(step).inc()

    def count_refused_key(self, reason: str) -> None:
        """Counts a caller or statement that was refused for its key."""
        self._refused_keys.labels(reason).inc()

    def count_unreadable_entry(self) -> None:
        """Counts an entry of a server that can't be used."""
        self._unreadable_entries.inc()

    def count_task_failure(self, task: str) -> None:
        """Counts an unexpected error in a part of the node."""
        self._task_failures.labels(task).inc()

    def count_store_restore(self) -> None:
        """Counts a return of the store from an older copy."""
        self._store_restores.inc()

    def observe_leaderless(self, group: str, seconds: float) -> None:
        """Records how long a group had no known primary."""
        self._gaps.labels(group).observe(seconds)

    def set_configuration_revision(self, revision: int) -> None:
        """Sets the revision of the configuration in force."""
        self._revision.set(revision)

    def add_counter(
        self,
        name: str,
        text: str,
        label: str,
        read: ReadValues,
    ) -> None:
        """Adds a counter whose values are read when metrics are collected.

        Args:
            name: name without the prefix ``cowslipfork_``.
            text: help text.
            label: name of its label.
            read: returns the counts by value of the label.
        """
        self._registry.register(
            _CollectedMetric(name, text, label, read, counter=True),
        )

    def add_gauge(
        self,
        name: str,
        text: str,
        label: str,
        read: ReadValues,
    ) -> None:
        """Adds a gauge; otherwise like ``add_counter``."""
        self._registry.register(
            _CollectedMetric(name, text, label, read, counter=False),
        )

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


class _CollectedMetric:
    """A metric whose values are read when metrics are collected."""

    def __init__(
        self,
        name: str,
        text: str,
        label: str,
        read: ReadValues,
        *,
        counter: bool,
    ) -> None:
        self._name = f'cowslipfork_{name}'
        self._text = text
        self._label = label
        self._read = read
        self._counter = counter

    def collect(self) -> list[Metric]:
        family = CounterMetricFamily if self._counter else GaugeMetricFamily
        metric = family(self._name, self._text, labels=(self._label,))
        for label, current in self._read().items():
            metric.add_metric((label,), current)
        return [metric]
