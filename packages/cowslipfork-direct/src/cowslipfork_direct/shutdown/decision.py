"""Decides what a node that shuts down does next, and when its process ends.

A node that is not ready may get new callers for as long as it accepts them: if
too few nodes of a failure domain are ready, the platform uses all of them. So
no kind of work has ended for good while another one goes on. The process ends
only when nobody can connect any more and nothing is left at the same moment.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from cowslipfork_direct.shutdown.schedule import ShutdownSchedule

#: Seconds without a new caller after which none is expected any more.
ROUTING_INTERVAL: Final = 1.0


@dataclass(frozen=True, slots=True)
class Workload:
    """What the end of the process would cut off.

    Attributes:
        accepting: whether callers can still connect.
        starting: connections whose session has not begun.
        requests: callers with a request that has no complete answer.
        transactions: callers who are idle inside a transaction.
        idle: other callers whose connection is open.
        forwarded: statements and transactions of other nodes.
        last_accepted_at: loop time at which the last caller connected.
    """

    accepting: bool = True
    starting: int = 0
    requests: int = 0
    transactions: int = 0
    idle: int = 0
    forwarded: int = 0
    last_accepted_at: float = -math.inf

    @property
    def callers(self) -> int:
        """Connections of callers, in any state."""
        return self.starting + self.requests + self.transactions + self.idle

    @property
    def finished(self) -> bool:
        """Whether there is nothing to cut off."""
        return not (self.callers or self.forwarded)


@dataclass(frozen=True, slots=True)
class ShutdownStep:
    """What a node does now.

    Attributes:
        close_idle: whether it closes connections that wait for nothing.
        roll_back: whether it rolls back transactions that are idle.
        stop_accepting: whether it accepts no more callers from now on.
        end: whether its process may end.
    """

    close_idle: bool = False
    roll_back: bool = False
    stop_accepting: bool = False
    end: bool = False


def next_step(
    schedule: ShutdownSchedule, workload: Workload, now: float
) -> ShutdownStep:
    """Returns what a node that shuts down does now.

    Callers are accepted for as long as they are routed here and their
    statements can be answered in time: to be refused costs them a retry, which
    is likely to be routed to a node that shuts down as well.

    Args:
        schedule: times of the shutdown.
        workload: all work of the node at this moment.
        now: loop time.
    """
    if now < schedule.close_idle_from:
        return ShutdownStep()
    unneeded = workload.finished and not _is_routed(schedule, workload, now)
    return ShutdownStep(
        close_idle=True,
        roll_back=now >= schedule.transactions_until,
        stop_accepting=workload.accepting
        and (unneeded or now >= schedule.answer_by),
        end=now >= schedule.end
        or (workload.finished and not workload.accepting),
    )


def _is_routed(
    schedule: ShutdownSchedule, workload: Workload, now: float
) -> bool:
    """Returns whether callers come although the node is not ready."""
    accepted_at = workload.last_accepted_at
    return (
        accepted_at >= schedule.unrouted_from
        and now < accepted_at + ROUTING_INTERVAL
    )
