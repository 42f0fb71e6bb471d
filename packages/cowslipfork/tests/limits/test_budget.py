from itertools import takewhile

from cowslipfork.limits import RetryBudget
from cowslipfork.limits.budget import BURST


def test_a_storm_of_retries_is_cut_to_the_share_of_first_tries():
    budget = RetryBudget(0.1)
    allowed = 0
    for _ in range(1000):
        budget.record_first_try()
        # Every request wants three retries.
        allowed += sum(takewhile(bool, (budget.try_spend() for _ in range(3))))

    assert allowed <= 1000 * 0.1 + BURST


def test_few_tries_still_get_a_burst():
    budget = RetryBudget(0.1)

    assert all(budget.try_spend() for _ in range(int(BURST)))
    assert not budget.try_spend()
