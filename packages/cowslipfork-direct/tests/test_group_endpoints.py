"""How many replicas have to confirm a primary, by the age of their list."""

from types import SimpleNamespace

import pytest

from cowslipfork_direct.group_endpoints import (
    DEPARTED_HORIZON,
    LISTING_VALIDITY,
    GroupEndpoints,
)
from cowslipfork_direct.link import EndpointRole


def listed(name, *, leaving=False):
    return SimpleNamespace(
        endpoint=name, role=EndpointRole.REPLICA, leaving=leaving, born=1
    )


def connect(entry):
    return SimpleNamespace(listed=entry, close=lambda: None)


def endpoints_of(count, now, known_at=0):
    made = GroupEndpoints(connect, lambda: now[0], lambda: known_at)
    made.update([listed(f'e{number}') for number in range(count)])
    return made


@pytest.mark.parametrize(
    ('count', 'age', 'needed'),
    [
        (1, 0, 1),
        (3, 0, 1),
        (5, 0, 2),
        (5, LISTING_VALIDITY, 2),
        (3, LISTING_VALIDITY + 1, 2),
        (5, LISTING_VALIDITY + 1, 4),
    ],
)
def test_an_old_list_needs_the_confirmation_of_all(count, age, needed):
    """Guards against a majority of servers that were replaced since."""
    assert endpoints_of(count, [age]).confirmations_needed == needed


@pytest.mark.parametrize(
    ('leaving', 'after', 'counts'),
    [
        (False, DEPARTED_HORIZON - 1, True),
        (False, DEPARTED_HORIZON + 1, False),
        (True, 0, False),
    ],
)
def test_an_endpoint_that_vanished_counts_for_a_while(leaving, after, counts):
    now = [0]
    made = GroupEndpoints(connect, lambda: now[0], lambda: now[0])
    made.update([listed('e1'), listed('e2', leaving=leaving)])
    made.update([listed('e1')])
    now[0] = after
    assert ('e2' in made.countable) is counts
