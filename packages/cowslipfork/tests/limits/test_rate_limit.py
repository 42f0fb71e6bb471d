"""Token buckets: what they grant, under changes of the limit and returns."""

import math

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cowslipfork.limits.rate_limit import (
    MAX_RETRY_AFTER,
    WINDOW,
    RetryQueue,
    TokenBucket,
    spread_retry,
)

limits = st.tuples(
    st.sampled_from([0, 1, 10, 100]),
    st.sampled_from([0, 1, 20, 300]),
)


def test_a_bucket_starts_empty_and_fills_up_to_its_burst():
    bucket = TokenBucket(10, 20, now=0)
    assert bucket.take(5, now=0) == 0
    assert bucket.take(100, now=1) == 10
    assert bucket.take(100, now=60) == 20


def test_only_whole_tokens_are_granted_and_none_is_lost():
    bucket = TokenBucket(10, 5, now=0)
    granted = sum(bucket.take(1, now=step * 0.01) for step in range(1, 1001))
    assert granted == 100


def test_a_burst_below_one_still_grants_at_the_rate():
    bucket = TokenBucket(2, 0.1, now=0)
    assert sum(bucket.take(1, now=step * 0.1) for step in range(101)) == 20


def test_an_earlier_time_adds_no_tokens():
    bucket = TokenBucket(10, 20, now=5)
    bucket.take(0, now=6)
    bucket.take(0, now=3)
    assert bucket.take(100, now=6) == 10


def test_a_lower_limit_takes_effect_at_once():
    bucket = TokenBucket(100, 300, now=0)
    bucket.take(0, now=10)
    bucket.set_limit(1, 5, now=10)
    assert bucket.take(1000, now=10) == 5
    assert bucket.take(1000, now=12) == 2


def test_a_higher_burst_has_to_accumulate():
    bucket = TokenBucket(10, 5, now=0)
    bucket.take(0, now=10)
    bucket.set_limit(10, 300, now=10)
    assert bucket.take(1000, now=10) == 5


def test_a_limit_set_again_changes_nothing():
    bucket = TokenBucket(10, 5, now=0)
    bucket.set_limit(10, 5, now=0.3)
    assert bucket.take(10, now=0.3) == 3


@seed(20261204)
@settings(derandomize=True, max_examples=300, deadline=None)
@given(old=limits, new=limits, changed_at=st.floats(0, WINDOW))
def test_a_change_grants_no_more_than_the_greater_window(old, new, changed_at):
    """A lower burst with a higher rate gave both the burst and the rate."""
    bucket = TokenBucket(*old, now=-1000)
    granted = 0
    changed = False
    steps = [step * 0.05 for step in range(101)]
    for time in sorted([*steps, changed_at]):
        if time >= changed_at and not changed:
            granted += bucket.take(10_000, time)
            bucket.set_limit(*new, now=time)
            changed = True
        granted += bucket.take(10_000, time)
    windows = [rate * WINDOW + max(1, burst) for rate, burst in (old, new)]
    assert granted <= max(windows) + 1e-3


def test_tokens_of_operations_that_did_not_run_are_granted_again():
    bucket = TokenBucket(10, 20, now=0)
    assert bucket.take(20, now=2) == 20
    bucket.give_back(5, taken_at=2)
    assert bucket.take(20, now=2) == 5


def test_tokens_from_before_the_bucket_was_full_are_not_granted_again():
    """A returned burst on top of a full one would be granted twice."""
    bucket = TokenBucket(10, 20, now=0)
    bucket.take(20, now=2)
    assert bucket.take(20, now=4) == 20
    bucket.give_back(20, taken_at=2)
    assert bucket.take(20, now=4) == 0


def test_returned_tokens_never_exceed_the_burst():
    bucket = TokenBucket(10, 20, now=0)
    bucket.take(20, now=2)
    bucket.give_back(1000, taken_at=2)
    assert bucket.take(1000, now=2) == 20


@pytest.mark.parametrize('rate', [0.5, 10, 333])
def test_the_next_token_is_there_when_it_was_announced(rate):
    bucket = TokenBucket(rate, 20, now=0)
    wait = bucket.seconds_to_token(now=0.001)
    assert bucket.take(1, now=0.001 + 0.9 * wait) == 0
    assert bucket.take(1, now=0.001 + wait) == 1


def test_without_a_rate_callers_come_back_after_the_longest_time():
    assert TokenBucket(0, 20, now=0).seconds_to_token(now=1) == MAX_RETRY_AFTER


def test_rejected_callers_come_back_one_token_apart():
    """With the time of the next token for all, all but one are rejected."""
    bucket = TokenBucket(50, 1, now=0)
    retries = RetryQueue()
    wait = bucket.seconds_to_token(now=0)
    first = retries.reserve(40, wait, bucket.rate, now=0)
    assert first == pytest.approx(wait + 40 / 50)
    assert retries.reserve(40, wait, bucket.rate, now=0) == pytest.approx(
        wait + 80 / 50
    )
    draws = [number / 40 for number in range(40)]
    times = sorted(spread_retry(wait, first, draw) for draw in draws)
    granted = sum(bucket.take(1, now=time) for time in times)
    assert granted >= 0.9 * len(times)


def test_callers_that_have_come_back_are_not_waited_for():
    retries = RetryQueue()
    retries.reserve(100, 0.1, 50, now=0)
    assert retries.reserve(1, 0.1, 50, now=10) == pytest.approx(0.12)


def test_no_caller_waits_longer_than_the_longest_time():
    retries = RetryQueue()
    assert retries.reserve(10_000, 0.1, 1, now=0) == MAX_RETRY_AFTER
    assert not math.isinf(retries.reserve(1, 0.1, 0, now=0))
