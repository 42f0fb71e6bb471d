"""What the status of an answer of the store tells about its call."""

import pytest

from cowslipfork.store import (
    LeaseLost,
    StoreDown,
    StoreUncertain,
)
from cowslipfork_direct.store_answers import (
    is_found,
    is_swapped,
)


def test_a_key_or_lease_exists_or_not():
    assert is_found('get', 200)
    assert not is_found('get', 404)
    with pytest.raises(StoreDown):
        is_found('get', 202)


@pytest.mark.parametrize(
    ('status', 'error'),
    [
        (404, LeaseLost),
        (403, StoreDown),
        (429, StoreDown),
        (503, StoreDown),
        (204, StoreUncertain),
        (500, StoreUncertain),
        (599, StoreUncertain),
    ],
)
def test_each_status_of_a_swap_tells_what_is_known(status, error):
    assert is_swapped(200)
    assert not is_swapped(412)
    with pytest.raises(StoreDown) as raised:
        is_swapped(status)
    assert type(raised.value) is error
