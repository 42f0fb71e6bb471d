"""Admission control: slots, queues, team limits and retry budgets."""

from cowslipfork.limits.budget import RetryBudget
from cowslipfork.limits.queue import Place, Shed, SlotQueue
from cowslipfork.limits.teams import TeamLimits

__all__ = ('Place', 'RetryBudget', 'Shed', 'SlotQueue', 'TeamLimits')
