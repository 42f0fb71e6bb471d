from cowslipfork.ids import Mark, Position, SessionId, Term
from cowslipfork.sessions.marks import SessionMarks


def mark(position):
    return Mark(Term(1), Position(position))


def test_marks_only_grow_and_the_least_recently_used_is_forgotten():
    marks = SessionMarks(capacity=2)
    one, two, three = map(SessionId, ('one', 'two', 'three'))
    marks.record_write(one, mark(5))
    marks.record_write(one, mark(3))
    marks.record_write(two, mark(7))
    assert marks.minimum_mark(one) == mark(5)
    marks.record_write(three, mark(8))
    assert [marks.minimum_mark(name) for name in (one, two, three)] == [
        mark(5),
        None,
        mark(8),
    ]
    assert len(marks) == 2
    marks.forget(one)
    assert marks.minimum_mark(one) is None
    marks.clear()
    assert marks.minimum_mark(three) is None
