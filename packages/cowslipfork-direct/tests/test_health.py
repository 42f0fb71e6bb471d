import pytest

from cowslipfork_direct.health import HALF_LIFE, Health


def health_after(successes, failures, slow=0):
    now = [0.0]
    tracked = Health(lambda: now[0])
    for _ in range(successes):
        tracked.record_success()
    for _ in range(failures):
        tracked.record_failure()
    for _ in range(slow):
        tracked.record_slow()
    return tracked, now


@pytest.mark.parametrize(
    ('successes', 'failures', 'slow', 'ill'),
    [
        (0, 0, 0, False),
        (0, 1, 0, False),
        (0, 2, 0, True),
        (0, 1, 1, True),
        (0, 0, 3, True),
        (0, 0, 2, False),
        (20, 4, 0, False),
        (6, 4, 0, True),
    ],
)
def test_a_failure_rate_makes_an_endpoint_failing(
    successes, failures, slow, ill
):
    tracked, _ = health_after(successes, failures, slow)
    assert tracked.failing is ill


def test_old_failures_decay():
    tracked, now = health_after(0, 3)
    now[0] = 2 * HALF_LIFE
    assert not tracked.failing
