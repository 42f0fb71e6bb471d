"""Accepts callers and drains them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from ssl import PROTOCOL_TLS_SERVER, SSLContext, SSLError

from mysql_mimic.control import LocalControl

from cowslipfork.configuration import Configuration
from cowslipfork.errors import CowslipforkError
from cowslipfork.requests import RequestHandler
from cowslipfork_proxy.callers.connection import CallerConnection
from cowslipfork_proxy.callers.failures import MysqlErrorCode, mysql_failure
from cowslipfork_proxy.callers.identity import Teams
from cowslipfork_proxy.callers.packets import make_error
from cowslipfork_proxy.callers.session import CallerSession
from cowslipfork_proxy.callers.stream import CallerReader, CallerStream

_log = logging.getLogger(__name__)

#: Room for the command and attributes beside the statement, in bytes.
_HEADROOM = 4096
_CONNECTION_IDS = 2**32 - 1
_BACKLOG = 1024

#: Seconds of silence, seconds between probes, probes until a caller is gone.
_KEEP_ALIVE = (
    (socket.TCP_KEEPIDLE, 60),
    (socket.TCP_KEEPINTVL, 10),
    (socket.TCP_KEEPCNT, 3),
)


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Where callers connect.

    Attributes:
        host: IP number to listen on.
        port: TCP port; 0 lets the system choose.
        certificate: PEM file of the chain; None for no TLS.
        key: PEM file of the private key.
    """

    host: str
    port: int
    certificate: Path | None = None
    key: Path | None = None


class CertificateUnusable(CowslipforkError):
    """The certificate or its key can't be read."""


class CallerServer:
    """The listening socket and the callers behind it."""

    def __init__(
        self,
        settings: CallerSettings,
        run: RequestHandler,
        configuration: Callable[[], Configuration],
    ) -> None:
        """Prepares without listening.

        Args:
            settings: where to listen.
            run: serves requests.
            configuration: gives the configuration in force.

        Raises:
            CertificateUnusable: the certificate can't be read.
        """
        self._settings = settings
        self._run = run
        self._configuration = configuration
        self._identity = Teams(configuration)
        self._control = LocalControl()
        self._numbers = count(1)
        self._connections: dict[CallerConnection, asyncio.Task[None]] = {}
        #: Connections that were accepted and are not served yet.
        self._accepted = 0
        self._draining = False
        #: Set whenever a connection has ended.
        self._ended = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tls = _context(settings)

    @property
    def port(self) -> int:
        """Port that callers connect to."""
        if self._server is None or not self._server.sockets:
            return self._settings.port
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    @property
    def callers(self) -> int:
        """Callers that are connected."""
        return len(self._connections)

    def reload_certificate(self) -> None:
        """Reads the certificate again; later callers get the new one.

        Raises:
            CertificateUnusable: it can't be read; the old one stays.
        """
        self._tls = _context(self._settings)
        _log.info('caller certificate replaced')

    async def start(self) -> None:
        """Starts to accept callers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol,
            self._settings.host,
            self._settings.port,
            backlog=_BACKLOG,
        )

    async def drain(self) -> None:
        """Stops accepting and lets callers finish.

        Requests in flight are finished whole and transactions may end; the
        rest is cut after the limit that the configuration sets.
        """
        self._stop_accepting()
        self._draining = True
        for connection in tuple(self._connections):
            connection.leave_when_idle()
        limit = self._configuration().limits.drain
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit):
                await self._all_ended()
        _log.info('callers drained', extra={'cut': self.callers})
        await self.close()

    async def close(self) -> None:
        """Stops accepting and ends all connections at once."""
        self._stop_accepting()
        tasks = tuple(self._connections.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _stop_accepting(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _all_ended(self) -> None:
        """Waits for all connections, also those that are not served yet."""
        while self._accepted or self._connections:
            self._ended.clear()
            await self._ended.wait()

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        self._accepted += 1
        return asyncio.StreamReaderProtocol(CallerReader(), self._serve)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._accepted -= 1
        try:
            await self._serve_connection(reader, writer)
        finally:
            self._ended.set()

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        if task is None or not isinstance(reader, CallerReader):
            return
        _keep_alive(writer)
        connection = self._connection(reader, writer)
        with contextlib.closing(writer):
            if self.callers >= self._configuration().limits.callers:
                failure = mysql_failure(
                    MysqlErrorCode.TOO_MANY_CONNECTIONS,
                    'Too many connections',
                )
                connection.stream.write_last(make_error(failure), sequence=0)
                return
            self._connections[connection] = task
            if self._draining:
                connection.leave_when_idle()
            try:
                await self._serve_until_closed(connection)
            finally:
                self._connections.pop(connection)

    async def _serve_until_closed(self, connection: CallerConnection) -> None:
        try:
            await connection.serve()
        except (ConnectionError, asyncio.CancelledError):
            _log.debug('caller closed', extra=_fields(connection))
        except Exception:
            _log.exception('caller failed', extra=_fields(connection))

    def _connection(
        self,
        reader: CallerReader,
        writer: asyncio.StreamWriter,
    ) -> CallerConnection:
        limit = self._configuration().limits.statement_bytes + _HEADROOM
        session = CallerSession(self._run, self._configuration)
        connection = CallerConnection(
            stream=CallerStream(reader, writer, limit),
            session=session,
            control=self._control,
            identity_provider=self._identity,
            ssl=self._tls,
        )
        number = next(self._numbers) % _CONNECTION_IDS
        connection.connection_id = number
        session.connection_id = number
        return connection


def _keep_alive(writer: asyncio.StreamWriter) -> None:
    """Finds callers that are gone although nothing closed their connection."""
    accepted = writer.get_extra_info('socket')
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in _KEEP_ALIVE:
        accepted.setsockopt(socket.IPPROTO_TCP, option, setting)


def _fields(connection: CallerConnection) -> dict[str, object]:
    return {
        'caller': connection.connection_id,
        'team': connection.session.username,
    }


def _context(settings: CallerSettings) -> SSLContext | None:
    if settings.certificate is None:
        return None
    context = SSLContext(PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(settings.certificate, settings.key)
    except (OSError, SSLError) as error:
        raise CertificateUnusable(str(error)) from error
    return context


async def serve_callers(
    settings: CallerSettings,
    run: RequestHandler,
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
