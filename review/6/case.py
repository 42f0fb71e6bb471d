"""A takeover is given up though an earlier order has made a new primary."""

import asyncio

from direct_fakes.servers import EndpointRole
from stand_in_2.stage import Caller, CannotRun, Stage, done, run_case

#: Seconds for which the replica and the new primary are down: at most the 7 s
#: of ``srv_crash``.
REPLICA_DOWN = 7.0
PRIMARY_DOWN = 5.5


async def write_on(record, node, number, over, acknowledged):
    """Writes until the end; collects the writes that were acknowledged."""
    caller = Caller(record, node, 'fresh')
    count = 0
    while not over.is_set():
        count += 1
        token = f't{number}x{count}'
        statement_id, lines = await caller.query(f'WRITE a {token}')
        if done(lines):
            acknowledged.append((record.now(), statement_id, token))
        await asyncio.sleep(0.1)
    caller.close()


async def case(record, trouble):
    stage = Stage(record, nodes=3)
    crashed = []

    async def crash_once_it_leads(server):
        if not trouble or crashed:
            return
        crashed.append(server)
        while server.role is not EndpointRole.PRIMARY:
            await asyncio.sleep(0)
        # It reports its new role at once, as the pages say.
        stage.report(server)
        await stage.crash(server)
        await asyncio.sleep(PRIMARY_DOWN)
        await stage.restart(server)

    stage.on_accepted = crash_once_it_leads
    over = asyncio.Event()
    acknowledged = []
    try:
        await stage.start()
        old, other = stage.servers['e1'], stage.servers['e3']
        writers = [
            asyncio.create_task(
                write_on(record, stage.nodes[number % 3], number, over,
                         acknowledged)
            )
            for number in range(6)
        ]
        await asyncio.sleep(2)
        if not acknowledged:
            raise CannotRun('no write succeeds')
        if trouble:
            await stage.crash(other)
        await asyncio.sleep(1)
        stage.drain(old)
        if trouble:
            await asyncio.sleep(REPLICA_DOWN - 1)
            await stage.restart(other)
        await asyncio.sleep(8)
        over.set()
        await asyncio.gather(*writers)
        if not any(accepted for _, _, accepted in stage.orders):
            raise CannotRun('no promotion was ordered')
        return violations(stage, record, acknowledged)
    finally:
        over.set()
        await stage.close()


def violations(stage, record, acknowledged):
    """Returns the writes that break ONE.

    A write counts if it was committed at a server in a term after which
    another server had taken over, and was acknowledged to its client.
    """
    # Terms begin at times of the event loop, which runs on the same clock as
    # the record.
    offset = asyncio.get_running_loop().time() - record.now()
    terms = [
        (term, name, at - offset) for term, name, at in stage.database.terms
    ]
    for term, name, at in terms[1:]:
        record.note(f'term {term} of {name} took effect at {at:.3f}')
    acked = {statement_id: at for at, statement_id, _ in acknowledged}
    broken = [
        f'ONE: {one["id"]} committed at {one["server"]} in term {one["term"]}'
        f' at {one["at"]:.3f}, {one["at"] - at:.3f} s after {name} had taken'
        f' over in term {term}; acknowledged at {acked[one["id"]]:.3f}'
        for one in record.executed
        if one['committed'] and one['id'] in acked
        for term, name, at in terms
        if term > one['term'] and at < one['at']
    ]
    final = {
        text for commit in stage.database.primary.log for text in commit.writes
    }
    lost = [
        token
        for _, _, token in acknowledged
        if f'WRITE a {token}' not in final
    ]
    record.note(
        f'{len(acknowledged)} writes acknowledged, {len(lost)} of them are not'
        f' in the log of the last primary {stage.database.primary.name}'
    )
    return broken


run_case(case)
