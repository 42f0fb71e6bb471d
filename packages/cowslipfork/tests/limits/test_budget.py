from itertools import takewhile

from cowslipfork.limits import RetryBudget
from cowslipfork.limits.budget import BURST


def test_retries_are_limited_to_a_fraction_of_first_tries():
    budget = RetryBudget(0.1)
    allowed = 0
    for _ in range(1000):
        budget.record_first_try()
        # Every request tries to make three retries.
        allowed += sum(takewhile(bool, (budget.try_spend() for _ in range(3))))

    assert allowed <= 1000 * 0.1 + BURST


def test_a_burst_of_retries_is_allowed_without_first_tries():
    budget = RetryBudget(0.1)

    assert all(budget.try_spend() for _ in range(int(BURST)))
    assert not budget.try_spend()
