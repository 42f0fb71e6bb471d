"""The order in which waiting requests get slots: state without clock or tasks.

Start-time fair queueing over classes: each class has a virtual time that grows
by 1/weight with each slot it gets; the waiting class with the lowest virtual
time goes first. Inside a class the same holds for workspaces, with equal
weights. Statements of open transactions go before all classes, since they hold
locks that others wait for.

Answers these load patterns: a class of little weight that arrives faster than
it is served, and a workspace that sends many times its usual load. In a single
line both make every other request wait behind them.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import chain
from operator import attrgetter
from typing import Final, Generic, TypeVar

from cowslipfork.configuration import RequestClass
from cowslipfork.ids import ClassName, EndpointId, WorkspaceName

#: Workspaces of one class beyond which those that are idle are forgotten.
MAX_IDLE_WORKSPACES: Final = 1000


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request in the order; compared by identity.

    Attributes:
        request_class: class whose weight applies.
        workspace: workspace inside the class; None without workspaces.
        endpoints: endpoints that could serve the request when it arrived;
            empty if it waits for a change of them.
        deadline: time in seconds after which it can no longer be served.
        in_transaction: whether it goes before all classes.
    """

    request_class: RequestClass
    workspace: WorkspaceName | None
    endpoints: frozenset[EndpointId]
    deadline: float = math.inf
    in_transaction: bool = False


@dataclass(frozen=True, slots=True)
class RequestsAhead:
    """Numbers of requests that are likely to be served before a new one.

    Attributes:
        in_workspace: those of its own workspace and class.
        in_class: those of its class: of each other workspace, at most one more
            than of its own.
    """

    in_workspace: int
    in_class: int


Request = TypeVar('Request', bound=WaitingRequest)


@dataclass(slots=True)
class _WorkspaceQueue(Generic[Request]):
    """Requests of one workspace in one class, with their arrival numbers."""

    virtual_time: float
    requests: OrderedDict[Request, int] = field(default_factory=OrderedDict)

    @property
    def first_arrival(self) -> int:
        """Arrival number of the first request."""
        return next(iter(self.requests.values()))

    def count(self, endpoints: frozenset[EndpointId]) -> int:
        """Returns the number of requests that wait for some endpoints."""
        return sum(
            not request.endpoints or not request.endpoints.isdisjoint(endpoints)
            for request in self.requests
        )


@dataclass(slots=True)
class _ClassQueue(Generic[Request]):
    """Requests of one class by workspace.

    ``workspace_time`` is the virtual time that the workspaces share; the
    ``virtual_time`` is that of the class among the classes.
    """

    virtual_time: float
    length: int = 0
    workspace_time: float = 0
    workspaces: dict[WorkspaceName | None, _WorkspaceQueue[Request]] = field(
        default_factory=dict
    )

    def workspace_queue(
        self, workspace: WorkspaceName | None
    ) -> _WorkspaceQueue[Request]:
        """Returns the queue of a workspace, which is created if needed."""
        queue = self.workspaces.get(workspace)
        if queue is None:
            self._forget_idle()
            queue = _WorkspaceQueue(self.workspace_time)
            self.workspaces[workspace] = queue
        return queue

    def advance(self, workspace: WorkspaceName | None) -> None:
        """Records that a workspace got a slot."""
        queue = self.workspace_queue(workspace)
        self.workspace_time = max(queue.virtual_time, self.workspace_time)
        queue.virtual_time = self.workspace_time + 1

    def in_order(self) -> Iterator[Request]:
        """Yields the requests of the workspace that is due first, and so on."""

        def due(queue: _WorkspaceQueue[Request]) -> tuple[float, int]:
            start = max(queue.virtual_time, self.workspace_time)
            return start, queue.first_arrival

        waiting = [
            queue for queue in self.workspaces.values() if queue.requests
        ]
        for queue in sorted(waiting, key=due):
            yield from queue.requests

    def _forget_idle(self) -> None:
        """Forgets idle workspaces that have no virtual time to make up for."""
        if len(self.workspaces) < MAX_IDLE_WORKSPACES:
            return
        self.workspaces = {
            workspace: queue
            for workspace, queue in self.workspaces.items()
            if queue.requests or queue.virtual_time > self.workspace_time
        }


class FairOrder(Generic[Request]):
    """Waiting requests in the order in which they should get slots."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._classes: dict[ClassName, _ClassQueue[Request]] = {}
        self._in_transaction: OrderedDict[Request, None] = OrderedDict()
        self._virtual_time: float = 0
        self._arrivals = 0
        self._waiting_for: Counter[EndpointId] = Counter()
        self._workspace_waiting_for: Counter[
            tuple[EndpointId, WorkspaceName | None]
        ] = Counter()

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        queued = sum(queue.length for queue in self._classes.values())
        return queued + len(self._in_transaction)

    @property
    def waiting_by_workspace(self) -> Mapping[WorkspaceName | None, int]:
        """Number of waiting requests outside of transactions by workspace."""
        waiting: Counter[WorkspaceName | None] = Counter()
        for class_queue in self._classes.values():
            for workspace, queue in class_queue.workspaces.items():
                waiting[workspace] += len(queue.requests)
        return +waiting

    def add(self, request: Request) -> None:
        """Adds a request behind those of its class and workspace.

        Args:
            request: a request that does not wait yet.
        """
        if request.in_transaction:
            self._in_transaction[request] = None
            return
        self._arrivals += 1
        class_queue = self._class_queue(request.request_class)
        queue = class_queue.workspace_queue(request.workspace)
        queue.requests[request] = self._arrivals
        class_queue.length += 1
        self._count(request, 1)

    def remove(self, request: Request) -> bool:
        """Removes a request in constant time.

        Args:
            request: the request.

        Returns:
            Whether it was waiting.
        """
        if request.in_transaction:
            waited = request in self._in_transaction
            self._in_transaction.pop(request, None)
            return waited
        class_queue = self._class_queue(request.request_class)
        queue = class_queue.workspace_queue(request.workspace)
        if queue.requests.pop(request, None) is None:
            return False
        class_queue.length -= 1
        self._count(request, -1)
        return True

    def advance(
        self, request_class: RequestClass, workspace: WorkspaceName | None
    ) -> None:
        """Records that a class and a workspace in it got a slot.

        Statements of open transactions are not recorded.

        Args:
            request_class: the class.
            workspace: the workspace.
        """
        class_queue = self._class_queue(request_class)
        start = max(class_queue.virtual_time, self._virtual_time)
        self._virtual_time = start
        class_queue.virtual_time = start + 1 / request_class.weight
        class_queue.advance(workspace)

    def in_order(self, now: float) -> Iterator[Request]:
        """Yields requests in the order in which free slots are offered.

        The order must not be changed before the iterator is dropped.

        Args:
            now: the time; requests whose deadline has passed are left out.
        """
        waiting = [queue for queue in self._classes.values() if queue.length]
        classes = sorted(waiting, key=attrgetter('virtual_time'))
        requests = chain(
            self._in_transaction,
            chain.from_iterable(queue.in_order() for queue in classes),
        )
        return (request for request in requests if request.deadline >= now)

    def ahead_of(self, request: WaitingRequest) -> RequestsAhead:
        """Returns how many requests for the same endpoints go before one.

        Args:
            request: a request that does not wait yet.
        """
        class_queue = self._class_queue(request.request_class)
        own = class_queue.workspace_queue(request.workspace)
        in_workspace = own.count(request.endpoints)
        others = sum(
            min(queue.count(request.endpoints), in_workspace + 1)
            for queue in class_queue.workspaces.values()
            if queue is not own
        )
        return RequestsAhead(in_workspace, in_workspace + others)

    def is_full(self, request: WaitingRequest) -> bool:
        """Returns whether too many requests wait for another one to be added.

        A workspace may always have its even share of the queue of its class, so
        that another one which fills it does not keep it out.

        Args:
            request: a request that does not wait yet.
        """
        bound = request.request_class.queue
        class_queue = self._class_queue(request.request_class)
        if class_queue.length < bound:
            return False
        own = class_queue.workspace_queue(request.workspace)
        others = sum(
            bool(queue.requests)
            for queue in class_queue.workspaces.values()
            if queue is not own
        )
        return len(own.requests) * (others + 1) >= bound

    def others_wait(
        self, endpoint: EndpointId, workspace: WorkspaceName | None
    ) -> bool:
        """Returns whether other workspaces wait for an endpoint.

        Args:
            endpoint: the endpoint.
            workspace: the workspace that is not counted.
        """
        own = self._workspace_waiting_for[endpoint, workspace]
        return self._waiting_for[endpoint] > own

    def _class_queue(self, request_class: RequestClass) -> _ClassQueue[Request]:
        return self._classes.setdefault(
            request_class.name, _ClassQueue(self._virtual_time)
        )

    def _count(self, request: Request, change: int) -> None:
        for endpoint in request.endpoints:
            key = (endpoint, request.workspace)
            self._waiting_for[endpoint] += change
            self._workspace_waiting_for[key] += change
            if not self._workspace_waiting_for[key]:
                self._workspace_waiting_for.pop(key)
