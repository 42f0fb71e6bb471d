"""Slots and connections of a group's endpoints, taken and given together."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import Final

from cowslipfork.configuration import RequestClass
from cowslipfork.ids import EndpointId, Term
from cowslipfork.limits import QueuedRequest, QueueRejection, SlotQueue
from cowslipfork.outcomes import NotRun, Reason
from cowslipfork.requests import Answer
from cowslipfork.requests.answer import Rows
from cowslipfork_proxy.endpoints import (
    ConnectionBroken,
    EndpointConnection,
    EndpointRefused,
    Pool,
    PoolClosed,
)

#: Milliseconds after which an endpoint is likely to be reached again.
RECONNECT_MS: Final = 100


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a statement needs before it can run.

    Attributes:
        candidates: endpoints that may run it now, best first.
        term_of: gives the term that an endpoint's connection is bound to.
        deadline: loop time in seconds.
    """

    request_class: RequestClass
    candidates: Callable[[], Sequence[EndpointId]]
    term_of: Callable[[EndpointId], Term]
    deadline: float
    in_transaction: bool = False


@dataclass(frozen=True, slots=True)
class Unreached:
    """An endpoint gave no connection; nothing was sent.

    Attributes:
        endpoint: which endpoint.
        stale: whether it is in another term.
    """

    endpoint: EndpointId
    stale: bool


def not_granted(found: NotRun | Unreached) -> NotRun:
    """Judges a statement that got no grant.

    Args:
        found: why there is none.

    Returns:
        The outcome.
    """
    if isinstance(found, NotRun):
        return found
    reason = Reason.STALE_TERM if found.stale else Reason.CONNECTION_LOST
    return NotRun(
        reason,
        RECONNECT_MS,
        f'endpoint {found.endpoint} was not reached',
    )


class Grant:
    """A slot and a connection of one endpoint."""

    def __init__(
        self,
        connection: EndpointConnection,
        give_back: Callable[[], None],
    ) -> None:
        """Holds both until released.

        Args:
            connection: the connection, bound to a term.
            give_back: returns slot and connection.
        """
        self._connection = connection
        self._give_back = give_back
        self._held = True

    @property
    def connection(self) -> EndpointConnection:
        """The connection, bound to a term."""
        return self._connection

    def release(self) -> None:
        """Gives slot and connection back; more calls do nothing."""
        if self._held:
            self._held = False
            self._give_back()

    def until_read(self, answer: Answer) -> Answer:
        """Keeps the grant until the rows of an answer are read or dropped.

        Args:
            answer: answer of this grant's connection.

        Returns:
            The same answer; without a result set the grant ends at once.
        """
        if answer.columns:
            answer.rows = self._rows(answer.rows)
        else:
            self.release()
        return answer

    async def _rows(self, rows: Rows) -> Rows:
        try:
            async with aclosing(rows) as open_rows:
                async for batch in open_rows:
                    yield batch
        finally:
            self.release()


class Grants:
    """Gives out grants for the endpoints of one group."""

    def __init__(
        self,
        queue: SlotQueue,
        pools: Mapping[EndpointId, Pool],
        connect_timeout: float,
    ) -> None:
        """Remembers what there is to give.

        Args:
            queue: slots of the endpoints.
            pools: connections of the endpoints.
            connect_timeout: seconds for a connection.
        """
        self._queue = queue
        self._pools = pools
        self._connect_timeout = connect_timeout

    @property
    def queue(self) -> SlotQueue:
        """Slots of the endpoints."""
        return self._queue

    @property
    def checked_out(self) -> int:
        """Connections in use."""
        return sum(pool.checked_out for pool in self._pools.values())

    def close_before_term(self, term: Term) -> None:
        """Ends statements that still run in an earlier term.

        Args:
            term: the term now in force.
        """
        for pool in self._pools.values():
            pool.close_before_term(term)

    def close(self) -> None:
        """Closes every connection at once."""
        for pool in self._pools.values():
            pool.close()

    async def slot(self, wanted: Wanted) -> EndpointId | NotRun:
        """Waits for a slot.

        Args:
            wanted: what is needed.

        Returns:
            The endpoint; or why there is no slot.
        """
        entered = await self._queue.acquire(
            QueuedRequest(
                wanted.request_class,
                wanted.candidates,
                wanted.deadline,
                wanted.in_transaction,
            ),
        )
        if isinstance(entered, QueueRejection):
            reason = Reason.DEADLINE if entered.timed_out else Reason.QUEUE_FULL
            return NotRun(reason, entered.retry_after_ms)
        return entered

    async def grant(self, wanted: Wanted) -> Grant | NotRun | Unreached:
        """Waits for a slot and lends a connection.

        Args:
            wanted: what is needed.

        Returns:
            The grant, to be released; or why there is none.
        """
        endpoint = await self.slot(wanted)
        if isinstance(endpoint, NotRun):
            return endpoint
        leave = self._leaver(endpoint)
        connection = await self._lend(endpoint, wanted.term_of(endpoint), leave)
        if not isinstance(connection, EndpointConnection):
            return connection

        def give_back() -> None:
            self._pools[endpoint].release(connection)
            leave()

        return Grant(connection, give_back)

    async def pinned(
        self,
        endpoint: EndpointId,
        term: Term,
    ) -> Grant | NotRun | Unreached:
        """Lends a connection without a slot, for a whole transaction.

        Args:
            endpoint: the primary.
            term: term that the connection is bound to.

        Returns:
            The grant, to be released; or why there is none.
        """
        connection = await self._lend(endpoint, term, _nothing)
        if not isinstance(connection, EndpointConnection):
            return connection
        return Grant(
            connection,
            partial(self._pools[endpoint].release, connection),
        )

    @asynccontextmanager
    async def statement_slot(
        self,
        wanted: Wanted,
    ) -> AsyncIterator[EndpointId | NotRun]:
        """Holds a slot for one statement of a pinned connection.

        Args:
            wanted: what is needed.

        Yields:
            The endpoint, or why there is no slot.
        """
        endpoint = await self.slot(wanted)
        if isinstance(endpoint, NotRun):
            yield endpoint
            return
        leave = self._leaver(endpoint)
        try:
            yield endpoint
        finally:
            leave()

    async def _lend(
        self,
        endpoint: EndpointId,
        term: Term,
        otherwise: Callable[[], None],
    ) -> EndpointConnection | NotRun | Unreached:
        """Borrows from a pool; calls ``otherwise`` if that fails."""
        pool = self._pools[endpoint]
        lent = False
        try:
            connection = await pool.acquire(term, self._connect_timeout)
            lent = True
        except TimeoutError:
            return NotRun(
                Reason.NO_FREE_SLOT,
                RECONNECT_MS,
                f'connections of {endpoint} are all in use',
            )
        except (ConnectionBroken, PoolClosed):
            pool.drop_idle()
            return Unreached(endpoint, stale=False)
        except EndpointRefused as refused:
            stale = refused.errno == Reason.STALE_TERM.value
            return Unreached(endpoint, stale=stale)
        finally:
            if not lent:
                otherwise()
        return connection

    def _leaver(self, endpoint: EndpointId) -> Callable[[], None]:
        loop = asyncio.get_running_loop()
        begun = loop.time()

        def leave() -> None:
            self._queue.release(endpoint, loop.time() - begun)

        return leave


def _nothing() -> None:
    """Has nothing to give back."""
