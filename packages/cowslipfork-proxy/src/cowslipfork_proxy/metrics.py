"""Metrics of a node by OpenTelemetry, scraped over HTTP."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import start_http_server

_SERVICE: Final = 'cowslipfork'


def set_up_metrics(vm: str, host: str, port: int) -> Meter:
    """Starts to serve metrics.

    Args:
        vm: name of the VM.
        host: IP number to listen on.
        port: TCP port; 0 serves none.

    Returns:
        Meter that all instruments of the node come from.
    """
    resource = Resource({'service.name': _SERVICE, 'service.instance.id': vm})
    reader = PrometheusMetricReader()
    provider = MeterProvider(metric_readers=(reader,), resource=resource)
    if port:
        start_http_server(port, host)
    return provider.get_meter(_SERVICE)


def gauge(meter: Meter, name: str, read: Callable[[], float]) -> None:
    """Has a value read at each scrape.

    Args:
        meter: the node's meter.
        name: name of the metric.
        read: gives the value.
    """

    def observe(options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(read())

    meter.create_observable_gauge(name, callbacks=[observe])


def counters(
    meter: Meter,
    name: str,
    label: str,
    read: Callable[[], Mapping[str, int]],
) -> None:
    """Has counts by label read at each scrape.

    Args:
        meter: the node's meter.
        name: name of the metric.
        label: what the counts differ in.
        read: gives the counts; none ever falls.
    """

    def observe(options: CallbackOptions) -> Iterable[Observation]:
        for sort, count in read().items():
            yield Observation(count, {label: sort})

    meter.create_observable_counter(name, callbacks=[observe])
