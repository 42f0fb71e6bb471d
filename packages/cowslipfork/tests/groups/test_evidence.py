import pytest

from cowslipfork.groups import EndpointRole, EndpointStatus
from cowslipfork.groups._evidence import completed_check
from cowslipfork.groups.check import CompletedCheck, Sample
from cowslipfork.ids import EndpointId, Mark, Position, Term

TERM = Term(2)


def sample(ordinal, term=2, role=EndpointRole.REPLICA, position=5):
    mark = Mark(Term(term), Position(position))
    status = EndpointStatus(EndpointId('e'), role, Term(term), mark)
    return Sample(ordinal, float(ordinal), status)


PRIMARY = sample(7, role=EndpointRole.PRIMARY, position=9)


@pytest.mark.parametrize(
    ('others', 'endpoints', 'expected'),
    [
        # A replaced primary finds no majority in its own term.
        ([], 3, None),
        ([sample(8, term=3), sample(9, term=3)], 3, None),
        ([sample(8, term=1), sample(9, term=1)], 3, None),
        ([sample(8)], 5, None),
        # The check is as old as the oldest sample that it needs.
        ([sample(8)], 3, 7),
        ([sample(3)], 3, 3),
        ([sample(3), sample(8)], 3, 7),
        ([sample(3), sample(8), sample(1)], 5, 3),
    ],
)
def test_a_check_needs_a_majority_in_the_term(others, endpoints, expected):
    found = completed_check(TERM, PRIMARY, others, endpoints)

    if expected is None:
        assert found is None
    else:
        mark = PRIMARY.status.mark
        assert found == CompletedCheck(expected, float(expected), mark)
