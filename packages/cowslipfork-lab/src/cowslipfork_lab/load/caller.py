"""A caller: one session that roams between nodes over one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from itertools import count
from typing import Any

import asyncmy
from asyncmy.errors import MySQLError

from cowslipfork.ids import GroupName, SessionId
from cowslipfork_lab.cluster.plan import LOOPBACK
from cowslipfork_lab.history import Action, Attempt, Ending
from cowslipfork_lab.load import schema
from cowslipfork_lab.load.endings import Failure, classify
from cowslipfork_lab.load.mix import MixEntry

#: Bound of a login, in seconds.
CONNECT_SECONDS = 5.0
#: Time beyond a deadline after which the caller stops listening.
PATIENCE_SECONDS = 5.0
#: Requests after which a session moves to the next node.
ROAM_EVERY = 50
_LOST = 2013
_UNREACHABLE = 2003


class Caller:
    """One session with a register of its own in one group."""

    def __init__(
        self,
        number: int,
        group: GroupName,
        database: str,
        ports: Sequence[int],
    ) -> None:
        """Starts without a connection.

        Args:
            number: its number, also of its register.
            group: group that it works on.
            database: schema name of the group.
            ports: ports of the nodes to roam between.
        """
        self._number = number
        self._group = group
        self._database = database
        self._ports = ports
        self._session = SessionId(f's{number}')
        self._connection: Any = None
        self._node = number
        self._served = count(1)
        self._written = count(1)
        self._settings = ('', '')

    @property
    def group(self) -> GroupName:
        """Group that it works on."""
        return self._group

    @property
    def register(self) -> str:
        """Key of the register that only this session writes."""
        return str(self._number)

    def close(self) -> None:
        """Drops the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def attempt(
        self,
        entry: MixEntry,
        key: str,
        scheduled: float,
        timeout: float,
    ) -> Attempt:
        """Makes one attempt of a request.

        Args:
            entry: its kind.
            key: token of a job, otherwise the register.
            scheduled: when the request was due.
            timeout: seconds after which the caller stops listening.

        Returns:
            What became of it.
        """
        clock = asyncio.get_running_loop()
        number = next(self._written) if entry.action == Action.WRITE else None
        started = clock.time()
        found = await self._run(entry, key, number, timeout)
        attempt = Attempt(
            self._group,
            entry.kind,
            self._session,
            entry.action,
            key,
            number,
            scheduled,
            started,
            clock.time(),
            Ending.DONE,
        )
        if isinstance(found, Failure):
            return replace(
                attempt,
                ending=found.ending,
                errno=found.errno,
                text=found.text,
            )
        return attempt if number else replace(attempt, number=found)

    async def _run(
        self,
        entry: MixEntry,
        key: str,
        number: int | None,
        timeout: float,
    ) -> int | None | Failure:
        if next(self._served) % ROAM_EVERY == 0:
            self.close()
            self._node += 1
        token = key if entry.action == Action.JOB else ''
        failure = await self._prepare(entry, token)
        if failure is not None:
            return failure
        return await self._execute(_sql(entry, key, number), timeout)

    async def _prepare(self, entry: MixEntry, token: str) -> Failure | None:
        """Connects and sets the attributes; nothing runs before that."""
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                if self._connection is None:
                    await self._connect(entry)
                await self._set(entry.kind, token)
        except (MySQLError, OSError, TimeoutError) as error:
            self.close()
            self._node += 1
            errno = error.args[0] if error.args else _UNREACHABLE
            return Failure(Ending.NOT_RUN, int(errno), str(error))
        return None

    async def _connect(self, entry: MixEntry) -> None:
        self._settings = ('', '')
        self._connection = await asyncmy.connect(
            host=LOOPBACK,
            port=self._ports[self._node % len(self._ports)],
            user=entry.team,
            password=f'{entry.team}-sample',
            db=self._database,
            autocommit=True,
        )
        await self._query(
            f"SET SESSION cowslipfork_session = '{self._session}'"
        )

    async def _set(self, kind: str, token: str) -> None:
        if self._settings != (kind, token):
            await self._query(
                f"SET SESSION cowslipfork_kind = '{kind}', "
                f"SESSION cowslipfork_request_id = '{token}'",
            )
            self._settings = (kind, token)

    async def _execute(self, sql: str, timeout: float) -> int | None | Failure:
        try:
            async with asyncio.timeout(timeout):
                rows = await self._query(sql)
        except MySQLError as error:
            failure = classify(error.args[0], str(error.args[-1]))
            if failure.disconnected:
                self.close()
                self._node += 1
            return failure
        except (OSError, TimeoutError) as error:
            self.close()
            self._node += 1
            return Failure(Ending.UNKNOWN, _LOST, repr(error))
        return int(rows[0][0]) if rows else None

    async def _query(self, sql: str) -> Sequence[Sequence[Any]]:
        async with self._connection.cursor() as cursor:
            await cursor.execute(sql)
            return await cursor.fetchall()


def _sql(entry: MixEntry, key: str, number: int | None) -> str:
    if entry.action == Action.JOB:
        return schema.insert_job(key, entry.kind)
    if number is not None:
        return schema.update_register(int(key), number)
    return schema.read_register(int(key))
