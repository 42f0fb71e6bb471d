"""Checkout of a connection from an endpoint's pool."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Final

from cowslipfork.ids import EndpointId
from cowslipfork.limits import QueuedRequest, QueueRejection
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.commands import Command
from cowslipfork_direct.endpoint import Endpoint, link_lost
from cowslipfork_direct.group import Group
from cowslipfork_direct.link import (
    EndpointReply,
    EndpointStatus,
    Link,
    LinkRefused,
    ReplyCode,
)
from cowslipfork_direct.pool_policy import Wanted
from cowslipfork_direct.pooled_link import PooledLink
from cowslipfork_direct.statements import Prepared

#: A control request to an endpoint, which answers with its status; None if it
#: refused or is too busy.
Control = Callable[[Link], Awaitable[EndpointStatus | None]]

#: Releases a slot that was held for a number of seconds.
ReleaseSlot = Callable[[float], None]

#: Seconds for which an endpoint may still count a connection that was closed
#: while an answer was outstanding.
SLOT_RELEASE_DELAY: Final = 0.5

#: Reply codes that count as failures of the endpoint.
_FAILURES: Final = frozenset((ReplyCode.FAILED, ReplyCode.TIMED_OUT))


class Checkout:
    """A checked-out connection, returned to its pool exactly once."""

    def __init__(
        self,
        group: Group,
        endpoint: Endpoint,
        pooled: PooledLink,
        release_slot: ReleaseSlot,
    ) -> None:
        """Wraps a connection for which a slot is held.

        Args:
            group: group of the endpoint.
            endpoint: endpoint of the connection.
            pooled: the connection.
            release_slot: releases the slot.
        """
        self._group = group
        self._endpoint = endpoint
        self._pooled = pooled
        self._release_slot = release_slot
        self._checked_out_at = boot_time()
        self._usable = True
        self._returned = False
        self._transaction_open = False
        self._suspended = False

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint of the connection."""
        return self._endpoint

    @property
    def pooled(self) -> PooledLink:
        """The connection with its session state."""
        return self._pooled

    @property
    def transaction_open(self) -> bool:
        """Whether the connection was in a transaction at the last answer."""
        return self._transaction_open

    @property
    def idle_for(self) -> float:
        """Seconds since the connection's last answer."""
        return boot_time() - self._pooled.used_at

    async def send(
        self,
        *commands: Command,
        until: float,
    ) -> list[EndpointReply]:
        """Sends commands.

        The slot is released while the connection is idle in transaction.

        Args:
            commands: at least one.
            until: loop time at which the answer times out.

        Returns:
            One reply for each command.

        Raises:
            LinkLost: the connection broke or timed out; it is closed when the
                checkout ends.
        """
        self._check_usable()
        self._resume()
        self._usable = False
        try:
            async with asyncio.timeout_at(until):
                replies = await self._endpoint.exchange(
                    self._pooled,
                    *commands,
                )
        except TimeoutError as error:
            # The machine may be reachable and only this path be dead.
            self._endpoint.health.record_failure()
            self._endpoint.drop_idle()
            raise link_lost(self._endpoint.id, 'answer timed out') from error
        self._usable = True
        self._transaction_open = replies[-1].transaction_open
        if replies[-1].code in _FAILURES:
            self._endpoint.health.record_failure()
        else:
            self._endpoint.health.record_success()
        if self._transaction_open:
            self._suspend()
        return replies

    async def ask(self, command: Command, until: float) -> EndpointReply:
        """Sends one command and returns its reply; otherwise like ``send``."""
        replies = await self.send(command, until=until)
        return replies[0]

    async def control(
        self,
        action: Control,
        until: float,
    ) -> EndpointStatus | None:
        """Sends a control request, which may change the endpoint's state.

        Args:
            action: the request.
            until: loop time at which the answer times out.

        Returns:
            Its status; None if it refused or is too busy to answer.

        Raises:
            LinkLost: as for ``send``.
        """
        self._check_usable()
        self._usable = False
        try:
            async with asyncio.timeout_at(until):
                with self._endpoint.reply_timer():
                    status = await action(self._pooled.link)
        except TimeoutError as error:
            self._endpoint.drop_idle()
            raise link_lost(self._endpoint.id, 'status timed out') from error
        self._usable = True
        return status

    async def set_up(
        self,
        values: Mapping[str, str],
        prepared: Prepared | None,
        until: float,
        *last: Command,
    ) -> EndpointReply | None:
        """Sets up a caller's session state on the connection.

        Args:
            values: the caller's session values.
            prepared: statement to prepare if it is not prepared yet.
            until: loop time at which the answer times out.
            last: a command to send after the others, such as ``Begin``.

        Returns:
            The first reply whose code is not ``DONE``, or the last one; None
            if there was nothing to send.

        Raises:
            LinkLost: as for ``send``.
        """
        commands = (*self._pooled.set_up(values, prepared), *last)
        if not commands:
            return None
        replies = await self.send(*commands, until=until)
        failed = next(
            (reply for reply in replies if reply.code is not ReplyCode.DONE),
            None,
        )
        if failed is not None and not (last and failed is replies[-1]):
            # The session state of the connection is unknown now.
            self._usable = False
        return failed or replies[-1]

    def _suspend(self) -> None:
        """Releases the slot until the next statement of the transaction."""
        self._suspended = True
        self._group.queue.suspend(self._endpoint.id)

    def _resume(self) -> None:
        if self._suspended:
            self._suspended = False
            self._group.queue.resume(self._endpoint.id)

    def _check_usable(self) -> None:
        """Raises if the next answer could belong to an earlier command."""
        if not self._usable:
            raise link_lost(self._endpoint.id, 'an answer is outstanding')

    def invalidate(self) -> None:
        """Marks the connection to be closed when the checkout ends."""
        self._usable = False

    def release(self) -> None:
        """Ends the checkout.

        The connection is closed if an answer is outstanding, a transaction is
        open or this node has become inactive; otherwise it goes back to the
        pool.
        """
        if self._returned:
            return
        self._returned = True
        self._resume()
        usable = (
            self._usable
            and not self._transaction_open
            and self._group.activity.active
        )
        self._endpoint.check_in(self._pooled, usable=usable)
        seconds = boot_time() - self._checked_out_at
        release = partial(self._release_slot, seconds)
        if self._usable or self._endpoint.unreachable_since is not None:
            release()
        else:
            # The endpoint counts the connection until it finishes its work.
            asyncio.get_running_loop().call_later(SLOT_RELEASE_DELAY, release)

    def __enter__(self) -> Checkout:
        """Starts a block at whose end the checkout ends."""
        return self

    def __exit__(self, *_: object) -> None:
        """Ends the checkout."""
        self.release()


async def check_out(
    group: Group,
    queued_request: QueuedRequest,
    wanted: Wanted,
) -> Checkout | QueueRejection | LinkRefused:
    """Waits for a connection of one of several endpoints.

    Args:
        group: group of the endpoints.
        queued_request: endpoints in order of preference, and the time-out.
        wanted: what the request needs of the connection.

    Returns:
        The checkout, or the reason why there is none; then nothing was sent.
    """
    granted = await group.queue.acquire(queued_request)
    if isinstance(granted, QueueRejection):
        return granted
    release_slot = _slot_release(group, granted, queued_request)
    endpoint = group.endpoints.get(granted)
    pooled: PooledLink | None = None
    try:
        if endpoint is None:
            return LinkRefused(granted, 'endpoint has left the group')
        pooled = await endpoint.check_out(wanted)
    except LinkRefused as error:
        return error
    finally:
        if pooled is None:
            release_slot(0)
    return Checkout(group, endpoint, pooled, release_slot)


def _slot_release(
    group: Group, endpoint: EndpointId, queued_request: QueuedRequest
) -> ReleaseSlot:
    def release_slot(seconds: float) -> None:
        workspace = queued_request.workspace
        group.queue.release(endpoint, seconds, workspace)

    return release_slot
