"""Holds, demotes and resumes endpoints in a takeover.

Like an order of promotion, none of these may take effect once another node has
claimed: a late one would undo what that node has done. So each begins with a
recent claim, and its connection is reset when it is given up.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Sequence

from cowslipfork.ids import Term
from cowslipfork_direct.boot_timeout import boot_timeout_at
from cowslipfork_direct.checkout import Control
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.endpoint_monitor import EndpointMonitor
from cowslipfork_direct.link import EndpointStatus, Link
from cowslipfork_direct.order_window import may_send
from cowslipfork_direct.takeover.held_claim import HeldClaim

log = logging.getLogger(__name__)

_Statuses = list[EndpointStatus | None]


class EndpointOrders:
    """Sends control requests to endpoints while this node holds a claim."""

    def __init__(
        self, held_claim: HeldClaim, endpoint_monitor: EndpointMonitor
    ) -> None:
        """Sends nothing by itself.

        Args:
            held_claim: claim of the takeover.
            endpoint_monitor: endpoint monitor of the group.
        """
        self._held_claim = held_claim
        self._endpoint_monitor = endpoint_monitor

    async def hold(self, replicas: Sequence[Endpoint], term: Term) -> _Statuses:
        """Has replicas receive nothing until a promotion to a term.

        Args:
            replicas: the replicas.
            term: the term.

        Returns:
            The status in each answer; None without one.
        """
        return await self._send(replicas, lambda link: link.hold(term))

    async def demote(
        self, primary: Endpoint, term: Term
    ) -> EndpointStatus | None:
        """Makes a primary of a lower term a replica.

        Args:
            primary: the primary.
            term: the term.

        Returns:
            The status in its answer; None without one.
        """
        statuses = await self._send([primary], lambda link: link.demote(term))
        return statuses[0]

    async def resume(self, replicas: Sequence[Endpoint]) -> _Statuses:
        """Has replicas receive again.

        Args:
            replicas: the replicas.

        Returns:
            The status in each answer; None without one.
        """
        return await self._send(replicas, lambda link: link.resume())

    async def _send(
        self,
        endpoints: Sequence[Endpoint],
        action: Callable[[Link], Awaitable[EndpointStatus | None]],
    ) -> _Statuses:
        if not endpoints:
            return []
        deadline = await self._held_claim.refresh()
        if deadline is None:
            group = self._held_claim.takeover.group
            log.info('endpoint_orders_withheld', extra={'group': group})
            return [None for _ in endpoints]
        return await self._endpoint_monitor.control_all(
            endpoints, _until(deadline, action)
        )


def _until(
    deadline: float,
    action: Callable[[Link], Awaitable[EndpointStatus | None]],
) -> Control:
    """Returns a control request that doesn't arrive after a deadline.

    Args:
        deadline: boot time.
        action: the request, once a connection is available.
    """

    async def control(link: Link) -> EndpointStatus | None:
        if not may_send(deadline, boot_time()):
            return None
        async with boot_timeout_at(deadline):
            return await action(link)

    return control
