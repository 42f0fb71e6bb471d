"""All groups that this node carries."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable, Set
from dataclasses import dataclass
from typing import Any, Final

from cowslipfork.ids import GroupName
from cowslipfork.outcomes import NotRun, Outcome, Reason
from cowslipfork.requests import Answer, Operation, Request
from cowslipfork_proxy.carrier.group_carrier import GroupCarrier

_RETRY_AFTER_MS: Final = 100

#: Seconds between looks at what a retiring carrier has left to finish.
_FINISH_POLL: Final = 0.02


@dataclass(frozen=True, slots=True)
class Carried:
    """A carried group and the coroutine that supervises it."""

    carrier: GroupCarrier
    supervise: Callable[[], Coroutine[Any, Any, None]]


class Carriers:
    """Starts and stops carrying as membership changes."""

    def __init__(
        self,
        make: Callable[[GroupName], Carried | None],
        longest_finish: Callable[[], float],
        stopped: Callable[[], None],
    ) -> None:
        """Starts with no group.

        Args:
            make: wires the carrier of a group; None for an unknown group.
            longest_finish: gives the seconds that statements in flight get
                when a group moves to another node.
            stopped: called when a group's connections are closed.
        """
        self._make = make
        self._longest_finish = longest_finish
        self._stopped = stopped
        self._carried: dict[GroupName, Carried] = {}
        self._retiring: dict[GroupName, Carried] = {}
        self._running: Counter[GroupName] = Counter()
        self._tasks: dict[GroupName, asyncio.Task[None]] = {}
        self._finishing: dict[GroupName, asyncio.Task[None]] = {}

    @property
    def held(self) -> Set[GroupName]:
        """Groups whose connections are open here, also while they finish."""
        return self._carried.keys() | self._retiring.keys()

    @property
    def carried(self) -> dict[GroupName, GroupCarrier]:
        """Carriers by group."""
        return {name: item.carrier for name, item in self._carried.items()}

    def settle(self, wanted: Iterable[GroupName]) -> None:
        """Carries just these groups from now on.

        Args:
            wanted: the groups.
        """
        names = set(wanted)
        for group in self._carried.keys() - names:
            self._retire(group)
        for missing in names - self.held:
            self._start(missing)

    def close(self) -> None:
        """Stops carrying everything at once."""
        for finishing in self._finishing.values():
            finishing.cancel()
        for group, item in {**self._carried, **self._retiring}.items():
            self._end(group, item)
        self._carried.clear()
        self._retiring.clear()

    async def finished(self) -> None:
        """Waits until no retiring group has anything left to finish."""
        await asyncio.gather(*self._finishing.values())

    async def run(self, request: Request) -> Outcome[Answer]:
        """Serves a statement of a carried group.

        Args:
            request: the statement.

        Returns:
            Its outcome; not run if the group is carried elsewhere.
        """
        item = self._carried.get(request.group) or self._finisher(request)
        if item is None:
            return NotRun(
                Reason.NO_CARRIER,
                _RETRY_AFTER_MS,
                f'group {request.group} is not carried here',
            )
        self._running[request.group] += 1
        try:
            return await item.carrier.run(request)
        finally:
            self._running[request.group] -= 1

    def _finisher(self, request: Request) -> Carried | None:
        # A transaction ends where it began; nothing new begins there.
        if request.transaction is None or request.operation is Operation.BEGIN:
            return None
        return self._retiring.get(request.group)

    def _start(self, group: GroupName) -> None:
        item = self._make(group)
        if item is not None:
            self._carried[group] = item
            self._tasks[group] = asyncio.create_task(item.supervise())

    def _retire(self, group: GroupName) -> None:
        self._retiring[group] = self._carried.pop(group)
        self._finishing[group] = asyncio.create_task(self._finish(group))

    async def _finish(self, group: GroupName) -> None:
        item = self._retiring[group]
        for _ in range(round(self._longest_finish() / _FINISH_POLL)):
            if not (self._running[group] or item.carrier.open_transactions):
                break
            await asyncio.sleep(_FINISH_POLL)
        self._end(group, item)
        self._retiring.pop(group)
        self._finishing.pop(group)
        self._stopped()

    def _end(self, group: GroupName, item: Carried) -> None:
        self._tasks.pop(group).cancel()
        item.carrier.close()
