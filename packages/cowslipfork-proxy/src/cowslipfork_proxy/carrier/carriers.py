"""All groups that this node carries."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine, Hashable, Mapping, Set
from dataclasses import dataclass
from typing import Any, Final

from cowslipfork.ids import GroupName
from cowslipfork.outcomes import NotRun, Outcome, Reason
from cowslipfork.requests import Answer, Operation, Request
from cowslipfork_proxy.carrier.group_carrier import GroupCarrier

_RETRY_AFTER_MS: Final = 100

#: Seconds between looks at what a retiring carrier has left to finish.
_FINISH_POLL: Final = 0.02


log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class SupervisedCarrier:
    """A carried group and the coroutine that supervises it."""

    carrier: GroupCarrier
    supervise: Callable[[], Coroutine[Any, Any, None]]


@dataclass(slots=True, eq=False)
class _Held:
    """A group whose connections are open here.

    Attributes:
        described: all of the configuration that the carrier was built from.
        supervised: samples and supervises the group.
        finishing: lets what has begun finish, once the group is given up.
        running: statements outside transactions without an outcome.
        freed: whether another node may carry the group.
    """

    described: Hashable
    carrier: GroupCarrier
    supervised: asyncio.Task[None]
    finishing: asyncio.Future[None]
    running: int = 0
    freed: bool = False

    @property
    def busy(self) -> bool:
        """Whether statements outside transactions run or stream rows."""
        transactions = self.carrier.open_transactions
        return self.running > 0 or self.carrier.checked_out > transactions

    def end(self) -> None:
        """Closes the group's connections."""
        self.supervised.cancel()
        self.carrier.close()


class Carriers:
    """Starts and stops carrying as membership changes."""

    def __init__(
        self,
        make: Callable[[GroupName], SupervisedCarrier | None],
        longest_finish: Callable[[], float],
        stopped: Callable[[], None],
    ) -> None:
        """Starts with no group.

        Args:
            make: wires the carrier of a group; None for an unknown group.
            longest_finish: gives the seconds that statements in flight get
                when a group moves to another node.
            stopped: called when another node may carry a group.
        """
        self._make = make
        self._longest_finish = longest_finish
        self._stopped = stopped
        self._carried: dict[GroupName, _Held] = {}
        self._retiring: dict[GroupName, _Held] = {}

    @property
    def held_groups(self) -> Set[GroupName]:
        """Groups that no other node may carry yet.

        A group that was given up counts until its last statement outside a
        transaction has ended. Transactions finish here while the next
        carrier begins: each uses its own share of the connections.
        """
        finishing = {
            group for group, item in self._retiring.items() if not item.freed
        }
        return self._carried.keys() | finishing

    @property
    def by_group(self) -> dict[GroupName, GroupCarrier]:
        """Carriers by group."""
        return {name: item.carrier for name, item in self._carried.items()}

    def reconcile(self, wanted: Mapping[GroupName, Hashable]) -> None:
        """Carries just these groups from now on.

        Args:
            wanted: the groups, each with all of the configuration that its
                carrier is built from; a change builds the carrier anew.
        """
        for group, item in tuple(self._carried.items()):
            if group not in wanted or wanted[group] != item.described:
                self._retire(group)
        for missing in wanted.keys() - self._carried.keys():
            self._start(missing, wanted[missing])

    def close(self) -> None:
        """Stops carrying everything at once."""
        for item in (*self._carried.values(), *self._retiring.values()):
            item.finishing.cancel()
            item.end()
        self._carried.clear()
        self._retiring.clear()

    async def finished(self) -> None:
        """Waits until no retiring group has anything left to finish."""
        finishing = [item.finishing for item in self._retiring.values()]
        await asyncio.gather(*finishing)

    async def run(self, request: Request) -> Outcome[Answer]:
        """Serves a statement of a carried group.

        Args:
            request: the statement.

        Returns:
            Its outcome; not run if the group is carried elsewhere.
        """
        item = self._holder_of(request)
        if item is None:
            return NotRun(
                Reason.NO_CARRIER,
                _RETRY_AFTER_MS,
                f'group {request.group} is not carried here',
            )
        if request.transaction is not None:
            return await item.carrier.run(request)
        item.running += 1
        try:
            return await item.carrier.run(request)
        finally:
            item.running -= 1

    def _holder_of(self, request: Request) -> _Held | None:
        item = self._carried.get(request.group)
        former = self._retiring.get(request.group)
        name = request.transaction
        if name is None or request.operation is Operation.BEGIN:
            return item
        # A transaction ends where it began; nothing new begins there.
        if former is not None and former.carrier.has_transaction(name):
            return former
        return item or former

    def _start(self, group: GroupName, described: Hashable) -> None:
        kept = self._retiring.get(group)
        if kept is not None and kept.described == described:
            # It came back before it was finished: it simply goes on.
            del self._retiring[group]
            kept.finishing.cancel()
            kept.freed = False
            self._carried[group] = kept
            return
        made = self._make(group)
        if made is not None:
            task = asyncio.create_task(made.supervise())
            log.info('group carried', extra={'group': group})
            nothing: asyncio.Future[None] = asyncio.Future()
            self._carried[group] = _Held(
                described,
                made.carrier,
                task,
                nothing,
            )

    def _retire(self, group: GroupName) -> None:
        log.info('group given up', extra={'group': group})
        former = self._retiring.pop(group, None)
        if former is not None:
            former.finishing.cancel()
            former.end()
        item = self._carried.pop(group)
        self._retiring[group] = item
        item.finishing = asyncio.create_task(self._finish(group, item))

    async def _finish(self, group: GroupName, item: _Held) -> None:
        until = asyncio.get_running_loop().time() + self._longest_finish()
        await _poll_until(until, lambda: not item.busy)
        item.freed = True
        self._stopped()
        await _poll_until(
            until,
            lambda: not item.carrier.open_transactions,
        )
        del self._retiring[group]
        item.end()


async def _poll_until(until: float, done: Callable[[], bool]) -> None:
    """Waits for a condition, at most until a loop time in seconds."""
    loop = asyncio.get_running_loop()
    while True:
        if done() or loop.time() >= until:
            return
        await asyncio.sleep(_FINISH_POLL)
