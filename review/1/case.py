"""A store outage makes nodes promote a replica while others use the primary.

The platform's store is down, and the servers' entries lapse meanwhile. When it
is back, so are the entries, within two seconds, that of one replica first.
Nothing happens to the servers or the nodes; callers write through all nodes.
"""

import asyncio

from stand_in.servers import Rules
from stand_in.stage import NotRunnable, route, run_case, trouble

#: nilebean-brewclass: 5 slots, 60 connections, replicas 20 ms behind, 300 ms a
#: promote, 11 ms of work.
RULES = Rules(
    slots=5, connections=60, promote=0.3, read_time=0.011, write_time=0.011
)

#: Two machines in each of four zones: five, and three that were added.
NODES = 8
CALM = 3.0
#: Seconds for which the store is down (``platform_down``, ``for_s``).
DOWN = 4.5
#: Seconds after which the first and the last entry are back.
FIRST_BACK = 0.1
BACK = 1.8
#: Most outages, one after the other; the case ends with the first breach.
OUTAGES = 9
AFTER = 3.0


async def write(stage, node, number, state):
    session = stage.session(node, 'enrol', f'writer{number}')
    count = 0
    while not state['stop']:
        count += 1
        answer = await session.query(f'WRITE item{number} {count}')
        if answer.done:
            state['acknowledged'][answer.number] = (f'item{number}', str(count))
        await asyncio.sleep(0.03 if answer.done else 0.1)
    session.close()


def breaches_of(service, acknowledged):
    """Returns acknowledged commits at a primary after its successor's promote."""
    found = []
    for moment, new, old in service.promotions:
        found += [
            f'ONE: {" ".join(acknowledged[number])} was committed at {server.name} '
            f'{committed - moment:.3f} s after the promote of {new.name} had taken '
            f'effect, and acknowledged; kept: {service.kept(*acknowledged[number])}'
            for committed, server, number in service.commits
            if server is old
            and moment < committed < moment + AFTER
            and number in acknowledged
        ]
    return found


async def pass_outage(stage, service):
    """Has the store answer nothing for a while, and the entries lapse."""
    stage.record.tell('the store is down')
    stage.store.down = True
    for server in service.servers:
        server.reports = False
    # Three heartbeats without a report.
    await asyncio.sleep(3 * RULES.heartbeat)
    for server in service.servers:
        stage.store.delete(f'servers/{server.name}')
    await asyncio.sleep(DOWN - 3 * RULES.heartbeat)
    stage.store.down = False
    stage.record.tell('the store is back')
    first, *others = sorted(
        service.servers, key=lambda one: one is service.primary
    )
    await asyncio.sleep(FIRST_BACK)
    first.reports = True
    first.report()
    await asyncio.sleep(BACK - FIRST_BACK)
    for server in others:
        server.reports = True
        server.report()


async def play(stage):
    await stage.start(RULES, nodes=NODES)
    service = stage.services[0]
    stage.configure([route('enrol', service, timeout_ms=1200)], RULES)
    await stage.start_nodes()
    await stage.wait_served('enrol')
    state = {'stop': False, 'acknowledged': {}}
    tasks = [
        asyncio.ensure_future(write(stage, one, number, state))
        for number, one in enumerate(stage.nodes)
    ]
    await asyncio.sleep(CALM)
    if not state['acknowledged']:
        raise NotRunnable('nothing was served before')
    for _ in range(OUTAGES):
        if trouble():
            await pass_outage(stage, service)
        else:
            await asyncio.sleep(DOWN + BACK)
        await asyncio.sleep(AFTER)
        stage.record.tell(
            f'promotions so far: {len(service.promotions)}, primary now: '
            f'{service.primary.name}'
        )
        if breaches_of(service, state['acknowledged']):
            break
    state['stop'] = True
    await asyncio.gather(*tasks)
    return breaches_of(service, state['acknowledged'])


run_case(__file__, play)
