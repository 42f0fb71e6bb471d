"""The timer of a link, alone."""

import asyncio

import pytest
from virtual_time import VirtualLoop, now

from cowslipfork_direct.peers.heartbeat import (
    Heartbeat,
    HeartbeatActions,
    HeartbeatLimits,
)

LIMITS = HeartbeatLimits(ping_after=0.25, lost_after=0.6, unused_after=30)


def run_heartbeat(main):
    """Runs ``main(heartbeat, events)``; events are (name, time)."""

    async def start():
        events = []

        def record(name):
            return lambda: events.append((name, round(now(), 3)))

        heartbeat = Heartbeat(
            LIMITS,
            HeartbeatActions(
                record('ping'), record('silent'), record('unused')
            ),
        )
        await main(heartbeat, events)
        heartbeat.stop()
        return events

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(start())


def test_silence_leads_to_one_ping_and_then_to_the_end():
    """Guards against a ping that is late or sent again and again."""

    async def main(heartbeat, _events):
        heartbeat.expect()
        await asyncio.sleep(5)

    assert run_heartbeat(main) == [('ping', 0.25), ('silent', 0.6)]


def test_bytes_in_time_prevent_pings():
    """Guards against pings on a link that carries replies all the time."""

    async def main(heartbeat, _events):
        for _ in range(50):
            heartbeat.expect()
            await asyncio.sleep(0.1)
            heartbeat.record_received()

    assert run_heartbeat(main) == []


def test_a_pause_of_this_process_does_not_count_as_silence():
    """Guards against links lost to a pause of the node that waits."""

    async def main(heartbeat, _events):
        loop = asyncio.get_running_loop()
        heartbeat.expect()
        await asyncio.sleep(0.1)
        loop._virtual += 2
        await asyncio.sleep(0.01)
        heartbeat.record_received()
        await asyncio.sleep(1)

    events = run_heartbeat(main)
    assert [name for name, _ in events] == ['ping']


def test_silence_after_a_pause_is_noticed():
    """Guards against a pause that ends the watch."""

    async def main(heartbeat, _events):
        loop = asyncio.get_running_loop()
        heartbeat.expect()
        await asyncio.sleep(0.1)
        loop._virtual += 2
        await asyncio.sleep(5)

    events = run_heartbeat(main)
    assert events[-1][0] == 'silent'
    assert events[-1][1] == pytest.approx(2.7, abs=0.02)


def test_an_unused_link_is_reported_until_it_is_stopped():
    """Guards against a reserved link that is never closed later."""

    async def main(heartbeat, _events):
        await asyncio.sleep(70)

    assert run_heartbeat(main) == [('unused', 30.0), ('unused', 60.0)]
