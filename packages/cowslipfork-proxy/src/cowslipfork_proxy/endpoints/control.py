"""Group statements of an endpoint over a connection of their own."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from cowslipfork.configuration import Endpoint
from cowslipfork.groups import (
    EndpointRole,
    EndpointSilent,
    EndpointStatus,
    EndpointUnreachable,
    TermRefused,
)
from cowslipfork.ids import EndpointId, Mark, Position, Term
from cowslipfork.outcomes import Reason
from cowslipfork.requests import Cell, Row
from cowslipfork_proxy.endpoints.connection import (
    ConnectionBroken,
    EndpointConnection,
    EndpointRefused,
    Login,
    open_connection,
)

_STATUS = 'SHOW GROUP STATUS'
_STATUS_COLUMNS = (
    'endpoint',
    'role',
    'term',
    'log_term',
    'position',
    'leaving',
)


def _stays(endpoint: EndpointId) -> bool:
    """Knows of no platform's list."""
    return False


class MysqlControl:
    """Control of one endpoint; implements ``EndpointControl``."""

    def __init__(
        self,
        endpoint: Endpoint,
        peers: dict[EndpointId, Endpoint],
        login: Login,
        is_leaving: Callable[[EndpointId], bool] = _stays,
    ) -> None:
        """Remembers whom to control; connects when first used.

        Args:
            endpoint: the endpoint.
            peers: all endpoints of its group, for ``follow``.
            login: user and password.
            is_leaving: tells whether the platform's list has the endpoint
                as leaving.
        """
        self._endpoint = endpoint
        self._peers = peers
        self._login = login
        self._is_leaving = is_leaving
        self._kept: EndpointConnection | None = None

    def close(self) -> None:
        """Closes the kept connection."""
        if self._kept is not None:
            self._kept.close()
            self._kept = None

    async def status(self, timeout: float, *, fresh: bool) -> EndpointStatus:
        """Asks for the status; see ``EndpointControl``."""
        if fresh:
            self.close()
        return await self._ask(_STATUS, timeout)

    async def fence(self, term: Term, timeout: float) -> EndpointStatus:
        """Fences the endpoint; see ``EndpointControl``."""
        return await self._ask(f'FENCE GROUP TERM {term}', timeout, term)

    async def promote(self, term: Term, timeout: float) -> EndpointStatus:
        """Promotes the endpoint; see ``EndpointControl``."""
        return await self._ask(f'PROMOTE GROUP TERM {term}', timeout, term)

    async def follow(
        self,
        term: Term,
        primary: EndpointId,
        timeout: float,
    ) -> EndpointStatus:
        """Makes the endpoint a replica; see ``EndpointControl``."""
        target = self._peers[primary]
        address = f'{target.host}:{target.port}'
        return await self._ask(
            f"FOLLOW GROUP TERM {term} PRIMARY '{address}'",
            timeout,
            term,
        )

    async def _ask(
        self,
        sql: str,
        timeout: float,
        term: Term | None = None,
    ) -> EndpointStatus:
        # Not kept until it has answered whole, so that no two tasks share it.
        kept = self._kept
        self._kept = None
        try:
            if kept is None:
                kept = await open_connection(
                    self._endpoint,
                    self._login,
                    '',
                    timeout,
                )
            rows = await kept.fetch(sql, timeout)
        except ConnectionBroken as broken:
            failure = EndpointUnreachable if broken.refused else EndpointSilent
            raise failure(self._endpoint.name, broken.cause) from broken
        except EndpointRefused as refused:
            if term is not None and refused.errno == Reason.STALE_TERM.value:
                raise TermRefused(self._endpoint.name, term) from refused
            raise EndpointSilent(self._endpoint.name, refused.text) from refused
        # Two statements at once open two connections; one is kept.
        self.close()
        self._kept = kept
        status = _status(rows[0])
        leaving = status.leaving or self._is_leaving(self._endpoint.name)
        return replace(status, leaving=leaving)


def _status(row: Row) -> EndpointStatus:
    cells = dict(zip(_STATUS_COLUMNS, map(_text, row), strict=True))
    return EndpointStatus(
        endpoint=EndpointId(cells['endpoint']),
        role=EndpointRole(cells['role']),
        term=Term(int(cells['term'])),
        mark=Mark(
            Term(int(cells['log_term'])),
            Position(int(cells['position'])),
        ),
        leaving=cells['leaving'] == '1',
    )


def _text(cell: Cell) -> str:
    if isinstance(cell, bytes):
        return cell.decode()
    return cell or ''
