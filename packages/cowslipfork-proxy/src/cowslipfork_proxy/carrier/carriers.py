"""All groups that this node carries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any, Final

from cowslipfork.ids import GroupName
from cowslipfork.outcomes import NotRun, Outcome, Reason
from cowslipfork.requests import Answer, Request
from cowslipfork_proxy.carrier.group_carrier import GroupCarrier

_RETRY_AFTER_MS: Final = 100


@dataclass(frozen=True, slots=True)
class Carried:
    """A carried group and the coroutine that supervises it."""

    carrier: GroupCarrier
    supervise: Callable[[], Coroutine[Any, Any, None]]


class Carriers:
    """Starts and stops carrying as membership changes."""

    def __init__(self, make: Callable[[GroupName], Carried | None]) -> None:
        """Starts with no group.

        Args:
            make: wires the carrier of a group; None for an unknown group.
        """
        self._make = make
        self._carried: dict[GroupName, Carried] = {}
        self._tasks: dict[GroupName, asyncio.Task[None]] = {}

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
            self._stop(group)
        for missing in names - self._carried.keys():
            self._start(missing)

    def close(self) -> None:
        """Stops carrying everything."""
        self.settle(())

    async def run(self, request: Request) -> Outcome[Answer]:
        """Serves a statement of a carried group.

        Args:
            request: the statement.

        Returns:
            Its outcome; not run if the group is carried elsewhere.
        """
        item = self._carried.get(request.group)
        if item is None:
            return NotRun(
                Reason.NO_CARRIER,
                _RETRY_AFTER_MS,
                f'group {request.group} is not carried here',
            )
        return await item.carrier.run(request)

    def _start(self, group: GroupName) -> None:
        item = self._make(group)
        if item is not None:
            self._carried[group] = item
            self._tasks[group] = asyncio.create_task(item.supervise())

    def _stop(self, group: GroupName) -> None:
        self._tasks.pop(group).cancel()
        self._carried.pop(group).carrier.close()
