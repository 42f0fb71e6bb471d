"""Arrivals, outcomes and figures of the load tool."""

from __future__ import annotations

from pathlib import Path

import pytest

from cowslipfork_lab.cluster import Cluster, Plan
from cowslipfork_lab.history import Action, Attempt, Ending, read_history
from cowslipfork_lab.load import (
    Baseline,
    Experiment,
    ExperimentSettings,
    LoadSettings,
    report_text,
)
from cowslipfork_lab.load.arrivals import arrivals
from cowslipfork_lab.load.endings import classify, retry_after
from cowslipfork_lab.load.faults import UnknownFault, fault_named
from cowslipfork_lab.load.measure import (
    Fault,
    FinishedRequest,
    failover_gap,
    replica_share,
    statistics_by_kind,
    weighted_availability,
)
from cowslipfork_lab.load.mix import UnknownMix, mix_of
from cowslipfork_lab.load.runner import callers_for
from cowslipfork_lab.load.schedule import (
    FAULT_FREE_SECONDS,
    BadFault,
    random_faults,
    read_fault,
)

SAMPLES = Path(__file__).parents[4] / 'samples'


def finished_request(
    kind='a', ending=Ending.DONE, started=0, ended=1, in_time=True
):
    attempt = Attempt(
        'g', kind, 's', Action.JOB, 't', None, 0, started, ended, ending
    )
    return FinishedRequest(attempt, 1, in_time)


def test_same_seed_gives_the_same_arrivals():
    mix = mix_of('punjab', ['sightings', 'orders'])
    first = list(arrivals(mix, 100, 10, seed=1))
    assert first == list(arrivals(mix, 100, 10, seed=1))
    assert first != list(arrivals(mix, 100, 10, seed=2))
    assert 800 < len(first) < 1200
    assert {one.group for one in first} == {'sightings', 'orders'}
    assert [one.at for one in first] == sorted(one.at for one in first)


@pytest.mark.parametrize('deployment', ['hilal', 'nilebean'])
def test_mix_names_kinds_and_teams_of_its_sample(deployment):
    plan = Plan.of_sample(SAMPLES / deployment)
    configuration = plan.configuration
    for entry in mix_of(plan.site, plan.group_names):
        kind = configuration.kinds[entry.kind]
        assert kind.job == (entry.action == Action.JOB)
        team = configuration.teams[entry.team]
        assert set(entry.groups) <= set(team.groups or plan.group_names)


def test_unknown_names_are_refused():
    with pytest.raises(UnknownMix):
        mix_of('nowhere', [])
    with pytest.raises(UnknownFault, match='kill-primary'):
        fault_named('earthquake')


@pytest.mark.parametrize(
    ('errno', 'text', 'ending'),
    [
        (4705, 'not run: no_primary; retry after 40 ms', Ending.NOT_RUN),
        (4720, 'unknown: outcome_unknown', Ending.UNKNOWN),
        (4701, 'endpoint is fenced in term 2', Ending.NOT_RUN),
        (1040, 'Too many connections', Ending.NOT_RUN),
        (2013, 'Lost connection to MySQL server', Ending.UNKNOWN),
        (2006, 'MySQL server has gone away', Ending.UNKNOWN),
        (0, 'Not connected', Ending.NOT_RUN),
        (1062, 'Duplicate entry', Ending.REFUSED),
    ],
)
def test_outcomes_of_errors(errno, text, ending):
    failure = classify(errno, text)
    assert failure.ending == ending
    assert failure.disconnected == (errno in {0, 2006, 2013})


def test_retry_after_is_read_from_the_text():
    assert retry_after('not run: no_primary; retry after 40 ms') == 0.04
    assert retry_after('Too many connections') is None


def test_random_faults_repeat_and_leave_a_calm_end():
    faults = random_faults(7, 60, ['a', 'b'], nodes=3)
    assert faults == random_faults(7, 60, ['a', 'b'], nodes=3)
    assert faults != random_faults(8, 60, ['a', 'b'], nodes=3)
    assert (
        max(one.at + one.seconds for one in faults) <= 60 - FAULT_FREE_SECONDS
    )
    assert min(one.at for one in faults) >= FAULT_FREE_SECONDS


@pytest.mark.parametrize(
    ('text', 'at', 'seconds'),
    [('kill-primary@4', 4, None), ('freeze-node@1.5+2.5', 1.5, 2.5)],
)
def test_faults_are_read_from_the_command_line(text, at, seconds):
    fault = read_fault(text, 'g')
    assert (fault.at, fault.seconds) == (at, seconds)


def test_a_fault_names_the_node_that_it_hits():
    assert read_fault('stop-node@4', 'g').target.node == 0
    assert read_fault('stop-node#3@4+1.5', 'g').target.node == 3


@pytest.mark.parametrize('text', ['kill-primary', 'kill-primary@x', '@4'])
def test_faults_written_otherwise_are_refused(text):
    with pytest.raises(BadFault):
        read_fault(text, 'g')


def test_availability_is_weighted_by_class():
    kinds = statistics_by_kind(
        [
            finished_request('heavy'),
            finished_request('light', Ending.NOT_RUN, in_time=False),
            finished_request('light'),
        ],
    )
    available = weighted_availability(kinds, {'heavy': 8, 'light': 1})
    assert available == pytest.approx(9 / 10)
    assert kinds['light'].endings == {'not_run': 1, 'done': 1}
    assert kinds['heavy'].latency_ms['p50'] == pytest.approx(1000, rel=0.01)


@pytest.mark.parametrize(
    ('finished_requests', 'gap'),
    [
        ([], None),
        ([finished_request(started=4, ended=6)], None),
        ([finished_request(started=6, ended=7, ending=Ending.UNKNOWN)], None),
        (
            [
                finished_request(started=6, ended=9),
                finished_request(started=7, ended=8),
            ],
            3,
        ),
    ],
)
def test_failover_gap_counts_jobs_sent_after_the_fault(finished_requests, gap):
    assert (
        failover_gap(finished_requests, Fault('kill-primary', 'g', at=5)) == gap
    )


def test_callers_grow_with_the_rate():
    assert [callers_for(rate) for rate in (10, 1000)] == [54, 250]


def test_replica_share():
    counters = [
        {'reads': 3, 'replica_reads': 3},
        {'reads': 1, 'replica_reads': 0},
    ]
    assert replica_share(counters) == 0.75
    assert replica_share([]) is None


async def test_direct_load_keeps_every_promise_without_faults(tmp_path):
    plan = Plan.of_sample(SAMPLES / 'hilal', nodes=1, groups=['sightings'])
    settings = ExperimentSettings(
        LoadSettings(rate=100, seconds=0.5, callers=5),
        Baseline.DIRECT,
    )
    cluster = Cluster(plan, tmp_path)
    try:
        await cluster.start_platform()
        outcome = await Experiment(cluster, settings, tmp_path).run()
    finally:
        await cluster.stop()
    assert outcome.violations == []
    attempts = list(read_history(tmp_path / 'history.jsonl'))
    assert {one.action for one in attempts} == {Action.JOB, Action.READ}
    assert 'violations: 0' in report_text(outcome.document)
