"""One caller's MySQL connection, from handshake to close."""

from __future__ import annotations

import asyncio
import logging
from functools import lru_cache
from types import MappingProxyType
from typing import Any

from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.packets import make_eof, make_ok
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import Capabilities, Commands, ServerStatus

from cowslipfork.errors import CowslipforkError
from cowslipfork.outcomes import NotRun, Reason
from cowslipfork_proxy.callers.commands import COMMANDS, MALFORMED, unknown
from cowslipfork_proxy.callers.failures import (
    CallerFailure,
    MysqlErrorCode,
    mysql_failure,
    outcome_failure,
)
from cowslipfork_proxy.callers.packets import make_error
from cowslipfork_proxy.callers.prepared import PreparedStatements
from cowslipfork_proxy.callers.session import CallerSession
from cowslipfork_proxy.callers.stream import CallerStream

_log = logging.getLogger(__name__)

#: Seconds in which a caller has to log in.
LOGIN_TIMEOUT = 10.0

_LOGIN_FAILURES = (TimeoutError, *MALFORMED)

#: Seconds in which a dismissed caller may read why.
LINGER = 1.0

#: When a caller of a draining node may come back, to any other node.
_DRAINING_RETRY_MS = 1

#: Kept packets: capabilities of drivers by states of a session.
_ENDS_OF_ROWS = 256

_QUIT = bytes((Commands.COM_QUIT,))

_STATUS = MappingProxyType(
    {
        (inside, autocommit): ServerStatus(
            ServerStatus.SERVER_STATUS_IN_TRANS * inside
            + ServerStatus.SERVER_STATUS_AUTOCOMMIT * autocommit,
        )
        for inside in (False, True)
        for autocommit in (False, True)
    },
)


@lru_cache(maxsize=_ENDS_OF_ROWS)
def _end_of_rows(capabilities: Capabilities, status: ServerStatus) -> bytes:
    if Capabilities.CLIENT_DEPRECATE_EOF in capabilities:
        return make_ok(capabilities, status, eof=True)
    return make_eof(capabilities, status)


class CallerConnection(Connection):
    """The library's connection with the endpoint's own figures in answers."""

    session: CallerSession
    stream: CallerStream

    def __init__(self, **options: Any) -> None:
        """Prepares to serve.

        Args:
            options: of the library's connection.
        """
        super().__init__(**options)
        self.status_flags = _STATUS[False, True]
        self.prepared = PreparedStatements()
        self.results_charset = CharacterSet.utf8mb4
        self._statement_charset = CharacterSet.utf8mb4
        self._serving: asyncio.Task[None] | None = None
        self._lingering: asyncio.TimerHandle | None = None
        self._logging_in = True
        self.sends_attributes = False
        self._deprecates_eof = False
        self._idle = False
        self._draining = False
        self._dismissed = False

    @property
    def client_charset(self) -> CharacterSet:
        """Character set of the caller's statements."""
        return self._statement_charset

    @property
    def server_charset(self) -> CharacterSet:
        """Character set of the node's own texts."""
        return CharacterSet.utf8mb4

    async def serve(self) -> None:
        """Logs the caller in and serves its statements until it goes."""
        self._serving = asyncio.current_task()
        try:
            await self._login()
            self.stream.when_gone(self._caller_gone)
            await self.command_phase()
        except ConnectionClosed:
            _log.debug('caller gone', extra={'caller': self.connection_id})
        except CallerFailure as failure:
            await self.stream.write(make_error(failure))
        finally:
            await self._leave()

    def leave_when_idle(self) -> None:
        """Ends the connection at its next statement boundary."""
        self._draining = True
        if self._idle and not self.session.in_transaction:
            self._dismiss()

    async def authenticate(self, *args: Any, **options: Any) -> None:
        """Logs in, or ends the connection.

        Raises:
            ConnectionClosed: the library has told the caller that it may not.
        """
        self.session.username = None
        self.stream.login = False
        await super().authenticate(*args, **options)
        if self.session.username is None:
            raise ConnectionClosed

    async def command_phase(self) -> None:
        """Serves one command after the other."""
        while True:
            packet = await self._next_command()
            if self._dismissed or packet[:1] == _QUIT:
                return
            await self._serve_command(packet)
            if self._draining and not self.session.in_transaction:
                self._dismiss()

    def ok(self, **options: Any) -> bytes:
        """Builds an OK packet; the one that ends the login checks first.

        Args:
            options: of the library's packet.

        Returns:
            Payload of the packet.
        """
        if self._logging_in and self.session.database:
            self.session.admission()
        packet: bytes = super().ok(**options)
        return packet

    def deprecate_eof(self) -> bool:
        """Tells whether the caller's driver expects no EOF packets."""
        return self._deprecates_eof

    def end_of_rows(self) -> bytes:
        """Builds the packet that ends a result.

        Returns:
            Payload of the packet.
        """
        return _end_of_rows(self.capabilities, self.status_flags)

    def follow_state(self) -> None:
        """Takes over whether the session is in a transaction."""
        session = self.session
        self.status_flags = _STATUS[session.in_transaction, session.autocommit]

    def follow_session(self) -> None:
        """Takes over the session's state and character sets."""
        self.follow_state()
        session = self.session
        self._statement_charset = session.variables.statement_charset
        self.results_charset = session.variables.results_charset

    async def _login(self) -> None:
        try:
            async with asyncio.timeout(LOGIN_TIMEOUT):
                await self.connection_phase()
        except _LOGIN_FAILURES as error:
            text = f'bad handshake: {type(error).__name__}'
            raise mysql_failure(MysqlErrorCode.BAD_HANDSHAKE, text) from error
        self._logging_in = False
        deprecates_eof = Capabilities.CLIENT_DEPRECATE_EOF
        self._deprecates_eof = deprecates_eof in self.capabilities
        attributes = Capabilities.CLIENT_QUERY_ATTRIBUTES
        self.sends_attributes = attributes in self.capabilities
        self.follow_session()

    async def _leave(self) -> None:
        self.stream.when_gone(None)
        if self._lingering is not None:
            self._lingering.cancel()
        await self.session.close()

    async def _next_command(self) -> bytes:
        self.stream.reset_seq()
        self._idle = True
        packet = await self.stream.read()
        self._idle = False
        return packet

    async def _serve_command(self, packet: bytes) -> None:
        command = COMMANDS.get(packet[0], unknown) if packet else unknown
        try:
            await command(self, packet[1:])
        except CallerFailure as failure:
            await self.stream.write(make_error(failure))
        except CowslipforkError as error:
            text = f'{type(error).__name__}: {error}'
            await self.stream.write(
                make_error(mysql_failure(MysqlErrorCode.INTERNAL, text))
            )

    def _dismiss(self) -> None:
        """Tells the caller to go elsewhere, and ends the sending side.

        The packet has the number of an answer: a statement that crosses it
        on its way is not run, and that is what the caller's driver reads.
        """
        self._dismissed = True
        farewell = NotRun(
            Reason.DRAINING,
            retry_after_ms=_DRAINING_RETRY_MS,
            detail='connect again',
        )
        packet = make_error(outcome_failure(farewell))
        self.stream.write_last(packet, sequence=1)
        if self._serving is not None:
            loop = asyncio.get_running_loop()
            self._lingering = loop.call_later(LINGER, self._serving.cancel)

    def _caller_gone(self) -> None:
        if self._serving is not None and self.session.reading:
            self._serving.cancel()
