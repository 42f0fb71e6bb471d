"""Connection of the MySQL protocol with the endpoint's own figures."""

from __future__ import annotations

from typing import Any

from mysql_mimic import packets
from mysql_mimic.connection import Connection
from mysql_mimic.results import ResultSet
from mysql_mimic.types import Capabilities

from cowslipfork_lab.endpoint.failures import ErrorNumber
from cowslipfork_lab.endpoint.replication import REPLICATION_USER
from cowslipfork_lab.endpoint.session import EndpointSession
from cowslipfork_lab.endpoint.state import EndpointState


class ConnectionRefused(ConnectionError):
    """The endpoint has no connection to spare."""


class ClientGone(ConnectionError):
    """The client closed its connection before it was let in."""


class EndpointConnection(Connection):
    """Adds affected rows, transaction flags, limits and faults."""

    def __init__(
        self,
        state: EndpointState,
        *args: Any,
        **kwargs: Any,
    ) -> None:
        """Joins the library's connection with the endpoint.

        Args:
            state: the endpoint.
            args: for the library.
            kwargs: for the library.
        """
        super().__init__(*args, **kwargs)
        self.session: EndpointSession
        self._state = state
        self._counted = False
        self._peer = False

    async def authenticate(self, username: str, **kwargs: Any) -> None:
        """Lets a client in unless the connections are used up.

        Args:
            username: login; replicas have one of their own.
            kwargs: for the library.

        Raises:
            ClientGone: the client closed while a fault held its login.
            ConnectionRefused: all connections are in use.
        """
        self._peer = username == REPLICATION_USER
        await self._pass()
        if self.stream.reader.at_eof():
            raise ClientGone
        if not self._peer and not self._counted:
            await self._count()
        await super().authenticate(username=username, **kwargs)

    async def handle_query(self, data: bytes) -> None:
        """Reads a statement, which may hold raw bytes as literals.

        Args:
            data: packet without its command byte.
        """
        if Capabilities.CLIENT_QUERY_ATTRIBUTES in self.capabilities:
            await super().handle_query(data)
            return
        sql = data.decode('utf-8', 'surrogateescape')
        answer = await self.query(sql, {})
        if answer:
            await self.write_text_resultset(answer)
        else:
            await self.stream.write(self.ok())

    async def query(
        self,
        sql: str,
        query_attrs: dict[str, str],
    ) -> ResultSet:
        """Runs a statement, with the faults before and after it.

        Args:
            sql: statement.
            query_attrs: query attributes.

        Returns:
            Its result set; an empty one for a statement without rows.
        """
        await self._pass()
        try:
            answer = await self.session.handle_query(sql, query_attrs)
        finally:
            await self._pass()
        return answer or ResultSet([], [])

    async def handle_ping(self, data: bytes) -> None:
        """Answers a ping unless a fault swallows it.

        Args:
            data: rest of the packet.
        """
        await self._pass()
        await super().handle_ping(data)

    def ok(self, **kwargs: Any) -> bytes:
        """Writes an OK packet with the statement's own figures.

        Args:
            kwargs: overriding figures.

        Returns:
            The packet.
        """
        last = self.session.last
        figures = {
            'affected_rows': last.affected,
            'last_insert_id': last.last_id,
        }
        self.status_flags = self.session.status_flags
        return super().ok(**{**figures, **kwargs})

    def leave(self) -> None:
        """Gives the connection back to the endpoint's limit."""
        if self._counted:
            self._counted = False
            self._state.counters.connections -= 1

    async def _count(self) -> None:
        counters = self._state.counters
        if counters.connections >= self._state.settings.connections:
            counters.connections_refused += 1
            await self._refuse()
        counters.open_connection()
        self._counted = True

    async def _refuse(self) -> None:
        packet = packets.make_error(
            capabilities=Capabilities.CLIENT_PROTOCOL_41,
            msg='Too many connections',
            code=ErrorNumber.TOO_MANY_CONNECTIONS,
        )
        await self.stream.write(packet)
        raise ConnectionRefused

    async def _pass(self) -> None:
        await self._state.faults.wait_while_blocked(
            self.connection_id, peer=self._peer
        )
