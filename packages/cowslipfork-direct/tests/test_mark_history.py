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


def history_of(*pairs):
    history = MarkHistory()
    for begun, sampled in pairs:
        history.add_sample(begun, sampled)
    return history


@pytest.mark.parametrize(
    ('not_before', 'expected'),
    [
        (0, mark(1)),
        (1, mark(1)),
        (1.01, mark(5)),
        (2, mark(5)),
        (2.5, None),
    ],
)
def test_the_minimum_mark_is_the_lowest_covering_mark(not_before, expected):
    assert (
        history_of((1, mark(1)), (2, mark(5))).minimum_mark(not_before)
        == expected
    )


def test_a_sample_too_close_to_the_newest_is_ignored():
    history = history_of((1, mark(1)), (1 + SAMPLE_INTERVAL / 2, mark(2)))
    assert history.newest_begun == 1


def test_a_sample_older_than_the_newest_is_ignored():
    history = history_of((2, mark(5)), (1, mark(9)))
    assert history.newest_begun == 2
    assert history.minimum_mark(0) == mark(5)


def test_without_samples_there_is_no_minimum_mark():
    assert MarkHistory().minimum_mark(-math.inf) is None
    assert MarkHistory().newest_begun == -math.inf


def test_old_samples_are_dropped():
    history = history_of(*((n, mark(n)) for n in range(MAX_SAMPLES + 10)))
    assert history.minimum_mark(0) == mark(10)
