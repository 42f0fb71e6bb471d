from cowslipfork_direct.metrics import Metrics


def test_metrics_are_written_in_the_text_format():
    metrics = Metrics()
    metrics.count_request('read', 'done', 0.03)
    metrics.count_try('not_run_no_free_slot')
    metrics.set_configuration_revision(7)
    text = metrics.text().decode()
    line = 'cowslipfork_requests_total{outcome="done",verb="read"} 1.0'
    assert line in text
    assert 'cowslipfork_configuration_revision 7.0' in text
    assert 'le="0.05",verb="read"} 1.0' in text


def test_added_gauges_and_counters_are_read_at_each_collection():
    metrics = Metrics()
    waiting = {'g': 1}
    metrics.add_gauge('waiting', 'Waiting.', 'group', lambda: waiting)
    metrics.add_counter('calls', 'Calls.', 'answer', lambda: {'200': 3})
    waiting['g'] = 5
    text = metrics.text().decode()
    assert 'cowslipfork_waiting{group="g"} 5.0' in text
    assert 'cowslipfork_calls_total{answer="200"} 3.0' in text
