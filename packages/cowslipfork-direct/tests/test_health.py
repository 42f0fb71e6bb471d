import pytest

from cowslipfork_direct.health import HALF_LIFE, Health


def health(successes, failures, slow=0):
    now = [0.0]
    made = Health(lambda: now[0])
    for _ in range(successes):
        made.record_success()
    for _ in range(failures):
        made.record_failure()
    for _ in range(slow):
        made.record_slow()
    return made, now


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
def test_a_share_of_failures_makes_ill(successes, failures, slow, ill):
    made, _ = health(successes, failures, slow)
    assert made.failing is ill


def test_what_is_long_past_counts_little():
    made, now = health(0, 3)
    now[0] = 2 * HALF_LIFE
    assert not made.failing
