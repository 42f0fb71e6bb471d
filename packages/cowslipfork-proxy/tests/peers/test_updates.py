from dataclasses import replace

from cowslipfork.configuration import Configuration, Site
from cowslipfork.groups import GroupRecord, RecordState
from cowslipfork.ids import (
    EndpointId,
    FailureDomain,
    GroupName,
    Incarnation,
    RegionName,
    SiteName,
    Term,
    VmId,
)
from cowslipfork.membership import Members, MemberState, Report, VmLocation
from cowslipfork.record_sync import LocalRecords, read_record
from cowslipfork.record_sync.record import CONFIGURATION_KEY
from cowslipfork.wire import records_pb2
from cowslipfork_proxy.applied_state import AppliedState
from cowslipfork_proxy.peers import announce
from cowslipfork_proxy.peers.updates import (
    apply_member_updates,
    apply_record_updates,
)

SITE = SiteName('punjab')


def node_holdings():
    return AppliedState(Configuration(Site(SITE, RegionName('punjab'), ())))


def report(name, beat=1, **fields):
    location = VmLocation(VmId(name), FailureDomain('d'), RegionName('punjab'))
    return Report(location, f'{name}:1', Incarnation(1), beat, **fields)


def test_unreadable_configuration_is_held_but_not_in_force():
    records, applied_state, told = LocalRecords(print), node_holdings(), []
    apply_record_updates(records, applied_state, SITE, told.append)
    content = records_pb2.ConfigurationRecord(revision=3)
    records.apply(
        read_record(CONFIGURATION_KEY, content.SerializeToString(), 0),
    )
    assert records.revision == 3
    assert applied_state.revision == 0
    assert not told


def test_announced_group_record_reaches_the_node():
    records, applied_state = LocalRecords(print), node_holdings()
    apply_record_updates(records, applied_state, SITE, print)
    record = GroupRecord(
        group=GroupName('orders'),
        term=Term(4),
        state=RecordState.SERVING,
        primary=EndpointId('orders-2'),
        claimer='vm',
    )
    announce(records, record)
    assert applied_state.records[GroupName('orders')].term == 4


def test_only_vms_that_are_not_gone_may_carry():
    members, applied_state = Members(report('a'), 0), node_holdings()
    apply_member_updates(members, applied_state)
    members.apply_report(report('b'), 0)
    members.apply_report(report('c'), 0)
    assert set(applied_state.known_vms) == {'a', 'b', 'c'}
    members.apply_report(report('b', 2, state=MemberState.LEAVING), 0)
    assert applied_state.known_vms[VmId('b')].leaving
    gone = replace(members.others[VmId('c')].report, state=MemberState.GONE)
    members.apply_report(gone, 0)
    assert set(applied_state.known_vms) == {'a', 'b'}
    members.update_own(replace(members.own, state=MemberState.LEAVING))
    assert applied_state.known_vms[VmId('a')].leaving
