"""Routing of statements from an entry node to the carrier of their group."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final

from cowslipfork.ids import GroupName, TransactionId, VmId
from cowslipfork.outcomes import Done, NotRun, Outcome, Reason, Unknown
from cowslipfork.requests import Answer, Operation, Request, RequestHandler

#: Seconds between tries while a group's carrier changes; jittered.
_PAUSE: Final = 0.02

_RETRY_AFTER_MS: Final = 200

#: Reasons that pass once the carrier or the primary is known again.
_PASSING: Final = frozenset(
    (Reason.NO_CARRIER, Reason.NO_PRIMARY, Reason.STALE_TERM),
)


class Router:
    """Sends each statement to the carrier of its group."""

    def __init__(
        self,
        carrier_of: Callable[[GroupName], VmId | None],
        runner_for: Callable[[VmId], RequestHandler],
        max_waiting: Callable[[], int],
    ) -> None:
        """Remembers how to find carriers.

        Args:
            carrier_of: gives the VM that carries a group.
            runner_for: gives what runs a statement at a VM, this one included.
            max_waiting: most statements that wait for a carrier or a primary.
        """
        self._carrier_of = carrier_of
        self._runner_for = runner_for
        self._max_waiting = max_waiting
        self._transactions: dict[TransactionId, VmId] = {}
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Statements that wait for a carrier or a primary."""
        return self._waiting

    async def run(self, request: Request) -> Outcome[Answer]:
        """Has a statement run by its group's carrier.

        Args:
            request: the statement.

        Returns:
            Its outcome. A statement that was not run because the carrier or
            the primary changes is held and tried again within its deadline.
        """
        outcome = await self._once(request)
        if not _may_pass(outcome, request):
            return outcome
        if self._waiting >= self._max_waiting():
            return outcome
        self._waiting += 1
        try:
            return await self._until_passed(request, outcome)
        finally:
            self._waiting -= 1

    async def _until_passed(
        self,
        request: Request,
        outcome: Outcome[Answer],
    ) -> Outcome[Answer]:
        loop = asyncio.get_running_loop()
        while _may_pass(outcome, request):
            pause = _PAUSE * (1 + random.random())
            if loop.time() + pause >= request.deadline:
                break
            await asyncio.sleep(pause)
            again = await self._once(request)
            # An earlier try that may have run is not undone by a later one
            # that did not.
            if not (isinstance(outcome, Unknown) and isinstance(again, NotRun)):
                outcome = again
        return outcome

    async def _once(self, request: Request) -> Outcome[Answer]:
        if request.transaction is not None:
            return await self._in_transaction(request, request.transaction)
        vm = self._carrier_of(request.group)
        if vm is None:
            return NotRun(
                Reason.NO_CARRIER,
                _RETRY_AFTER_MS,
                f'no VM carries group {request.group}',
            )
        return await self._runner_for(vm)(request)

    async def _in_transaction(
        self,
        request: Request,
        transaction: TransactionId,
    ) -> Outcome[Answer]:
        """Keeps a transaction at the carrier that opened it."""
        if request.operation is Operation.BEGIN:
            vm = self._carrier_of(request.group)
            if vm is not None:
                self._transactions[transaction] = vm
        held_by = self._transactions.get(transaction)
        if held_by is None:
            return NotRun(
                Reason.TRANSACTION_LOST,
                detail='no such transaction is open',
            )
        outcome = await self._runner_for(held_by)(request)
        ending = request.operation in {Operation.COMMIT, Operation.ROLLBACK}
        failed_begin = request.operation is Operation.BEGIN and not isinstance(
            outcome,
            Done,
        )
        if ending or failed_begin:
            self._transactions.pop(transaction, None)
        return outcome


def _may_pass(outcome: Outcome[Answer], request: Request) -> bool:
    """Tells whether another try is safe and may fare better."""
    inside = request.transaction is not None
    if inside and request.operation is not Operation.BEGIN:
        # What a transaction has done so far is with its carrier only.
        return False
    if isinstance(outcome, NotRun):
        return outcome.reason in _PASSING
    # A job is recorded once, however often it is sent.
    return isinstance(outcome, Unknown) and request.request_id is not None
