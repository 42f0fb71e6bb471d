"""Errors of calls of the store whose answers were lost."""

import pytest

from cowslipfork.store import StoreDown, StoreUncertain, WatchClosed
from cowslipfork_direct.store_calls import lost_answer_error


@pytest.mark.parametrize(
    ('operation', 'closed', 'error'),
    [
        ('get', True, StoreDown),
        ('keep', False, StoreDown),
        ('swap', True, StoreUncertain),
        ('swap', False, StoreUncertain),
        ('watch', True, WatchClosed),
        ('watch', False, StoreDown),
    ],
)
def test_only_a_lost_answer_to_a_write_is_uncertain(operation, closed, error):
    raised = lost_answer_error(operation, 'no answer', closed=closed)
    assert type(raised) is error
