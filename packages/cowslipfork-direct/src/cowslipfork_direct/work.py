"""A statement together with all that decides how it is served."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from cowslipfork.configuration import AgeRule, RequestClass
from cowslipfork.ids import ClassName, FailureDomain, Mark
from cowslipfork.limits import RetryBudget
from cowslipfork_direct.endpoint_monitor import EndpointMonitor
from cowslipfork_direct.group import Group
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.routes import Route
from cowslipfork_direct.statements import Prepared, Statement, Verb
from cowslipfork_direct.trace import Trace

#: Requests of one priority that wait at one group of one node.
QUEUE_LENGTH: Final = 200

#: How many times as many slots a priority gets as the next one.
PRIORITY_STEP: Final = 4

#: Priorities beyond this one are served like it.
LAST_PRIORITY: Final = 4


@dataclass(frozen=True, slots=True)
class Service:
    """What serves the statements of a group.

    Attributes:
        group: the group.
        endpoint_monitor: proves who its primary is.
        budget: retries that may be made.
        here: failure domain of this node.
        metrics: counts what happens.
    """

    group: Group
    endpoint_monitor: EndpointMonitor
    budget: RetryBudget
    here: FailureDomain
    metrics: Metrics


@dataclass(frozen=True, slots=True)
class Work:
    """One statement to serve.

    Attributes:
        statement: the caller's statement.
        route: rules of its database.
        service: what serves its group.
        values: the caller's session values.
        prepared: what EXECUTE stands for; None for other statements.
        arrived: boot time of its arrival.
        deadline: loop time after which it is answered with a failure.
        seen: last log entry that the session wrote or was shown.
        trace: what decided about the statement, for the log.
    """

    statement: Statement
    route: Route
    service: Service
    values: Mapping[str, str]
    prepared: Prepared | None
    arrived: float
    deadline: float
    seen: Mark | None
    trace: Trace = field(default_factory=Trace)

    @property
    def writes(self) -> bool:
        """Whether the statement changes data."""
        if self.prepared is not None:
            return self.prepared.writes
        return self.statement.verb in {Verb.WRITE, Verb.COMMIT}

    @property
    def max_age(self) -> float | None:
        """Greatest age of what a read may show; None if it must be fresh."""
        rule = self.route.reads
        if self.writes or not isinstance(rule, AgeRule):
            return None
        return rule.max_age

    @property
    def request_class(self) -> RequestClass:
        """Class in the queue of the group."""
        return class_of(self.route)


def class_of(route: Route) -> RequestClass:
    """Gives the class in which a route's statements wait for a connection.

    Args:
        route: the route.
    """
    priority = max(0, min(route.priority, LAST_PRIORITY))
    return RequestClass(
        ClassName(f'priority-{priority}'),
        weight=PRIORITY_STEP ** (LAST_PRIORITY - priority),
        queue=QUEUE_LENGTH,
        deadline=route.timeout,
    )
