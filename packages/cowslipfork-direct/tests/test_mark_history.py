import math

import pytest

from cowslipfork.ids import Mark, Position, Term
from cowslipfork_direct.mark_history import MOST_SAMPLES, SPACING, Freshness


def mark(position, term=1):
    return Mark(Term(term), Position(position))


def samples(*pairs):
    made = Freshness()
    for begun, noted in pairs:
        made.note(begun, noted)
    return made


@pytest.mark.parametrize(
    ('not_before', 'floor'),
    [
        (0, mark(1)),
        (1, mark(1)),
        (1.01, mark(5)),
        (2, mark(5)),
        (2.5, None),
    ],
)
def test_the_floor_is_the_least_mark_that_covers_a_moment(not_before, floor):
    assert samples((1, mark(1)), (2, mark(5))).floor(not_before) == floor


def test_samples_close_together_are_one():
    made = samples((1, mark(1)), (1 + SPACING / 2, mark(2)))
    assert made.newest == 1


def test_an_answer_that_was_asked_earlier_does_not_go_back():
    made = samples((2, mark(5)), (1, mark(9)))
    assert made.newest == 2
    assert made.floor(0) == mark(5)


def test_without_a_sample_there_is_no_floor():
    assert Freshness().floor(-math.inf) is None
    assert Freshness().newest == -math.inf


def test_old_samples_are_dropped():
    made = samples(*((n, mark(n)) for n in range(MOST_SAMPLES + 10)))
    assert made.floor(0) == mark(10)
