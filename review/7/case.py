"""A replica that has left for its replacement counts no more in a takeover."""

import asyncio

from stand_in_2.stage import Caller, CannotRun, Stage, done, run_case

#: Seconds for which a server still serves after it has reported draining:
#: ``drainMs``, and a little longer.
DRAIN = 7.5

#: Seconds from the end of a server to the registration of its replacement.
REPLACEMENT = 2.0

#: Seconds from that end to the crash of the primary.
CRASH_AFTER_END = 0.3

#: Seconds for which a replica receives nothing: 6.5 s at most, with the crash
#: of the primary in the middle.
DEAF = 6.5
CRASH_AFTER = 3.25

#: Seconds for which the primary is down: 7 s at most.
DOWN = 7.0


async def write_on(record, node, number, over, acknowledged):
    """Writes until the end; collects the writes that were acknowledged."""
    caller = Caller(record, node, 'fresh')
    count = 0
    while not over.is_set():
        count += 1
        token = f't{number}x{count}'
        _, lines = await caller.query(f'WRITE a {token}')
        if done(lines):
            acknowledged.append((record.now(), token))
        await asyncio.sleep(0.1)
    caller.close()


async def case(record, trouble):
    stage = Stage(record, nodes=3, synchronous=1)
    over = asyncio.Event()
    acknowledged = []
    try:
        await stage.start()
        primary, leaving, deaf = (
            stage.servers[name] for name in ('e1', 'e2', 'e3')
        )
        writers = [
            asyncio.create_task(
                write_on(record, stage.nodes[number % 3], number, over,
                         acknowledged)
            )
            for number in range(3)
        ]
        await asyncio.sleep(2)
        if not acknowledged:
            raise CannotRun('no write succeeds')
        # Planned work, with and without trouble: a replica is replaced.
        stage.drain(leaving)
        await asyncio.sleep(DRAIN - CRASH_AFTER + CRASH_AFTER_END)
        if trouble:
            deaf.replication_blocked = True
            record.note('e3 receives nothing')
        await asyncio.sleep(CRASH_AFTER - CRASH_AFTER_END)
        await stage.end(leaving)
        await asyncio.sleep(CRASH_AFTER_END)
        if trouble:
            await stage.crash(primary)
        await asyncio.sleep(REPLACEMENT - CRASH_AFTER_END)
        await stage.replace(leaving, 'e4')
        since_crash = REPLACEMENT - CRASH_AFTER_END
        await asyncio.sleep(DEAF - CRASH_AFTER - since_crash)
        if trouble:
            deaf.replication_blocked = False
            record.note('e3 receives again')
        await asyncio.sleep(DOWN - (DEAF - CRASH_AFTER))
        if trouble:
            await stage.restart(primary)
        await asyncio.sleep(0.5)
        over.set()
        await asyncio.gather(*writers)
        return violations(stage, record, acknowledged)
    finally:
        over.set()
        await stage.close()


def violations(stage, record, acknowledged):
    """Returns the acknowledged commits that a promoted server lacked."""
    broken = {}
    for at, name, log in stage.promoted:
        writes = {text for commit in log for text in commit.writes}
        lacking = [
            token
            for acknowledged_at, token in acknowledged
            if acknowledged_at < at and f'WRITE a {token}' not in writes
        ]
        record.note(
            f'{name} took over at {at:.3f} with {len(log)} entries;'
            f' {len(lacking)} acknowledged commits are not in its log'
        )
        for token in lacking:
            broken.setdefault(
                token,
                f'LOST: the write of {token} was acknowledged and is not in'
                f' the log of {name}, which was promoted',
            )
    if stage.promoted and not broken:
        record.note('every acknowledged commit was in the promoted log')
    return list(broken.values())


run_case(case)
