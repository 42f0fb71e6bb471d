"""Read routing: which endpoints may serve a read under its reading rule."""

from cowslipfork.reads.choose import choose
from cowslipfork.reads.eligible import Candidate, Standing, candidates
from cowslipfork.reads.requirement import Need, need_of

__all__ = (
    'Candidate',
    'Need',
    'Standing',
    'candidates',
    'choose',
    'need_of',
)
