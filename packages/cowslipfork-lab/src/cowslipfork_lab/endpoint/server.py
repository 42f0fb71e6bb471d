"""Listener of an endpoint and its tasks."""

from __future__ import annotations

import asyncio
import logging
from itertools import count
from typing import Any

from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.stream import ConnectionClosed, MysqlStream

from cowslipfork_lab.endpoint.connection import EndpointConnection
from cowslipfork_lab.endpoint.control import ControlSession
from cowslipfork_lab.endpoint.faults import NEVER_BLOCKED
from cowslipfork_lab.endpoint.identity import Anybody
from cowslipfork_lab.endpoint.replication import replicate
from cowslipfork_lab.endpoint.session import EndpointSession
from cowslipfork_lab.endpoint.settings import EndpointSettings
from cowslipfork_lab.endpoint.state import EndpointState

_log = logging.getLogger(__name__)
_ENDED = (ConnectionClosed, ConnectionError, asyncio.IncompleteReadError)


class EndpointServer:
    """An endpoint that serves until it is closed."""

    def __init__(self, settings: EndpointSettings) -> None:
        """Prepares an endpoint.

        Args:
            settings: what it is started with.
        """
        self._settings = settings
        self._state = EndpointState(settings)
        self._ids = count(1)
        self._newest = 0
        self._identity = Anybody()
        self._control = LocalControl(server_id=1)
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._closing = False

    @property
    def state(self) -> EndpointState:
        """State, for tests in the same process."""
        return self._state

    @property
    def port(self) -> int:
        """Port of the MySQL protocol."""
        return self._port(0)

    @property
    def control_port(self) -> int:
        """Port for faults."""
        return self._port(1)

    async def start(self) -> None:
        """Begins to listen and to replicate."""
        settings = self._settings
        listeners = (
            (self._serve_client, settings.port),
            (self._serve_control, settings.control_port),
        )
        for serve, port in listeners:
            self._servers.append(
                await asyncio.start_server(serve, settings.host, port),
            )
        self._state.member.start(settings.primary)
        self._keep(asyncio.create_task(replicate(self._state)))
        _log.info(
            'event=endpoint_started endpoint=%s port=%d control_port=%d',
            settings.name,
            self.port,
            self.control_port,
        )

    async def close(self) -> None:
        """Stops listening and ends every connection."""
        self._closing = True
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def serve_forever(self) -> None:
        """Serves until cancelled."""
        try:
            await asyncio.Event().wait()
        finally:
            await self.close()

    async def _serve_client(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        session = EndpointSession(self._state)
        connection = EndpointConnection(
            self._state,
            MysqlStream(reader, writer),
            session,
            self._control,
            self._identity,
        )
        self._newest = next(self._ids)
        connection.connection_id = self._newest
        self._state.sessions.add(session)
        try:
            await self._run(connection, writer)
        finally:
            self._state.sessions.discard(session)
            connection.leave()

    async def _serve_control(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        session = ControlSession(self._state, lambda: self._newest + 1)
        connection = Connection(
            MysqlStream(reader, writer),
            session,
            self._control,
            self._identity,
        )
        await self._run(connection, writer)

    async def _run(
        self,
        connection: Connection,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        if task:
            self._keep(task)
        try:
            await self._greet(connection)
            await connection.start()
        except asyncio.CancelledError:
            # The stream's callback would report a cancelled task as an error.
            if not self._closing:
                raise
        except _ENDED:
            _log.debug('event=connection_ended id=%d', connection.connection_id)
        finally:
            writer.close()

    async def _greet(self, connection: Connection) -> None:
        if isinstance(connection, EndpointConnection):
            await asyncio.sleep(self._state.faults.connect_seconds)
            while self._state.faults.frozen:
                await self._state.faults.wait_while_blocked(
                    NEVER_BLOCKED, peer=True
                )

    def _port(self, index: int) -> int:
        listener = self._servers[index].sockets[0]
        return listener.getsockname()[1]

    def _keep(self, task: asyncio.Task[Any]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def run_endpoint(settings: EndpointSettings) -> None:
    """Runs an endpoint until it is cancelled.

    Args:
        settings: what it is started with.
    """
    server = EndpointServer(settings)
    await server.start()
    await server.serve_forever()
