"""A tracked fake group under virtual time, for tests of one tracker."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from inspect import Signature, signature

from fake_group import FakeGroup
from virtual_time import now, run_virtual

from cowslipfork.configuration import Failover, Group
from cowslipfork.groups import ClaimerId, Tracker, first_record
from cowslipfork.ids import EndpointId, GroupName

GROUP = Group(
    GroupName('g'), 'g', tuple(EndpointId(f'e{i}') for i in (1, 2, 3))
)
E1, E2, E3 = GROUP.endpoints
CLAIMER = ClaimerId('vm1/1')


@asynccontextmanager
async def background_tasks(*works):
    """Runs coroutines beside the body and ends them with it."""
    tasks = [asyncio.create_task(work) for work in works]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        for task in tasks:
            with suppress(asyncio.CancelledError):
                await task


@asynccontextmanager
async def tracking(group):
    violations = []
    tracker = Tracker(
        first_record(GROUP),
        group.controls('node'),
        Failover(),
        now,
        violations.append,
    )
    async with background_tasks(tracker.run(), group.replicate()):
        yield tracker
    assert not violations


def with_tracker(test):
    """Gives a test a fake group and its tracker, 0.3 s after its start."""

    def wrapper(*args, **kwargs):
        async def scenario():
            group = FakeGroup()
            async with tracking(group) as tracker:
                await asyncio.sleep(0.3)
                await test(group, tracker, *args, **kwargs)

        run_virtual(scenario())

    wrapper.__name__ = test.__name__
    shown = list(signature(test).parameters.values())[2:]
    wrapper.__signature__ = Signature(shown)
    return wrapper


def write(group, endpoint=E1, count=1):
    server = group.servers[endpoint]
    for _ in range(count):
        mark = server.write(server.term, object())
    return mark


def replace_primary(group, tracker, primary=E2, others=(E3,)):
    """Moves a majority to the next term as a claimer would."""
    record = tracker.record.claim(CLAIMER)
    tracker.adopt(record)
    for name in (primary, *others):
        group.servers[name].fence(record.term)
    group.servers[primary].promote(record.term)
    for name in others:
        group.servers[name].follow(record.term, primary)
    tracker.adopt(record.publish(CLAIMER, primary))
