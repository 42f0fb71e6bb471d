"""Planned and unplanned changes of a group's primary."""

from cowslipfork_direct.takeover.claims import Claims
from cowslipfork_direct.takeover.departure_cache import DepartureCache
from cowslipfork_direct.takeover.departure_tracker import DepartureTracker
from cowslipfork_direct.takeover.primary_supervisor import PrimarySupervisor
from cowslipfork_direct.takeover.records import TAKEOVERS_PREFIX, Takeover
from cowslipfork_direct.takeover.suspicion_reporter import SuspicionReporter
from cowslipfork_direct.takeover.takeover_cache import TakeoverCache
from cowslipfork_direct.takeover.takeover_context import TakeoverContext
from cowslipfork_direct.takeover.takeover_handler import TakeoverHandler

__all__ = (
    'TAKEOVERS_PREFIX',
    'TakeoverCache',
    'Claims',
    'DepartureCache',
    'DepartureTracker',
    'TakeoverHandler',
    'PrimarySupervisor',
    'SuspicionReporter',
    'Takeover',
    'TakeoverContext',
)
