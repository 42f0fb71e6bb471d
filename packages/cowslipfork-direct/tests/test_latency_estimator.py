import pytest

from cowslipfork_direct.latency_estimator import (
    FIRST_PATIENCE,
    LEAST_PATIENCE,
    Pace,
)


def test_an_unknown_endpoint_gets_a_first_guess():
    assert Pace().patience == FIRST_PATIENCE


@pytest.mark.parametrize(
    ('answers', 'least', 'most'),
    [
        ([0.001] * 50, LEAST_PATIENCE, LEAST_PATIENCE),
        ([0.05] * 50, 0.08, 0.1),
        ([0.02, 0.2] * 50, 0.4, 1.2),
    ],
)
def test_patience_follows_an_endpoints_own_answers(answers, least, most):
    pace = Pace()
    for seconds in answers:
        pace.note(seconds)
    assert least <= pace.patience <= most
