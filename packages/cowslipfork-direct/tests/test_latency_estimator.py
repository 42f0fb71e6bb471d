import pytest

from cowslipfork_direct.latency_estimator import (
    INITIAL_SLOW_THRESHOLD,
    MIN_SLOW_THRESHOLD,
    LatencyEstimator,
)


def test_without_samples_the_initial_threshold_applies():
    assert LatencyEstimator().slow_threshold == INITIAL_SLOW_THRESHOLD


@pytest.mark.parametrize(
    ('answers', 'least', 'most'),
    [
        ([0.001] * 50, MIN_SLOW_THRESHOLD, MIN_SLOW_THRESHOLD),
        ([0.05] * 50, 0.08, 0.1),
        ([0.02, 0.2] * 50, 0.4, 1.2),
    ],
)
def test_the_slow_threshold_follows_an_endpoints_answers(answers, least, most):
    estimator = LatencyEstimator()
    for seconds in answers:
        estimator.add_sample(seconds)
    assert least <= estimator.slow_threshold <= most
