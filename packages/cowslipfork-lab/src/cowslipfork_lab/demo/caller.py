"""An ordinary MySQL caller of the demo."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import asyncmy

from cowslipfork_lab.cluster.plan import LOOPBACK


@dataclass(frozen=True, slots=True)
class Login:
    """Who calls and for which group.

    Attributes:
        team: user name.
        password: of the team.
        database: of the group.
    """

    team: str
    password: str
    database: str


class Caller:
    """One connection to a node."""

    def __init__(self, raw: Any) -> None:
        """Wraps a driver's connection.

        Args:
            raw: the connection.
        """
        self._raw = raw

    async def set(self, **variables: str) -> None:
        """Sets session variables of cowslipfork.

        Args:
            **variables: such as ``kind`` or ``request_id``.
        """
        for name, text in variables.items():
            await self.run(f"SET SESSION cowslipfork_{name} = '{text}'")

    async def run(self, sql: str) -> int:
        """Runs a statement without a result set.

        Args:
            sql: the statement.

        Returns:
            Affected rows.
        """
        affected: int = await self._raw.query(sql)
        return affected

    async def rows(self, sql: str) -> list[tuple[Any, ...]]:
        """Runs a query.

        Args:
            sql: the query.

        Returns:
            Its rows.
        """
        async with self._raw.cursor() as cursor:
            await cursor.execute(sql)
            return list(await cursor.fetchall())

    async def token(self) -> str:
        """Asks for the session's token.

        Returns:
            The token, which any proxy accepts as ``session``.
        """
        rows = await self.rows('SELECT @@cowslipfork_session_token')
        return str(rows[0][0])


@asynccontextmanager
async def connected_caller(port: int, login: Login) -> AsyncIterator[Caller]:
    """Connects to a node.

    Args:
        port: its port for callers.
        login: who calls.

    Yields:
        The caller; its connection is closed at the end.
    """
    raw = await asyncmy.connect(
        host=LOOPBACK,
        port=port,
        user=login.team,
        password=login.password,
        database=login.database,
        autocommit=None,
    )
    try:
        yield Caller(raw)
    finally:
        raw.close()
