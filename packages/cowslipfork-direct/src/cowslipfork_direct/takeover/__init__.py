"""Planned and unplanned changes of a group's primary."""

from cowslipfork_direct.takeover.claims import Claims
from cowslipfork_direct.takeover.primary_supervisor import Supervision
from cowslipfork_direct.takeover.records import TAKEOVERS_PREFIX, Takeover
from cowslipfork_direct.takeover.suspicion_reporter import Suspecting
from cowslipfork_direct.takeover.takeover_cache import Board
from cowslipfork_direct.takeover.takeover_context import Tools
from cowslipfork_direct.takeover.takeover_handler import Reaction

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
