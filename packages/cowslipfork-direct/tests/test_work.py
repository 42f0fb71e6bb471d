"""The class in which a statement waits."""

import pytest

from cowslipfork.configuration import FreshRule
from cowslipfork.ids import GroupName, Revision
from cowslipfork_direct.routes import DatabaseName, Route
from cowslipfork_direct.work import LOWEST_PRIORITY, request_class_of


def route(priority):
    return Route(
        DatabaseName('d'),
        GroupName('g'),
        FreshRule(),
        timeout=5,
        latency_goal=0.2,
        priority=priority,
        revision=Revision(1),
    )


@pytest.mark.parametrize(
    ('of_route', 'of_workspace', 'counts'),
    [
        (1, 0, 1),
        (1, 3, 3),
        (3, 1, 3),
        (0, LOWEST_PRIORITY + 5, LOWEST_PRIORITY),
    ],
)
def test_the_less_urgent_priority_counts(of_route, of_workspace, counts):
    """Neither an urgent route nor an urgent workspace lifts the other."""
    expected = request_class_of(route(counts))
    assert request_class_of(route(of_route), of_workspace) == expected


def test_without_workspaces_the_route_alone_counts():
    assert request_class_of(route(2)) == request_class_of(route(2), 0)
    assert request_class_of(route(2)).name == 'priority-2'
