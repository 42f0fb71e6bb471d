"""The driver over real processes: stores, endpoints and relays."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import pytest

from cowslipfork.configuration import parse_configuration
from cowslipfork_lab.cluster import (
    ChildProcess,
    Cluster,
    Plan,
    PlanFileMissing,
    ProcessEnded,
)
from cowslipfork_lab.cluster.cluster import STORE
from cowslipfork_lab.cluster.controls import query

SAMPLES = Path(__file__).parents[4] / 'samples'


def alive(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


@pytest.mark.parametrize('deployment', ['hilal', 'nilebean'])
def test_plan_moves_a_sample_to_loopback(deployment):
    whole = Plan.of_sample(SAMPLES / deployment)
    group = whole.group_names[0]
    plan = Plan.of_sample(SAMPLES / deployment, groups=[group])
    endpoints = enumerate(plan.endpoints(group), 4000)
    ports = {one.name: port for port, one in endpoints}
    overlay = plan.overlay_at(ports)
    moved = parse_configuration(plan.base_of_groups, overlay, plan.site)
    found = moved.default_with(str).endpoints
    assert set(found) == set(ports)
    assert {one.host for one in found.values()} == {'127.0.0.1'}
    assert len(whole.group_names) == 3


def test_missing_sample_is_named(tmp_path):
    with pytest.raises(PlanFileMissing):
        Plan.of_sample(tmp_path)


async def test_platform_runs_and_leaves_nothing_behind(tmp_path):
    sample = SAMPLES / 'hilal'
    group = 'sightings'
    plan = Plan.of_sample(sample, nodes=2, groups=[group])
    cluster = Cluster(plan, tmp_path / 'run', relays=True)
    names = [one.name for one in plan.endpoints(group)]
    try:
        await cluster.start_platform()
        pids = [cluster.pid(name) for name in (STORE, *names)]
        assert all(map(alive, pids))
        (row,) = await query(cluster.port(names[0]), 'SHOW GROUP STATUS')
        assert row[:3] == (names[0], 'primary', 1)
        await cluster.set_fault(names[0], 'lab_leaving', 1)
        (row,) = await query(cluster.port(names[0]), 'SHOW GROUP STATUS')
        assert row[5] == 1
        entries, _ = await cluster.store.list_prefix('/platform/')
        assert len(entries) == 2 + len(names)
        await cluster.kill(names[0])
        await cluster.restart(names[0])
    finally:
        statuses = await cluster.stop()
    assert set(statuses) == {STORE, 'relay', *names}
    assert not any(map(alive, pids))


async def test_child_that_ends_early_shows_its_log(tmp_path):
    command = [sys.executable, '-c', 'import sys; sys.exit("no settings")']
    child = ChildProcess('broken', command, tmp_path)
    await child.start()
    assert await child.stop() != 0
    with pytest.raises(ProcessEnded, match='no settings|-15'):
        child.check()
