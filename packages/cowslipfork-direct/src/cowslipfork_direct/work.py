"""A statement together with the context in which it is served."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from cowslipfork.configuration import AgeRule, RequestClass
from cowslipfork.ids import ClassName, FailureDomain, Mark, WorkspaceName
from cowslipfork.limits import RetryBudget
from cowslipfork_direct.endpoint_monitor import EndpointMonitor
from cowslipfork_direct.group import Group
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.routes import Route
from cowslipfork_direct.statements import Prepared, Statement, Verb
from cowslipfork_direct.trace import Trace

#: Most requests of one priority that may wait in one group's queue on a node.
QUEUE_LENGTH: Final = 200

#: A priority gets this many times as many slots as the next lower one.
PRIORITY_STEP: Final = 4

#: Priorities with a greater number are treated as this one.
LOWEST_PRIORITY: Final = 4


@dataclass(frozen=True, slots=True)
class Service:
    """The objects that serve the statements of one group.

    Attributes:
        group: the group.
        endpoint_monitor: confirms which endpoint is the primary.
        budget: limits retries.
        failure_domain: failure domain of this node.
        metrics: metrics of this node.
    """

    group: Group
    endpoint_monitor: EndpointMonitor
    budget: RetryBudget
    failure_domain: FailureDomain
    metrics: Metrics


@dataclass(frozen=True, slots=True)
class StatementRequest:
    """One statement to execute.

    Attributes:
        statement: the caller's statement.
        route: route of its database.
        values: the caller's session values.
        prepared: definition of the statement that EXECUTE runs; None for
            other statements.
        arrived: boot time of its arrival.
        deadline: loop time by which it must be answered.
        session_mark: highest mark of the session's writes; a read must show
            them.
        workspace: workspace of the caller; None without workspaces.
        workspace_priority: priority of that workspace; 0 is the most urgent.
    """

    statement: Statement
    route: Route
    values: Mapping[str, str]
    prepared: Prepared | None
    arrived: float
    deadline: float
    session_mark: Mark | None
    workspace: WorkspaceName | None = None
    workspace_priority: int = 0

    @property
    def writes(self) -> bool:
        """Whether the statement changes data."""
        if self.prepared is not None:
            return self.prepared.writes
        return self.statement.verb in {Verb.WRITE, Verb.COMMIT}

    @property
    def max_age(self) -> float | None:
        """Greatest age in seconds of what a read may return.

        None for writes and for reads that must be fresh.
        """
        rule = self.route.reads
        if self.writes or not isinstance(rule, AgeRule):
            return None
        return rule.max_age


@dataclass(frozen=True, slots=True)
class ServedStatement:
    """A statement that this node executes.

    Attributes:
        request: the statement.
        service: objects that serve its group.
        trace: details of how the statement was served, for the log.
    """

    request: StatementRequest
    service: Service
    trace: Trace = field(default_factory=Trace)

    @property
    def statement(self) -> Statement:
        """The caller's statement."""
        return self.request.statement

    @property
    def route(self) -> Route:
        """Route of its database."""
        return self.request.route

    @property
    def values(self) -> Mapping[str, str]:
        """The caller's session values."""
        return self.request.values

    @property
    def prepared(self) -> Prepared | None:
        """Definition of the statement that EXECUTE runs."""
        return self.request.prepared

    @property
    def arrived(self) -> float:
        """Boot time of its arrival."""
        return self.request.arrived

    @property
    def deadline(self) -> float:
        """Loop time by which it must be answered."""
        return self.request.deadline

    @property
    def session_mark(self) -> Mark | None:
        """Highest mark of the session's writes."""
        return self.request.session_mark

    @property
    def workspace(self) -> WorkspaceName | None:
        """Workspace of the caller; None without workspaces."""
        return self.request.workspace

    @property
    def writes(self) -> bool:
        """Whether the statement changes data."""
        return self.request.writes

    @property
    def max_age(self) -> float | None:
        """Greatest age in seconds of what a read may return."""
        return self.request.max_age

    @property
    def request_class(self) -> RequestClass:
        """Class of the statement in the group's queue."""
        return request_class_of(
            self.request.route, self.request.workspace_priority
        )


def request_class_of(route: Route, workspace_priority: int = 0) -> RequestClass:
    """Returns the class in which a route's statements wait for connections.

    The less urgent of the two priorities counts.

    Args:
        route: the route.
        workspace_priority: priority of the caller's workspace.
    """
    urgency = max(route.priority, workspace_priority)
    priority = max(0, min(urgency, LOWEST_PRIORITY))
    return RequestClass(
        ClassName(f'priority-{priority}'),
        weight=PRIORITY_STEP ** (LOWEST_PRIORITY - priority),
        queue=QUEUE_LENGTH,
        deadline=route.timeout,
    )
