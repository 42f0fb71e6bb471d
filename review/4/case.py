"""After all nodes were killed, a primary that is gone is never replaced.

The primary is lost for good at the moment at which all processes of the system
are killed. The processes are started again; both replicas are sound.
"""

import asyncio

from stand_in.servers import Rules
from stand_in.stage import NotRunnable, route, run_case, trouble

#: hilal-cal: 3 slots, 23 connections, replicas 20 ms behind, 600 ms a promote.
RULES = Rules()

CALM = 4.0
#: Seconds until the platform starts the processes again.
DOWN = 1.4
#: ``recoveryS`` of hilal-cal, in seconds.
RECOVERY = 12.0
#: Seconds after that for which requests are counted.
COUNTED = 20.0


async def call(stage, node, number, database, state):
    """Sends statements; each one counts, whatever becomes of it."""
    session = stage.session(node, database, f'caller{number}')
    count = 0
    while not state['stop']:
        count += 1
        writes = database == 'confirm' and count % 3 == 0
        text = f'WRITE item{number} {count}' if writes else f'READ item{number}'
        sent = stage.record.now
        answer = await session.query(text)
        state['requests'].append((sent, answer.done))
        await asyncio.sleep(0.1)
    session.close()


async def play(stage):
    await stage.start(RULES)
    service = stage.services[0]
    stage.configure(
        [
            route('confirm', service),
            route('lookup', service, 'bounded', 2000, 1500),
            route('order', service, 'read_your_writes', 800, 2500),
        ],
        RULES,
    )
    await stage.start_nodes()
    await stage.wait_served('confirm')
    state = {'stop': False, 'requests': []}
    tasks = [
        asyncio.ensure_future(
            call(stage, stage.nodes[number % len(stage.nodes)], number, database, state)
        )
        for number, database in enumerate(('confirm', 'lookup', 'order') * 3)
    ]
    begun = stage.record.now
    await asyncio.sleep(CALM)
    lost = service.primary
    stage.record.tell('all nodes are killed')
    fault = stage.record.now
    for node in stage.nodes:
        node.kill()
    if trouble():
        stage.record.tell(lost.name, 'is lost for good')
        lost.crash()
    await asyncio.sleep(DOWN)
    for node in stage.nodes:
        node.start()
    back = stage.record.now
    await asyncio.sleep(max(0, 3 * RULES.heartbeat - DOWN))
    if trouble():
        stage.store.delete(f'servers/{lost.name}')
    await asyncio.sleep(RECOVERY + COUNTED - (stage.record.now - back))
    state['stop'] = True
    await asyncio.gather(*tasks)
    before = [done for sent, done in state['requests'] if begun < sent < fault - 1]
    after = [done for sent, done in state['requests'] if sent > back + RECOVERY]
    stage.record.tell(
        f'served before: {sum(before)} of {len(before)}; later than '
        f'{RECOVERY:.0f} s after the nodes were back: {sum(after)} of {len(after)}; '
        f'orders to promote: {len(stage.platform.orders)}'
    )
    if sum(before) < len(before) / 4:
        raise NotRunnable('less than a quarter was served before')
    if sum(after) < len(after) / 4:
        return [
            f'RECOVER: {sum(after)} of {len(after)} requests were served later '
            f'than {RECOVERY:.0f} s after the nodes were back'
        ]
    return []


run_case(__file__, play)
