"""Accepts callers and drains them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from mysql_mimic.control import LocalControl

from cowslipfork.configuration import Configuration
from cowslipfork.requests import Run
from cowslipfork_proxy.callers.connection import CallerConnection
from cowslipfork_proxy.callers.identity import Teams
from cowslipfork_proxy.callers.session import CallerSession
from cowslipfork_proxy.callers.stream import CallerStream

_log = logging.getLogger(__name__)

_HEADROOM_BYTES = 1024
_CONNECTION_IDS = 2**32


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Where callers connect.

    Attributes:
        host: IP number to listen on.
        port: TCP port; 0 lets the system choose.
    """

    host: str
    port: int


class CallerServer:
    """The listening socket and the callers behind it."""

    def __init__(
        self,
        settings: CallerSettings,
        run: Run,
        configuration: Callable[[], Configuration],
    ) -> None:
        """Prepares without listening.

        Args:
            settings: where to listen.
            run: serves requests.
            configuration: gives the configuration in force.
        """
        self._settings = settings
        self._run = run
        self._configuration = configuration
        self._identity = Teams(configuration)
        self._control = LocalControl()
        self._numbers = count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port that callers connect to."""
        if self._server is None:
            return self._settings.port
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def start(self) -> None:
        """Starts to accept callers."""
        self._server = await asyncio.start_server(
            self._accepted,
            self._settings.host,
            self._settings.port,
        )

    async def drain(self) -> None:
        """Stops accepting and lets callers finish."""
        if self._server:
            self._server.close()

    async def close(self) -> None:
        """Stops accepting and ends all connections."""
        if self._server:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accepted(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        if task is None:
            return
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        limit = self._configuration().limits.statement_bytes + _HEADROOM_BYTES
        connection = CallerConnection(
            stream=CallerStream(reader, writer, limit),
            session=CallerSession(self._run, self._configuration),
            control=self._control,
            identity_provider=self._identity,
        )
        connection.connection_id = next(self._numbers) % _CONNECTION_IDS
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await connection.serve()


async def serve_callers(
    settings: CallerSettings,
    run: Run,
    configuration: Callable[[], Configuration],
) -> CallerServer:
    """Starts a server for callers.

    Args:
        settings: where to listen.
        run: serves requests.
        configuration: gives the configuration in force.

    Returns:
        The running server.
    """
    server = CallerServer(settings, run, configuration)
    await server.start()
    return server
