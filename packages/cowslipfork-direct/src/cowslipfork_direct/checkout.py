"""A connection on loan from an endpoint's pool."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Final

from cowslipfork.limits import QueuedRequest, QueueRejection
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.commands import Command
from cowslipfork_direct.endpoint import Endpoint, lost
from cowslipfork_direct.group import Group
from cowslipfork_direct.link import (
    EndpointReply,
    EndpointStatus,
    Link,
    LinkRefused,
    ReplyCode,
)
from cowslipfork_direct.pooled_link import PooledLink
from cowslipfork_direct.statements import Prepared

#: A question to an endpoint that it answers with its status.
Control = Callable[[Link], Awaitable[EndpointStatus | None]]

#: Seconds for which an endpoint may count a connection that was closed while
#: it owed an answer.
LINGER: Final = 0.5

#: Codes with which an endpoint fails at its work.
_FAILURES: Final = frozenset((ReplyCode.FAILED, ReplyCode.TIMED_OUT))


class Checkout:
    """A lent connection, given back exactly once."""

    def __init__(
        self,
        group: Group,
        endpoint: Endpoint,
        pooled: PooledLink,
    ) -> None:
        """Takes over a connection whose slot is held.

        Args:
            group: group of the endpoint.
            endpoint: whose connection it is.
            pooled: the connection.
        """
        self._group = group
        self._endpoint = endpoint
        self._pooled = pooled
        self._begun = boot_time()
        self._usable = True
        self._returned = False
        self._transaction_open = False
        self._suspended = False

    @property
    def endpoint(self) -> Endpoint:
        """Whose connection it is."""
        return self._endpoint

    @property
    def pooled(self) -> PooledLink:
        """The connection with what is set on it."""
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

        Between the statements of a transaction its connection rests.

        Args:
            commands: at least one.
            until: loop time after which the connection is given up.

        Returns:
            One reply for each command.

        Raises:
            LinkLost: the connection broke or the time passed; it is closed
                when the loan ends.
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
            # The machine may be there and only this path be silent.
            self._endpoint.health.record_failure()
            self._endpoint.drop_idle()
            raise lost(self._endpoint.id, 'no answer in time') from error
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
        """Sends one command; otherwise like ``send``."""
        replies = await self.send(command, until=until)
        return replies[0]

    async def control(
        self,
        action: Control,
        until: float,
    ) -> EndpointStatus | None:
        """Asks the endpoint for its status, perhaps after changing it.

        Args:
            action: what to ask.
            until: loop time after which the connection is given up.

        Returns:
            Its status; None if it refused or is too busy to tell.

        Raises:
            LinkLost: as for ``send``.
        """
        self._check_usable()
        self._usable = False
        try:
            async with asyncio.timeout_at(until):
                with self._endpoint.expecting():
                    status = await action(self._pooled.link)
        except TimeoutError as error:
            self._endpoint.drop_idle()
            raise lost(self._endpoint.id, 'no status in time') from error
        self._usable = True
        return status

    async def set_up(
        self,
        values: Mapping[str, str],
        prepared: Prepared | None,
        until: float,
        *last: Command,
    ) -> EndpointReply | None:
        """Makes the connection a caller's.

        Args:
            values: the caller's session values.
            prepared: statement that has to be prepared.
            until: loop time after which the connection is given up.
            last: a command to send with the others, such as ``Begin``.

        Returns:
            The first reply that is not done, or the last one; None if there
            was nothing to do.

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
            # What is set on the connection is not known any more.
            self._usable = False
        return failed or replies[-1]

    def _suspend(self) -> None:
        """Leaves the slot to others until the next statement."""
        self._suspended = True
        self._group.queue.suspend(self._endpoint.id)

    def _resume(self) -> None:
        if self._suspended:
            self._suspended = False
            self._group.queue.resume(self._endpoint.id)

    def _check_usable(self) -> None:
        """Refuses to send where the next answer belongs to something else."""
        if not self._usable:
            raise lost(self._endpoint.id, 'an answer is outstanding')

    def spoil(self) -> None:
        """Has the connection closed when the loan ends."""
        self._usable = False

    def give_back(self) -> None:
        """Ends the loan; a connection with an answer outstanding is closed."""
        if self._returned:
            return
        self._returned = True
        self._resume()
        usable = self._usable and not self._transaction_open
        self._endpoint.take_back(self._pooled, usable=usable)
        seconds = boot_time() - self._begun
        release = partial(
            self._group.queue.release,
            self._endpoint.id,
            seconds,
        )
        if self._usable or self._endpoint.silent_since is not None:
            release()
        else:
            # The endpoint counts the connection until its work is done.
            asyncio.get_running_loop().call_later(LINGER, release)

    def __enter__(self) -> Checkout:
        """Starts a block at whose end the loan ends."""
        return self

    def __exit__(self, *_: object) -> None:
        """Ends the loan."""
        self.give_back()


async def borrow(
    group: Group,
    queued_request: QueuedRequest,
    values: Mapping[str, str],
) -> Checkout | QueueRejection | LinkRefused:
    """Waits for a connection of one of several endpoints.

    Args:
        group: whose endpoints.
        queued_request: which endpoints, in which order, and until when.
        values: session values that the connection should have already.

    Returns:
        The loan; or why there is none: nothing was sent.
    """
    granted = await group.queue.acquire(queued_request)
    if isinstance(granted, QueueRejection):
        return granted
    endpoint = group.endpoints.get(granted)
    pooled: PooledLink | None = None
    try:
        if endpoint is None:
            return LinkRefused(granted, 'endpoint has left')
        pooled = await endpoint.lend(values)
    except LinkRefused as error:
        return error
    finally:
        if pooled is None:
            group.queue.release(granted, 0)
    return Checkout(group, endpoint, pooled)
