"""A transaction goes on as a tenant that doesn't hold its caller's key."""

import asyncio

from stand_in_2.stage import Caller, CannotRun, Stage, done, run_case

#: Seconds after its acknowledgement by which a configuration must be in force
#: on the deployments with tenants (``configApplyMs``).
APPLY = 5.0

#: Seconds between two statements of the transaction: less than ``txIdleMs``.
PAUSE = 1.5

#: Statements of the transaction before its COMMIT, 12 at most.
STATEMENTS = 7

TENANTS = [
    {'name': 'alpha', 'apiKeys': ['key-a', 'key-x']},
    {'name': 'beta', 'apiKeys': ['key-b']},
]

#: ``key-x`` is removed from one tenant and added to another.
TENANTS_AFTER = [
    {'name': 'alpha', 'apiKeys': ['key-a']},
    {'name': 'beta', 'apiKeys': ['key-b', 'key-x']},
]


async def case(record, trouble):
    stage = Stage(record, nodes=3, tenants=TENANTS)
    sent = {}
    try:
        await stage.start()
        caller = Caller(record, stage.nodes[0], 'fresh', 'key-x')

        async def query(text):
            at = record.now()
            statement_id, lines = await caller.query(text)
            sent[statement_id] = at
            return lines

        if not done(await query('READ a')):
            raise CannotRun('no statement succeeds')
        await query('BEGIN')
        if not done(await query('WRITE a t0')):
            raise CannotRun('the transaction does not begin')
        changed_at = None
        if trouble:
            stage.tenants = TENANTS_AFTER
            stage.configure()
            changed_at = record.now()
        for number in range(1, STATEMENTS):
            await asyncio.sleep(PAUSE)
            await query(f'WRITE a t{number}')
        await query('COMMIT')
        await query('READ a')
        caller.close()
        return violations(record, sent, changed_at)
    finally:
        await stage.close()


def violations(record, sent, changed_at):
    """Returns statements that ran as a tenant without the caller's key."""
    broken = []
    for one in record.executed:
        at = sent.get(one['id'])
        if at is None:
            continue
        if changed_at is None:
            holder = 'alpha'
        elif at > changed_at + APPLY:
            holder = 'beta'
        else:
            continue
        if one['client'] != holder:
            broken.append(
                f'UNASKED: {one["id"]} ({one["text"]}), sent at {at:.3f}, ran'
                f' at {one["server"]} as tenant {one["client"]}, while'
                f' {holder} holds the key'
            )
    return broken


run_case(case)
