"""Read routing: which endpoints may serve a read under its reading rule."""

from cowslipfork.reads.choose import choose_endpoints
from cowslipfork.reads.eligible import Candidate, ReadPreference, candidates
from cowslipfork.reads.requirement import ReadRequirement, read_requirement

__all__ = (
    'Candidate',
    'ReadRequirement',
    'ReadPreference',
    'candidates',
    'choose_endpoints',
    'read_requirement',
)
