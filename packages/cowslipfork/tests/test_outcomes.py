import pytest

from cowslipfork.ids import RequestId
from cowslipfork.outcomes import NotRun, Reason, Unknown, describe


@pytest.mark.parametrize(
    ('outcome', 'text'),
    [
        (
            NotRun(Reason.QUEUE_FULL, 40, 'class counter'),
            'not run: queue_full; retry after 40 ms; class counter',
        ),
        (
            Unknown(RequestId('r1'), 50),
            'unknown: outcome_unknown; retry after 50 ms; '
            'resolve by request_id r1',
        ),
    ],
)
def test_describe_names_outcome_and_time_to_come_back(outcome, text):
    assert describe(outcome) == text
