from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from cowslipfork_proxy.metrics import counters


def test_counts_are_read_by_label():
    reader = InMemoryMetricReader()
    meter = MeterProvider(metric_readers=(reader,)).get_meter('test')
    calls = {'get': 1}
    counters(meter, 'store_calls', 'operation', lambda: dict(calls))
    calls.update(get=5, swap=2)
    metric = (
        reader.get_metrics_data()
        .resource_metrics[0]
        .scope_metrics[0]
        .metrics[0]
    )
    assert metric.name == 'store_calls'
    assert {
        point.attributes['operation']: point.value
        for point in metric.data.data_points
    } == {'get': 5, 'swap': 2}
