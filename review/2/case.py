"""Writes are acknowledged at the old primary after another was promoted.

A node is stopped and started again as planned. Within 4.5 seconds two answers of
the store to that node are lost: that to the last write of the old process, which
is executed some seconds later, and one to a watch of the new process, at the
moment at which the primary is replaced as planned.
"""

import asyncio
import signal

from stand_in.servers import Rules
from stand_in.stage import NotRunnable, route, run_case, trouble

#: nilebean-brewclass: 5 slots, 60 connections, replicas 20 ms behind, 300 ms a
#: promote, 11 ms of work.
RULES = Rules(
    slots=5, connections=60, promote=0.3, read_time=0.011, write_time=0.011
)

CALM = 3.0
#: Seconds after which the call without an answer is executed.
LATE = 2.8
#: Seconds for which answers are lost (``platform_lost``, ``for_s``).
LOSSES = 4.5
AFTER = 8.0


async def write(stage, node, number, state):
    session = stage.session(node, 'enrol', f'writer{number}')
    count = 0
    while not state['stop']:
        count += 1
        answer = await session.query(f'WRITE item{number} {count}')
        if answer.done:
            state['acknowledged'][answer.number] = (f'item{number}', str(count))
        await asyncio.sleep(0.02 if answer.done else 0.1)
    session.close()


async def play(stage):
    await stage.start(RULES)
    service = stage.services[0]
    stage.configure([route('enrol', service, timeout_ms=1200)], RULES)
    await stage.start_nodes()
    await stage.wait_served('enrol')
    state = {'stop': False, 'acknowledged': {}}
    node = stage.nodes[0]
    tasks = [
        asyncio.ensure_future(write(stage, one, number, state))
        for number, one in enumerate([node, *stage.nodes])
    ]
    await asyncio.sleep(CALM)
    late, lost = [], []

    def delay(name, fields):
        """Executes the last write of the node's old process late."""
        if name != node.name or late or not fields['deletes']:
            return None
        late.append(stage.record.now)
        return LATE

    def lose(name, path, answer):
        """Loses one answer: the next one with changes to the node's watch."""
        meant = name == node.name and path == '/kv-watch' and not lost
        if meant and answer[0] == 200 and answer[1]['events']:
            lost.append(stage.record.now)
            return True
        return False

    if trouble():
        stage.store.late = delay
    stage.record.tell(node.name, 'is stopped and started again')
    node.send(signal.SIGTERM)
    while node.running:
        await asyncio.sleep(0.05)
    node.start()
    while not await node.ready():
        await asyncio.sleep(0.05)
    if trouble() and not late:
        raise NotRunnable('the node wrote nothing at its end')
    executed = (late[0] if late else stage.record.now) + LATE
    if executed < stage.record.now + 0.2:
        raise NotRunnable('the node took too long to start')
    await asyncio.sleep(executed + 0.1 - stage.record.now)
    if trouble():
        stage.store.lose = lose
    old = service.primary
    stage.record.tell(old.name, 'is to be replaced')
    old.drain()
    await asyncio.sleep(AFTER)
    state['stop'] = True
    await asyncio.gather(*tasks)
    if not service.promotions:
        raise NotRunnable('the primary was not replaced')
    if trouble() and (not lost or lost[0] > late[0] + LOSSES):
        raise NotRunnable('no answer was lost at the right time')
    moment = service.promotions[0][0]
    stage.record.tell(f'{service.primary.name} promoted at {moment:.3f} s')
    acknowledged = state['acknowledged']
    return [
        f'ONE: {" ".join(acknowledged[number])} was committed at {server.name} '
        f'{committed - moment:.3f} s after the promote had taken effect, and '
        f'acknowledged; kept: {service.kept(*acknowledged[number])}'
        for committed, server, number in service.commits
        if server is old and committed > moment and number in acknowledged
    ]


run_case(__file__, play)
