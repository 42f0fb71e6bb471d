"""Intervals at which classes, and workspaces inside them, are served.

Answers the load patterns of ``admission``: most of all a workspace that sends
many times its usual load. Its own requests are served more slowly than those of
its class on average, so that only its own interval tells how long they wait.
"""

from __future__ import annotations

from collections import OrderedDict
from operator import attrgetter
from typing import Final

from cowslipfork.configuration import RequestClass
from cowslipfork.ids import ClassName, WorkspaceName
from cowslipfork.limits.admission import Backlog, updated_interval
from cowslipfork.limits.fair_order import RequestsAhead, WaitingRequest

#: Workspaces of classes whose intervals are kept; the one whose requests have
#: not waited for the longest time is forgotten first.
MAX_WORKSPACES: Final = 1000


class Intervals:
    """Learnt intervals of classes, and of workspaces inside them."""

    def __init__(self) -> None:
        """Starts without intervals."""
        self._classes: dict[ClassName, float] = {}
        self._workspaces: OrderedDict[
            tuple[ClassName, WorkspaceName | None], float
        ] = OrderedDict()

    def start(self, request_class: RequestClass, initial: float) -> None:
        """Sets the interval of a class if it has none.

        Args:
            request_class: the class.
            initial: assumed interval in seconds.
        """
        self._classes.setdefault(request_class.name, initial)

    def backlog(self, request: WaitingRequest, ahead: RequestsAhead) -> Backlog:
        """Returns the backlog of its class or workspace that takes longer.

        Those of its workspace alone hide that many workspaces wait; those of
        its class alone hide that its workspace gets no more than its share.

        Args:
            request: the request, whose class has an interval.
            ahead: requests that go before it.
        """
        backlogs = (
            Backlog(ahead.in_class, self._classes[request.request_class.name]),
            Backlog(ahead.in_workspace, self._of_workspace(request)),
        )
        return max(backlogs, key=attrgetter('expected_wait'))

    def record_served(
        self, request: WaitingRequest, ahead: RequestsAhead, waited: float
    ) -> None:
        """Updates the intervals with a request that waited and got a slot.

        Args:
            request: the request, whose class has an interval.
            ahead: requests that went before it when it arrived.
            waited: seconds that it waited.
        """
        name = request.request_class.name
        of_workspace = self._of_workspace(request)
        self._classes[name] = updated_interval(
            self._classes[name], waited, ahead.in_class
        )
        key = (name, request.workspace)
        self._workspaces[key] = updated_interval(
            of_workspace, waited, ahead.in_workspace
        )
        self._workspaces.move_to_end(key)
        if len(self._workspaces) > MAX_WORKSPACES:
            self._workspaces.popitem(last=False)

    def _of_workspace(self, request: WaitingRequest) -> float:
        name = request.request_class.name
        return self._workspaces.get(
            (name, request.workspace), self._classes[name]
        )
