import pytest

from cowslipfork.store import CallRateLimiter, StoreDown, backoff_delays


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now

    async def sleep(self, seconds):
        self.now += seconds


async def test_calls_over_any_time_stay_within_rate_and_burst():
    clock = Clock()
    rate_limiter = CallRateLimiter(10, 5, clock, clock.sleep)
    for _ in range(105):
        await rate_limiter.acquire('get')
    assert clock.now == pytest.approx(10)


async def test_a_wait_that_is_too_long_is_refused_unsent():
    clock = Clock()

    async def never_slept(seconds):
        pass

    rate_limiter = CallRateLimiter(10, 5, clock, never_slept)
    for _ in range(15):
        await rate_limiter.acquire('get')
    with pytest.raises(StoreDown):
        await rate_limiter.acquire('get')
    assert rate_limiter.tokens == pytest.approx(-10)
    clock.now = 1
    await rate_limiter.acquire('get')


def test_delays_spread_over_a_growing_range_up_to_the_longest():
    bounds = backoff_delays(0.2, 5, lambda low, high: high)
    first = [next(bounds) for _ in range(7)]
    assert first == [0.2, 0.4, 0.8, 1.6, 3.2, 5, 5]
    lows = backoff_delays(0.2, 5, lambda low, high: low)
    assert next(lows) == 0
