import pytest

from cowslipfork.groups._check_history import MAX_CHECKS, CheckHistory
from cowslipfork.groups.check import CompletedCheck
from cowslipfork.ids import Mark, Position, Term


def mark(position, term=1):
    return Mark(Term(term), Position(position))


def test_a_mark_is_as_old_as_its_last_check_and_lacked_since_its_first():
    check_history = CheckHistory()
    found = [(1, 5), (2, 5), (3, 6), (4, 6), (5, 6)]
    for at, position in found:
        assert check_history.add(CompletedCheck(at, float(at), mark(position)))
    assert not check_history.add(CompletedCheck(5, 5.0, mark(9)))
    assert check_history.latest_at_or_below(mark(5)).begun == 2
    assert check_history.higher_mark_since(mark(5)) == 3
    assert check_history.higher_mark_since(mark(6)) is None
    assert check_history.latest_at_or_below(mark(4)) is None
    assert check_history.latest_at_or_below(mark(1, term=2)).begun == 5


@pytest.mark.parametrize('writes', [MAX_CHECKS, 5 * MAX_CHECKS])
def test_dropped_points_only_over_state_an_age(writes):
    check_history = CheckHistory()
    for at in range(1, writes + 1):
        check_history.add(CompletedCheck(at, float(at), mark(at)))
    assert len(check_history._checks) <= MAX_CHECKS
    assert check_history.latest.begun == writes
    for at in range(1, writes + 1):
        proved = check_history.latest_at_or_below(mark(at))
        assert proved is None or proved.begun <= at
