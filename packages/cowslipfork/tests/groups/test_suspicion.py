import asyncio
from math import nextafter
from types import SimpleNamespace

from virtual_time import now, run_virtual

from cowslipfork.configuration import Failover
from cowslipfork.groups.suspicion import _stays_silent


def test_a_sleep_too_short_to_change_the_clock_does_not_hang():
    # Without a minimum sleep the random histories of test_promises.py hung here
    # with seed 21.
    async def scenario():
        await asyncio.sleep(100)
        begun = now()
        almost = nextafter(Failover().suspect_after, 0)
        tracker = SimpleNamespace(
            failover=Failover(),
            record=SimpleNamespace(primary='e1'),
            silent_seconds=lambda _: almost + (now() - begun),
        )
        assert await _stays_silent(tracker)

    run_virtual(scenario())
