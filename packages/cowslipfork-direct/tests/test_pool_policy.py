"""Decisions on the connection of a request, alone."""

from dataclasses import dataclass, field

import pytest

from cowslipfork.limits import Holding
from cowslipfork_direct.pool_policy import (
    OpenNew,
    UseIdle,
    Wanted,
    choose,
    may_use_another,
)


@dataclass(frozen=True)
class Idle:
    workspace: str | None = None
    used_at: float = 0
    values: dict = field(default_factory=dict)

    def has_values(self, values):
        return self.values == values


ZONE = {'zone': '1'}


def test_an_idle_connection_with_the_same_values_is_used_first():
    same = Idle('w', 1, ZONE)
    idle = [Idle('w', 0), same, Idle('w', 2)]
    assert choose(idle, Wanted(ZONE, 'w'), has_room=True) == UseIdle(same)


def test_otherwise_the_one_returned_last_is_used():
    """It is the most likely one to be in the caches of the endpoint."""
    last = Idle('w', 2)
    idle = [Idle('w', 1), last, Idle('x', 3, ZONE)]
    assert choose(idle, Wanted(ZONE, 'w'), has_room=True) == UseIdle(last)


@pytest.mark.parametrize(
    ('own', 'other'), [('w', 'x'), ('w', None), (None, 'x')]
)
def test_a_connection_of_another_workspace_is_never_used(own, other):
    idle = [Idle(other)]
    wanted = Wanted({}, own)
    assert choose(idle, wanted, has_room=True) == OpenNew(None)
    assert choose(idle, wanted, has_room=False) == OpenNew(idle[0])


def test_the_least_recently_used_one_is_evicted():
    """A control request puts it last in the order, but that is no use of it."""
    oldest = Idle('y', 1)
    idle = [Idle('x', 2), Idle('z', 3), oldest]
    assert choose(idle, Wanted({}, 'w'), has_room=False) == OpenNew(oldest)


def test_a_control_request_uses_any_idle_connection():
    idle = [Idle('x', 2)]
    wanted = Wanted({}, any_workspace=True)
    assert choose(idle, wanted, has_room=True) == UseIdle(idle[0])
    assert choose([], wanted, has_room=False) == OpenNew(None)


@pytest.mark.parametrize(
    ('connections', 'share', 'others_wait', 'allowed'),
    [
        (9, 10, False, True),
        (4, 10, True, True),
        (5, 10, True, False),
        (0, 1, True, True),
        (1, 3, True, False),
        (0, 0, True, True),
    ],
)
def test_a_workspace_gets_half_of_the_share_while_others_wait(
    connections, share, others_wait, allowed
):
    holding = Holding(connections, share, others_wait)
    assert may_use_another(holding) is allowed
