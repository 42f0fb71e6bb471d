"""Switches faults of endpoints, of the store and of the relay."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from typing import Any

import aetcd
import asyncmy
from asyncmy.errors import OperationalError

from cowslipfork.groups import EndpointRole, EndpointStatus
from cowslipfork.ids import Mark, Position, Term
from cowslipfork_lab.cluster.plan import LOOPBACK
from cowslipfork_lab.cluster.process import ChildProcess
from cowslipfork_lab.relay import Rule

#: Bound of a question to an endpoint, in seconds.
ANSWER_SECONDS = 10.0
_RETRY_SECONDS = 0.1
_UNREACHABLE = 2003
_STATUS_COLUMNS = (
    'endpoint',
    'role',
    'term',
    'log_term',
    'position',
    'leaving',
)


async def query(port: int, sql: str) -> Sequence[Sequence[Any]]:
    """Runs one statement on a connection of its own.

    Args:
        port: port of an endpoint, its control port or a node.
        sql: statement.

    Returns:
        Rows of the answer.

    Raises:
        TimeoutError: no answer.
    """
    async with asyncio.timeout(ANSWER_SECONDS):
        connection = await _connect(port)
        try:
            async with connection.cursor() as cursor:
                await cursor.execute(sql)
                return await cursor.fetchall()
        finally:
            connection.close()


async def _connect(port: int) -> Any:
    """Connects, also to a process that is just starting."""
    while True:
        try:
            return await asyncmy.connect(
                host=LOOPBACK,
                port=port,
                user='lab',
                autocommit=True,
            )
        except OperationalError as error:
            if error.args[0] != _UNREACHABLE:
                raise
            await asyncio.sleep(_RETRY_SECONDS)


async def set_endpoint_fault(port: int, name: str, setting: object) -> None:
    """Sets a variable of an endpoint's control port.

    Args:
        port: control port.
        name: such as ``lab_lag_ms``.
        setting: new value.
    """
    await query(port, f"SET GLOBAL {name} = '{setting}'")


async def endpoint_counters(port: int) -> dict[str, int]:
    """Reads the counters of an endpoint.

    Args:
        port: control port.

    Returns:
        Counters by name.
    """
    rows = await query(port, 'SHOW LAB COUNTERS')
    return {name: int(count) for name, count in rows}


async def set_store_fault(port: int, name: str, setting: object) -> None:
    """Sets a fault of the store.

    Args:
        port: port of the store.
        name: key below ``/lab/``.
        setting: new value.
    """
    async with aetcd.Client(port=port) as client:
        await client.put(f'/lab/{name}'.encode(), str(setting).encode())


async def store_counts(port: int) -> dict[str, int]:
    """Reads the call counts of the store.

    Args:
        port: port of the store.

    Returns:
        Counts by name.
    """
    async with aetcd.Client(port=port) as client:
        found = await client.get(b'/lab/counts')
    return json.loads(found.value)


async def endpoint_status(port: int) -> EndpointStatus:
    """Reads the status of an endpoint, whatever its faults.

    Args:
        port: control port.

    Returns:
        Its status.
    """
    rows = await query(port, 'SHOW GROUP STATUS')
    row = dict(zip(_STATUS_COLUMNS, rows[0], strict=True))
    return EndpointStatus(
        row['endpoint'],
        EndpointRole(row['role']),
        Term(row['term']),
        Mark(Term(row['log_term']), Position(row['position'])),
        bool(row['leaving']),
    )


class RelayControl:
    """Commands to the relay process."""

    def __init__(self, process: ChildProcess) -> None:
        """Binds the commands to a process.

        Args:
            process: a running ``cowslipfork-lab relay`` with pipes.
        """
        self._process = process

    async def listen(self, name: str, target: int) -> int:
        """Stands before a process and gives the port to use instead."""
        answer = await self._ask('listen', name=name, target=target)
        return answer['port']

    async def register_process(self, pid: int, name: str) -> None:
        """Names a process."""
        await self._ask('know', pid=pid, name=name)

    async def set_rule(self, source: str, destination: str, rule: Rule) -> None:
        """Sets the rule of one direction."""
        await self._ask(
            'rule',
            source=source,
            destination=destination,
            delay=rule.delay,
            passage=rule.policy.value,
        )

    async def _ask(self, command: str, **fields: Any) -> dict[str, Any]:
        line = json.dumps({'command': command, **fields})
        return json.loads(await self._process.ask(line))
