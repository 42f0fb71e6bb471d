import math

import pytest

from cowslipfork.ids import Mark, Position, Term
from cowslipfork_direct.mark_history import (
    MAX_SAMPLES,
    SAMPLE_INTERVAL,
    MarkHistory,
)


def mark(position, term=1):
    return Mark(Term(term), Position(position))


def samples(*pairs):
    made = MarkHistory()
    for begun, noted in pairs:
        made.add_sample(begun, noted)
    return made


@pytest.mark.parametrize(
    ('not_before', 'minimum_mark'),
    [
        (0, mark(1)),
        (1, mark(1)),
        (1.01, mark(5)),
        (2, mark(5)),
        (2.5, None),
    ],
)
def test_the_floor_is_the_least_mark_that_covers_a_moment(
    not_before, minimum_mark
):
    assert (
        samples((1, mark(1)), (2, mark(5))).minimum_mark(not_before)
        == minimum_mark
    )


def test_samples_close_together_are_one():
    made = samples((1, mark(1)), (1 + SAMPLE_INTERVAL / 2, mark(2)))
    assert made.newest_begun == 1


def test_an_answer_that_was_asked_earlier_does_not_go_back():
    made = samples((2, mark(5)), (1, mark(9)))
    assert made.newest_begun == 2
    assert made.minimum_mark(0) == mark(5)


def test_without_a_sample_there_is_no_floor():
    assert MarkHistory().minimum_mark(-math.inf) is None
    assert MarkHistory().newest_begun == -math.inf


def test_old_samples_are_dropped():
    made = samples(*((n, mark(n)) for n in range(MAX_SAMPLES + 10)))
    assert made.minimum_mark(0) == mark(10)
