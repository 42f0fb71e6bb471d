import pytest

from cowslipfork_direct.latency_estimator import (
    FIRST_PATIENCE,
    LEAST_PATIENCE,
    Pace,
)


def test_without_samples_the_initial_threshold_applies():
    assert Pace().patience == FIRST_PATIENCE


@pytest.mark.parametrize(
    ('answers', 'least', 'most'),
    [
        ([0.001] * 50, LEAST_PATIENCE, LEAST_PATIENCE),
        ([0.05] * 50, 0.08, 0.1),
        ([0.02, 0.2] * 50, 0.4, 1.2),
    ],
)
def test_the_slow_threshold_follows_an_endpoints_answers(answers, least, most):
    estimator = Pace()
    for seconds in answers:
        estimator.note(seconds)
    assert least <= estimator.patience <= most
