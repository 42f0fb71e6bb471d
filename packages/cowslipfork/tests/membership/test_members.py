from dataclasses import replace

import pytest

from cowslipfork.ids import (
    FailureDomain,
    Incarnation,
    RegionName,
    Revision,
    VmId,
)
from cowslipfork.membership.member import (
    GoneProof,
    ListedVm,
    MemberState,
    Report,
    StaleReport,
)
from cowslipfork.membership.members import FORGET_AFTER, Members
from cowslipfork.membership.rendezvous import VmLocation

HOME = RegionName('punjab')
AWAY = RegionName('cairo')
TICK = 0.25


def report(name, beat=1, incarnation=7, region=HOME, **fields):
    location = VmLocation(VmId(name), FailureDomain('d1'), region)
    return Report(
        location, f'{name}:1', Incarnation(incarnation), beat, **fields
    )


def doubt(name, beat, *witnesses, **fields):
    return report(
        name,
        beat,
        state=MemberState.SUSPECT,
        witnesses=frozenset(map(VmId, witnesses)),
        **fields,
    )


def members(*others, own='a'):
    """Makes the members of node a, with heard neighbours."""
    known = Members(report(own), 0)
    known.heartbeats.expect(map(VmId, others), 0)
    for name in others:
        known.apply_heartbeat(report(name), frozenset(), 0)
    known.apply_vm_list({}, 0)
    known.tick(0)
    return known


def run(known, start, seconds, heard=(), not_received_from=()):
    """Ticks, with heartbeats of the VMs that are heard."""
    for step in range(1, round(seconds / TICK) + 1):
        now = start + step * TICK
        for name in heard:
            beat = round(100 + now * 100)
            known.apply_heartbeat(
                report(name, beat), frozenset(not_received_from), now
            )
        known.tick(now)
    return start + seconds


def state(known, name):
    return known.others[VmId(name)].state


STATES = (MemberState.LIVE, MemberState.SUSPECT, MemberState.GONE)


@pytest.mark.parametrize(
    ('known', 'told', 'after'),
    [
        # (state, beat) known, report received, state after
        (report('x', 5), report('x', 4), 'stale'),
        (report('x', 5), report('x', 5), 'stale'),
        (report('x', 5), report('x', 6), MemberState.LIVE),
        (report('x', 5), report('x', 9, incarnation=6), 'stale'),
        (report('x', 5), report('x', 1, incarnation=8), MemberState.LIVE),
        (report('x', 5), doubt('x', 4, 'b'), 'stale'),
        (report('x', 5), doubt('x', 5, 'b'), MemberState.SUSPECT),
        (doubt('x', 5, 'b'), doubt('x', 5, 'b'), 'stale'),
        (doubt('x', 5, 'b'), report('x', 5), 'stale'),
        (doubt('x', 5, 'b'), report('x', 6), MemberState.LIVE),
        (
            report('x', 5),
            report('x', 5, state=MemberState.GONE, proof=GoneProof.REFUSED),
            MemberState.GONE,
        ),
        (
            report('x', 5, state=MemberState.GONE, proof=GoneProof.SILENT),
            report('x', 5),
            'stale',
        ),
        (
            # a frozen node wakes
            report('x', 5, state=MemberState.GONE, proof=GoneProof.SILENT),
            report('x', 6),
            MemberState.LIVE,
        ),
        (
            # a drained process has ended, whatever still arrives of it
            report('x', 5, state=MemberState.GONE, proof=GoneProof.LEFT),
            report('x', 6),
            'stale',
        ),
        (
            report('x', 5, state=MemberState.GONE, proof=GoneProof.LEFT),
            report('x', 1, incarnation=8),
            MemberState.LIVE,
        ),
        (
            report('x', 5, state=MemberState.LEAVING),
            report('x', 6),
            MemberState.LEAVING,
        ),
        (
            report('x', 5, state=MemberState.LEAVING),
            report('x', 1, incarnation=8),
            MemberState.LIVE,
        ),
    ],
)
def test_only_newer_reports_are_taken(known, told, after):
    view = Members(report('a'), 0)
    view.apply_report(known, 0)
    before = view.others[VmId('x')]
    observed = view.apply_report(told, 0)
    if after == 'stale':
        assert isinstance(observed.error, StaleReport)
        assert view.others[VmId('x')] == before
    else:
        assert observed.is_ok()
        assert state(view, 'x') is after


def test_silence_is_suspicion_until_another_node_confirms_it():
    known = members('b', 'c', 'd', 'e')
    now = run(known, 0, 1.5, heard='bcd')
    assert state(known, 'e') is MemberState.SUSPECT
    assert VmId('e') in {location.vm for location in known.eligible_locations()}
    now = run(known, now, 3, heard='bcd')
    assert state(known, 'e') is MemberState.SUSPECT
    known.apply_report(doubt('e', 1, 'b'), now)
    run(known, now, 0.5, heard='bcd')
    assert state(known, 'e') is MemberState.GONE
    assert VmId('e') not in {
        location.vm for location in known.eligible_locations()
    }


def test_refused_connection_is_proof_at_once():
    known = members('b', 'c')
    known.mark_ended(VmId('b'), 0.1)
    assert state(known, 'b') is MemberState.GONE
    assert known.others[VmId('b')].report.proof is GoneProof.REFUSED


def test_asymmetric_cut_is_refuted_and_does_not_flap():
    # a does not hear e, the others do
    known = members('b', 'c', 'd', 'e')
    now, told = 0.0, 0
    for _ in range(80):
        marked = known.changes.last
        now = run(known, now, TICK, heard='bcd')
        told += known.changes.last - marked
        if state(known, 'e') is MemberState.SUSPECT:
            known.apply_report(report('e', round(1000 + now * 100)), now)
        assert state(known, 'e') is not MemberState.GONE
    assert told <= 2 * 20 / 5


def test_node_that_hears_but_is_not_heard_is_out_of_touch():
    known = members('b', 'c', 'd', 'e')
    now = run(known, 0, 1, heard='bcde')
    assert known.has_majority(now)
    now = run(known, now, 1, heard='bcde', not_received_from=['a'])
    assert not known.has_majority(now)


def test_minority_gives_up_before_the_majority_takes_over():
    minority = members('b', 'c', 'd', 'e')
    majority = members('a', 'b', 'd', 'e', own='c')
    gave_up = took_over = None
    for step in range(1, 40):
        now = step * TICK
        run(minority, now - TICK, TICK, heard='b')
        run(majority, now - TICK, TICK, heard='de')
        for witness in 'de':
            majority.apply_report(doubt('a', 1, witness), max(now, 1))
        if gave_up is None and not minority.has_majority(now):
            gave_up = now
        if took_over is None and state(majority, 'a') is MemberState.GONE:
            took_over = now
        assert majority.has_majority(now)
    assert gave_up < took_over


def test_of_two_halves_one_goes_on():
    first = members('b', 'c', 'd')
    second = members('a', 'b', 'd', own='c')
    now = run(first, 0, 3, heard='b')
    run(second, 0, 3, heard='d')
    assert first.has_majority(now)
    assert not second.has_majority(now)


def test_dead_processes_do_not_count_in_the_majority():
    known = members('b', 'c', 'd', 'e')
    for name in 'cde':
        known.mark_ended(VmId(name), 0.1)
    now = run(known, 0, 3, heard='b')
    assert known.has_majority(now)


def test_stopped_process_relies_on_nothing_it_heard_before():
    known = members('b', 'c')
    now = run(known, 0, 1, heard='bc')
    later = now + 60
    assert not known.has_majority(later)
    assert known.tick(later)
    assert not known.has_majority(later)
    assert state(known, 'b') is MemberState.LIVE
    assert known.has_majority(run(known, later, TICK, heard='bc'))


def test_lost_region_is_suspect_until_the_platform_drops_it():
    known = members('b', 'c')
    for name in 'xy':
        known.apply_report(report(name, region=AWAY), 0)
        known.apply_report(doubt(name, 1, 'b', 'c', region=AWAY), 0)
    listed = {
        VmId(name): ListedVm(report(name, region=AWAY).location, f'{name}:1')
        for name in 'xy'
    }
    known.apply_vm_list(listed, 0)
    now = run(known, 0, 30, heard='bc')
    assert state(known, 'x') is MemberState.SUSPECT
    assert known.has_majority(now)
    known.apply_vm_list({VmId('y'): listed[VmId('y')]}, now)
    run(known, now, TICK, heard='bc')
    assert state(known, 'x') is MemberState.GONE
    assert state(known, 'y') is MemberState.SUSPECT


def test_heartbeats_go_before_the_lagging_list():
    known = members('b', 'c')
    now = run(known, 0, 1, heard='bc')
    known.apply_vm_list(
        {VmId('b'): ListedVm(report('b').location, 'b:1', True)}, now
    )
    assert state(known, 'b') is MemberState.LEAVING
    known.apply_vm_list({}, now)
    assert state(known, 'b') is MemberState.LIVE
    known.mark_ended(VmId('c'), now)
    known.apply_vm_list({VmId('c'): ListedVm(report('c').location, 'c:1')}, now)
    run(known, now, FORGET_AFTER + 1, heard='b')
    assert state(known, 'c') is MemberState.GONE


def test_own_report_goes_past_what_is_told_of_the_node():
    known = members('b')
    known.apply_report(doubt('a', 50, 'b'), 0)
    assert known.next_heartbeat().beat == 51
    known.apply_report(report('a', 3, incarnation=9), 0)
    assert known.own.incarnation == 10


def test_node_without_the_platform_s_list_relies_on_nothing():
    alone = Members(report('a'), 0)
    alone.tick(0)
    assert not alone.has_majority(0)
    alone.apply_vm_list({VmId('a'): ListedVm(report('a').location, 'a:1')}, 0)
    alone.tick(0)
    assert alone.has_majority(0)


def test_leaving_is_never_taken_back_and_gets_no_work():
    known = members('b')
    known.update_own(replace(known.own, state=MemberState.LEAVING))
    known.update_own(replace(known.own, state=MemberState.LIVE))
    assert known.own.state is MemberState.LEAVING
    assert {location.vm for location in known.eligible_locations()} == {
        VmId('b')
    }


def test_laggards_are_told_of_once_and_named():
    known = members('b', 'c')
    known.update_own(replace(known.own, revision=Revision(4)))
    assert known.laggards(Revision(4)) == {VmId('b'), VmId('c')}
    before = known.changes.last
    run(known, 0, 10, heard='bc')
    assert known.changes.last == before + 2
    far = Members(report('z'), 0)
    far.apply_report(known.others[VmId('b')].report, 0)
    assert far.laggards(Revision(4)) == {VmId('b')}
    far.apply_report(report('b', 9999, revision=Revision(4)), 0)
    assert not far.laggards(Revision(4))
