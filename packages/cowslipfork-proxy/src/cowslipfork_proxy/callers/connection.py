"""One caller's MySQL connection, from handshake to close."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from itertools import repeat
from typing import Any

from mysql_mimic import packets as library_packets
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.errors import MysqlError
from mysql_mimic.results import ResultColumn
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import ColumnType, Commands, ServerStatus

from cowslipfork.outcomes import Done
from cowslipfork.requests import Answer
from cowslipfork.requests.statement import classify
from cowslipfork_proxy.callers.failures import (
    CallerFailure,
    Fault,
    fault,
    outcome_failure,
)
from cowslipfork_proxy.callers.packets import make_column, make_error
from cowslipfork_proxy.callers.session import CallerSession
from cowslipfork_proxy.callers.stream import CallerStream

_log = logging.getLogger(__name__)

#: Cells are text already, whatever the column's type.
_TEXT_CELL = ResultColumn('', ColumnType.VARCHAR)


class CallerConnection(Connection):
    """The library's connection with the endpoint's own figures in answers."""

    session: CallerSession
    stream: CallerStream

    @property
    def client_charset(self) -> CharacterSet:
        """Character set of the caller's statements."""
        return CharacterSet.utf8mb4

    @property
    def server_charset(self) -> CharacterSet:
        """Character set of answers."""
        return CharacterSet.utf8mb4

    async def serve(self) -> None:
        """Logs the caller in and serves its statements until it goes."""
        try:
            await self.connection_phase()
            await self.command_phase()
        except ConnectionClosed:
            _log.debug('event=caller_gone')
        except CallerFailure as failure:
            await self.stream.write(make_error(failure))
        finally:
            await self.session.close()

    async def authenticate(self, *args: Any, **options: Any) -> None:
        """Logs in, or ends the connection.

        Raises:
            ConnectionClosed: the library has told the caller that it may not.
        """
        self.session.username = None
        await super().authenticate(*args, **options)
        if self.session.username is None:
            raise ConnectionClosed

    async def command_phase(self) -> None:
        """Serves one command after the other."""
        commands = {
            Commands.COM_QUERY: self.handle_query,
            Commands.COM_INIT_DB: self.handle_init_db,
            Commands.COM_PING: self.handle_ping,
        }
        while True:
            self.stream.reset_seq()
            packet = await self.stream.read()
            if packet[0] == Commands.COM_QUIT:
                return
            handler = commands.get(packet[0])
            try:
                if handler is None:
                    raise fault(
                        Fault.UNKNOWN_COMMAND,
                        f'unknown command {packet[0]}',
                    )
                await handler(packet[1:])
            except CallerFailure as failure:
                await self.stream.write(make_error(failure))
            except MysqlError as error:
                await self.stream.write(self.error(msg=error.msg))

    async def handle_query(self, data: bytes) -> None:
        """Serves a text statement.

        Args:
            data: payload of COM_QUERY.
        """
        query = library_packets.parse_com_query(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
        )
        await self._statement(query.sql, query.query_attrs)

    async def _statement(
        self,
        sql: str,
        attributes: Mapping[str, str],
    ) -> None:
        operation = classify(sql).operation
        if operation is None:
            await self.stream.write(self.ok())
            return
        outcome = await self.session.serve(sql, operation, attributes)
        self._show_status()
        if not isinstance(outcome, Done):
            raise outcome_failure(outcome)
        await self._write_answer(outcome.answer)

    def _show_status(self) -> None:
        status = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.session.in_transaction:
            status |= ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = status

    async def _write_answer(self, answer: Answer) -> None:
        if not answer.columns:
            packet = self.ok(
                affected_rows=answer.affected_rows,
                last_insert_id=answer.last_insert_id,
            )
            await self.stream.write(packet)
            return
        count = library_packets.make_column_count(
            capabilities=self.capabilities,
            column_count=len(answer.columns),
        )
        head = [count, *map(make_column, answer.columns)]
        if not self.deprecate_eof():
            head.append(self.eof())
        self.stream.write_many(head)
        cells = tuple(repeat(_TEXT_CELL, len(answer.columns)))
        async for batch in answer.rows:
            self.stream.write_text_rows(batch, cells)
            await self.stream.drain()
        await self.stream.write(self.ok_or_eof())
