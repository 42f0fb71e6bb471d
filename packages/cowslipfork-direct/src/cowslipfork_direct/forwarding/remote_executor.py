"""Executes the statements of a group at its carriers."""

from __future__ import annotations

from functools import partial

from cowslipfork.ids import VmId
from cowslipfork_direct.execution import Executed, StatementExecutor
from cowslipfork_direct.forwarding.context import Forwarding
from cowslipfork_direct.forwarding.decisions import FailedTry, work_of_single
from cowslipfork_direct.forwarding.encoding import forwarded
from cowslipfork_direct.forwarding.messages import Ran, RunSingle
from cowslipfork_direct.forwarding.remote_transaction import RemoteTransaction
from cowslipfork_direct.forwarding.search import CarrierSearch
from cowslipfork_direct.work import StatementRequest


class RemoteExecutor:
    """Sends statements to the carriers of their group.

    If this node is the best carrier, or no other node is available, it
    executes them itself.
    """

    def __init__(
        self, forwarding: Forwarding, local: StatementExecutor
    ) -> None:
        """Executes nothing by itself.

        Args:
            forwarding: what it uses of the node.
            local: executes statements of the group on this node.
        """
        self._forwarding = forwarding
        self._local = local

    async def run_single(self, request: StatementRequest) -> Executed:
        """Runs a statement outside of a transaction."""
        work = work_of_single(request)
        search = CarrierSearch(self._forwarding, request, work)
        return await search.run(partial(self._run_single_at, search, request))

    def begin(self, *, read_only: bool) -> RemoteTransaction:
        """Returns a transaction that begins with its first statement."""
        return RemoteTransaction(
            self._forwarding, self._local, read_only=read_only
        )

    async def _run_single_at(
        self, search: CarrierSearch, request: StatementRequest, node: VmId
    ) -> Executed | FailedTry:
        if node == self._forwarding.entry:
            return await self._local.run_single(request)

        async def send(timeout: float) -> Ran:
            message = RunSingle(forwarded(request))
            peers = self._forwarding.peers
            return await peers.request(node, message, Ran, timeout)

        return await search.ask(node, send)
