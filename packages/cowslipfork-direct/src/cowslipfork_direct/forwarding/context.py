"""What the executors that forward statements use of their node."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Final

from cowslipfork.ids import TransactionId, VmId
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.execution import Executed
from cowslipfork_direct.forwarding.carrier_table import CarrierTable
from cowslipfork_direct.forwarding.messages import EndTransaction
from cowslipfork_direct.forwarding.peer_port import (
    PeerLink,
    PeerLost,
    PeerNotReached,
    PeerRequests,
)
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.work import StatementRequest

log = logging.getLogger(__name__)

#: Seconds for which a node that rolls a transaction back is waited for.
ROLLBACK_TIMEOUT: Final = 1.0

_MS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class Forwarding:
    """What the executors that forward statements use of their node.

    Attributes:
        peers: links to other nodes.
        table: carriers of each group.
        metrics: metrics of this node.
    """

    peers: PeerRequests
    table: CarrierTable
    metrics: Metrics
    _numbers: Iterator[int] = field(default_factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def entry(self) -> VmId:
        """This node."""
        return self.table.entry

    def new_transaction(self) -> TransactionId:
        """Returns an identifier that this process has not used before."""
        return TransactionId(f't{next(self._numbers)}')

    def roll_back(self, link: PeerLink, transaction: TransactionId) -> None:
        """Asks a node to roll a transaction back, without waiting for it.

        If the link is lost, the node does so by itself.

        Args:
            link: link on which the transaction was begun.
            transaction: its identifier.
        """
        task = asyncio.create_task(_roll_back(link, transaction))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def described(
    executed: Executed, request: StatementRequest, node: VmId, tries: int
) -> Executed:
    """Adds to a result where the statement was executed.

    Args:
        executed: the result.
        request: the statement.
        node: node that executed it.
        tries: number of other nodes to which sending it was tried.
    """
    elapsed = boot_time() - request.arrived
    fields: dict[str, Any] = {
        **executed.log_fields,
        'ms': round(elapsed * _MS_PER_SECOND),
        'carrier': node,
        'forward_tries': tries,
    }
    return Executed(executed.outcome, executed.mark, fields)


async def _roll_back(link: PeerLink, transaction: TransactionId) -> None:
    with suppress(PeerNotReached, PeerLost):
        await link.request(EndTransaction(transaction), ROLLBACK_TIMEOUT)
