import pytest

from cowslipfork.groups._check_history import MAX_CHECKS, CheckHistory
from cowslipfork.groups.check import CompletedCheck
from cowslipfork.ids import Mark, Position, Term


def mark(position, term=1):
    return Mark(Term(term), Position(position))


def test_age_counts_from_the_last_check_and_lag_from_the_first():
    check_history = CheckHistory()
    checks = [(1, 5), (2, 5), (3, 6), (4, 6), (5, 6)]
    for at, position in checks:
        assert check_history.add(CompletedCheck(at, float(at), mark(position)))
    assert not check_history.add(CompletedCheck(5, 5.0, mark(9)))
    assert check_history.latest_at_or_below(mark(5)).begun == 2
    assert check_history.higher_mark_since(mark(5)) == 3
    assert check_history.higher_mark_since(mark(6)) is None
    assert check_history.latest_at_or_below(mark(4)) is None
    assert check_history.latest_at_or_below(mark(1, term=2)).begun == 5


@pytest.mark.parametrize('writes', [MAX_CHECKS, 5 * MAX_CHECKS])
def test_dropped_checks_only_overstate_an_age(writes):
    check_history = CheckHistory()
    for at in range(1, writes + 1):
        check_history.add(CompletedCheck(at, float(at), mark(at)))
    assert len(check_history._checks) <= MAX_CHECKS
    assert check_history.latest.begun == writes
    for at in range(1, writes + 1):
        proved = check_history.latest_at_or_below(mark(at))
        assert proved is None or proved.begun <= at
