import pytest

from cowslipfork_direct.latency_estimator import (
    INITIAL_SLOW_THRESHOLD,
    MIN_SLOW_THRESHOLD,
    LatencyEstimator,
)


def test_an_unknown_endpoint_gets_a_first_guess():
    assert LatencyEstimator().slow_threshold == INITIAL_SLOW_THRESHOLD


@pytest.mark.parametrize(
    ('answers', 'least', 'most'),
    [
        ([0.001] * 50, MIN_SLOW_THRESHOLD, MIN_SLOW_THRESHOLD),
        ([0.05] * 50, 0.08, 0.1),
        ([0.02, 0.2] * 50, 0.4, 1.2),
    ],
)
def test_patience_follows_an_endpoints_own_answers(answers, least, most):
    latency_estimator = LatencyEstimator()
    for seconds in answers:
        latency_estimator.add_sample(seconds)
    assert least <= latency_estimator.slow_threshold <= most
