"""Admission control: slots, queues, team limits and retry budgets."""

from cowslipfork.limits.budget import RetryBudget
from cowslipfork.limits.queue import QueuedRequest, QueueRejection, SlotQueue
from cowslipfork.limits.slot_counts import Holding
from cowslipfork.limits.teams import TeamLimits

__all__ = (
    'Holding',
    'QueuedRequest',
    'RetryBudget',
    'QueueRejection',
    'SlotQueue',
    'TeamLimits',
)
