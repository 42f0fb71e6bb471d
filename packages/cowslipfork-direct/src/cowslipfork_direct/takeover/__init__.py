"""Changes of a group's primary, planned and unplanned."""

from cowslipfork_direct.takeover.board import Board
from cowslipfork_direct.takeover.claims import Claims
from cowslipfork_direct.takeover.reaction import Reaction
from cowslipfork_direct.takeover.records import TAKEOVERS_PREFIX, Takeover
from cowslipfork_direct.takeover.supervision import Supervision
from cowslipfork_direct.takeover.suspecting import Suspecting
from cowslipfork_direct.takeover.tools import Tools

__all__ = (
    'TAKEOVERS_PREFIX',
    'Board',
    'Claims',
    'Reaction',
    'Supervision',
    'Suspecting',
    'Takeover',
    'Tools',
)
