"""A bounded pool of connections to one endpoint."""

from __future__ import annotations

import asyncio
from collections import deque

from cowslipfork.configuration import Endpoint
from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import EndpointId, Term
from cowslipfork_proxy.endpoints.connection import (
    EndpointConnection,
    Login,
    open_connection,
)


class PoolClosed(CowslipforkError):
    """The pool was closed while a connection was wanted."""

    def __init__(self, endpoint: EndpointId) -> None:
        """Remembers whose pool it was.

        Args:
            endpoint: the endpoint of the pool.
        """
        super().__init__(f'pool of endpoint {endpoint} is closed')
        self.endpoint = endpoint


class Pool:
    """Connections to one endpoint, at most ``limit`` open at any time."""

    def __init__(
        self,
        endpoint: Endpoint,
        login: Login,
        database: str,
        limit: int,
    ) -> None:
        """Starts empty; connections are opened as they are wanted.

        Args:
            endpoint: where to.
            login: user and password.
            database: schema to select.
            limit: most connections open at once.
        """
        self._endpoint = endpoint
        self._login = login
        self._database = database
        self._limit = limit
        self._room = asyncio.Semaphore(limit)
        self._idle: deque[EndpointConnection] = deque()
        self._checked_out: set[EndpointConnection] = set()
        self._closed = False

    @property
    def endpoint(self) -> Endpoint:
        """Where the connections lead."""
        return self._endpoint

    @property
    def limit(self) -> int:
        """Most connections open at once."""
        return self._limit

    @property
    def checked_out(self) -> int:
        """Connections in use."""
        return len(self._checked_out)

    async def acquire(self, term: Term, timeout: float) -> EndpointConnection:
        """Lends a connection bound to a term.

        Args:
            term: term of the statements to come.
            timeout: seconds, for connecting and for binding each.

        Returns:
            A connection that has to be given back by ``release``.

        Raises:
            ConnectionBroken: none could be opened.
            EndpointRefused: the endpoint refused login or term.
            PoolClosed: the pool was closed.
            TimeoutError: all connections stayed lent.
        """
        await self._enter(timeout)
        connection: EndpointConnection | None = None
        bound = False
        try:
            connection = await self._take(timeout)
            await connection.bind(term, timeout)
            bound = True
        finally:
            if not bound:
                self._give_up(connection)
        self._checked_out.add(connection)
        return connection

    def release(self, connection: EndpointConnection) -> None:
        """Takes a connection back; a broken one is closed, never lent again.

        Args:
            connection: what ``acquire`` lent.
        """
        if connection not in self._checked_out:
            return
        self._checked_out.discard(connection)
        if connection.usable and not self._closed:
            self._idle.append(connection)
        else:
            connection.close()
        self._room.release()

    def drop_idle(self) -> None:
        """Closes idle connections, as after a sign of a silent path."""
        while self._idle:
            self._idle.pop().close()

    def close_before_term(self, term: Term) -> None:
        """Closes lent connections that are bound to an earlier term.

        Whoever waits for an answer on one learns at once that it broke.

        Args:
            term: the term now in force.
        """
        for connection in self._checked_out:
            if connection.term is not None and connection.term < term:
                connection.close()

    def close(self) -> None:
        """Closes everything, lent connections included."""
        self._closed = True
        self.drop_idle()
        for connection in self._checked_out:
            connection.close()

    async def _enter(self, timeout: float) -> None:
        if self._room.locked():
            async with asyncio.timeout(timeout):
                await self._room.acquire()
        else:
            # There is room: no wait, and no cost of a timer.
            await self._room.acquire()

    async def _take(self, timeout: float) -> EndpointConnection:
        if self._closed:
            raise PoolClosed(self._endpoint.name)
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                return connection
            connection.close()
        return await open_connection(
            self._endpoint,
            self._login,
            self._database,
            timeout,
        )

    def _give_up(self, connection: EndpointConnection | None) -> None:
        if connection is not None:
            connection.close()
        self._room.release()
