"""The planned end of a node: what it still serves, and when it ends."""

from cowslipfork_direct.shutdown.decision import (
    ShutdownStep,
    Workload,
    next_step,
)
from cowslipfork_direct.shutdown.schedule import ShutdownSchedule
from cowslipfork_direct.shutdown.sequence import Shutdown

__all__ = (
    'Shutdown',
    'ShutdownSchedule',
    'ShutdownStep',
    'Workload',
    'next_step',
)
