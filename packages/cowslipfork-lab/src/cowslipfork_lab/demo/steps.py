"""What the demo does; each step says what it found."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from cowslipfork.groups import decode_record, record_key
from cowslipfork.ids import GroupName
from cowslipfork_lab.cluster import Cluster
from cowslipfork_lab.demo.caller import Login, connected_caller
from cowslipfork_lab.demo.changes import accept_change, revisions_in_force
from cowslipfork_lab.demo.expectations import expect

GROUP: Final = GroupName('orders')

_LOGIN: Final = Login('secretaries', 'secretaries-sample', 'orders')
_BOOKING: Final = (
    "INSERT INTO batches (customer, copies) VALUES ('Data Darbar', 300)"
)
_REQUEST_ID: Final = 'demo-1'

#: Seconds between the drain's start and the COMMIT in flight.
_DRAIN_PAUSE: Final = 0.5


async def create_tables(cluster: Cluster) -> str:
    """Creates the tables of the demo."""
    async with connected_caller(cluster.caller_ports[0], _LOGIN) as caller:
        await caller.run(
            'CREATE TABLE batches (id INTEGER PRIMARY KEY AUTO_INCREMENT, '
            'customer VARCHAR(80) NOT NULL, copies INT NOT NULL)',
        )
        await caller.run(
            'CREATE TABLE festivals (name VARCHAR(80) PRIMARY KEY)',
        )
        await caller.run(
            "INSERT INTO festivals VALUES ('Vaisakhi'), ('Easter')",
        )
    return 'batches, festivals'


async def book(cluster: Cluster) -> str:
    """Books a job under a request_id."""
    async with connected_caller(cluster.caller_ports[0], _LOGIN) as caller:
        await caller.set(
            kind='order_batch',
            session='secretary-7',
            request_id=_REQUEST_ID,
        )
        affected = await caller.run(_BOOKING)
    expect(affected, 1)
    return f'recorded under request_id {_REQUEST_ID}'


async def read_back(cluster: Cluster) -> str:
    """Reads the job in the same session through another proxy."""
    async with connected_caller(cluster.caller_ports[1], _LOGIN) as caller:
        await caller.set(kind='order_status', session='secretary-7')
        rows = await caller.rows('SELECT customer, copies FROM batches')
    expect(rows, [('Data Darbar', 300)])
    return f'{rows}'


async def repeat(cluster: Cluster) -> str:
    """Repeats the booking through a third proxy."""
    async with connected_caller(cluster.caller_ports[2], _LOGIN) as caller:
        await caller.set(kind='order_batch', request_id=_REQUEST_ID)
        expect(await caller.run(_BOOKING), 1)
        rows = await caller.rows('SELECT COUNT(*) FROM batches')
    expect(rows, [(1,)])
    return 'recorded once'


async def read_list(cluster: Cluster) -> str:
    """Reads a list that may be of some age."""
    before = await _statements(cluster)
    async with connected_caller(cluster.caller_ports[3], _LOGIN) as caller:
        await caller.set(kind='festival_list')
        rows = await caller.rows('SELECT name FROM festivals ORDER BY name')
    expect(rows, [('Easter',), ('Vaisakhi',)])
    after = await _statements(cluster)
    primary = await _primary(cluster)
    served = [name for name in after if after[name] > before[name]]
    expect(primary in served, False)
    return f'served by {", ".join(served)}, the primary is {primary}'


async def fail_over(cluster: Cluster) -> str:
    """Kills the primary and books at once."""
    primary = await _primary(cluster)
    loop = asyncio.get_running_loop()
    async with connected_caller(cluster.caller_ports[4], _LOGIN) as caller:
        await caller.set(kind='order_batch', request_id='demo-2')
        await cluster.kill(primary)
        begun = loop.time()
        await caller.run(
            "INSERT INTO batches (customer, copies) VALUES ('St Anne', 90)",
        )
        gap = loop.time() - begun
        await caller.set(kind='order_status')
        rows = await caller.rows('SELECT COUNT(*) FROM batches')
    expect(rows, [(2,)])
    return f'{primary} replaced by {await _primary(cluster)}, gap {gap:.3f} s'


async def change_rule(cluster: Cluster) -> str:
    """Accepts a changed reading rule and waits until it is in force."""
    accepted = await accept_change(
        cluster,
        'reads = age 30s',
        'reads = age 20s',
        'demo: fresher festival lists',
    )
    revisions = await revisions_in_force(cluster, accepted)
    return f'revision {accepted} in force on {len(revisions)} proxies'


async def drain(cluster: Cluster) -> str:
    """Ends a proxy while its callers are at work."""
    node = cluster.nodes[0]
    async with connected_caller(node.ports.caller_port, _LOGIN) as caller:
        await caller.run('BEGIN')
        await caller.run(
            "INSERT INTO batches (customer, copies) VALUES ('drained', 1)",
        )
        ending = asyncio.create_task(cluster.terminate(node.vm))
        await asyncio.sleep(_DRAIN_PAUSE)
        await caller.run('COMMIT')
    status = await ending
    expect(status, 0)
    async with connected_caller(cluster.caller_ports[1], _LOGIN) as caller:
        rows = await caller.rows(
            "SELECT COUNT(*) FROM batches WHERE customer = 'drained'",
        )
    expect(rows, [(1,)])
    return f'{node.vm} finished its transaction and ended with status {status}'


async def _primary(cluster: Cluster) -> str:
    entry = await cluster.store.get(record_key(GROUP))
    if entry is None:
        return str(cluster.plan.endpoints(GROUP)[0].name)
    return str(decode_record(entry.key, entry.content).primary)


async def _statements(cluster: Cluster) -> dict[str, Any]:
    endpoints = [endpoint.name for endpoint in cluster.plan.endpoints(GROUP)]
    return {
        name: (await cluster.counts(name))['statements'] for name in endpoints
    }
