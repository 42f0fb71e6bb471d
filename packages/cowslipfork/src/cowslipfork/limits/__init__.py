"""Admission control: slots, queues, team limits and retry budgets."""

from cowslipfork.limits.budget import RetryBudget
from cowslipfork.limits.queue import QueuedRequest, QueueRejection, SlotQueue
from cowslipfork.limits.teams import TeamLimits

__all__ = (
    'QueuedRequest',
    'RetryBudget',
    'QueueRejection',
    'SlotQueue',
    'TeamLimits',
)
