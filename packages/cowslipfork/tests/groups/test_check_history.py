import pytest

from cowslipfork.groups._check_history import POINTS_KEPT, ProvedPoints
from cowslipfork.groups.check import CheckPoint
from cowslipfork.ids import Mark, Position, Term


def mark(position, term=1):
    return Mark(Term(term), Position(position))


def test_age_counts_from_the_last_check_and_lag_from_the_first():
    points = ProvedPoints()
    checks = [(1, 5), (2, 5), (3, 6), (4, 6), (5, 6)]
    for at, position in checks:
        assert points.add(CheckPoint(at, float(at), mark(position)))
    assert not points.add(CheckPoint(5, 5.0, mark(9)))
    assert points.holding(mark(5)).begun == 2
    assert points.lacking_since(mark(5)) == 3
    assert points.lacking_since(mark(6)) is None
    assert points.holding(mark(4)) is None
    assert points.holding(mark(1, term=2)).begun == 5


@pytest.mark.parametrize('writes', [POINTS_KEPT, 5 * POINTS_KEPT])
def test_dropped_checks_only_overstate_an_age(writes):
    points = ProvedPoints()
    for at in range(1, writes + 1):
        points.add(CheckPoint(at, float(at), mark(at)))
    assert len(points._points) <= POINTS_KEPT
    assert points.latest.begun == writes
    for at in range(1, writes + 1):
        proved = points.holding(mark(at))
        assert proved is None or proved.begun <= at
