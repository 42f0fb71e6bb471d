"""What the executors that forward statements use of their node."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any, Final

from cowslipfork.ids import TransactionId, VmId
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.execution import Executed
from cowslipfork_direct.forwarding.carrier_table import CarrierTable
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.peers import PeerClient
from cowslipfork_direct.work import StatementRequest

_MS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class Forwarding:
    """What the executors that forward statements use of their node.

    Attributes:
        peers: links to other nodes.
        table: carriers of each group.
        metrics: metrics of this node.
    """

    peers: PeerClient
    table: CarrierTable
    metrics: Metrics
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    @property
    def entry(self) -> VmId:
        """This node."""
        return self.table.entry

    def new_transaction(self) -> TransactionId:
        """Returns an identifier that this process has not used before."""
        return TransactionId(f't{next(self._numbers)}')


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
    return replace(executed, log_fields=fields)
