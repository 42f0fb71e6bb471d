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
from cowslipfork.membership import Members, MemberState, Place, Report
from cowslipfork.record_sync import Holdings, read_record
from cowslipfork.record_sync.record import CONFIGURATION_KEY
from cowslipfork.wire import records_pb2
from cowslipfork_proxy.applied_state import Holdings as NodeHoldings
from cowslipfork_proxy.peers import announce
from cowslipfork_proxy.peers.updates import feed_members, feed_records

SITE = SiteName('punjab')


def node_holdings():
    return NodeHoldings(Configuration(Site(SITE, RegionName('punjab'), ())))


def report(name, beat=1, **fields):
    place = Place(VmId(name), FailureDomain('d'), RegionName('punjab'))
    return Report(place, f'{name}:1', Incarnation(1), beat, **fields)


def test_unreadable_configuration_is_held_but_not_in_force():
    records, holdings, told = Holdings(print), node_holdings(), []
    feed_records(records, holdings, SITE, told.append)
    content = records_pb2.ConfigurationRecord(revision=3)
    records.apply(
        read_record(CONFIGURATION_KEY, content.SerializeToString(), 0),
    )
    assert records.revision == 3
    assert holdings.revision == 0
    assert not told


def test_announced_group_record_reaches_the_node():
    records, holdings = Holdings(print), node_holdings()
    feed_records(records, holdings, SITE, print)
    record = GroupRecord(
        group=GroupName('orders'),
        term=Term(4),
        state=RecordState.SERVING,
        primary=EndpointId('orders-2'),
        claimer='vm',
    )
    announce(records, record)
    assert holdings.records[GroupName('orders')].term == 4


def test_only_vms_that_are_not_gone_may_carry():
    members, holdings = Members(report('a'), 0), node_holdings()
    feed_members(members, holdings)
    members.observe(report('b'), 0)
    members.observe(report('c'), 0)
    assert set(holdings.neighbours) == {'a', 'b', 'c'}
    members.observe(report('b', 2, state=MemberState.LEAVING), 0)
    assert holdings.neighbours[VmId('b')].leaving
    gone = replace(members.all[VmId('c')].report, state=MemberState.GONE)
    members.observe(gone, 0)
    assert set(holdings.neighbours) == {'a', 'b'}
    members.update(replace(members.own, state=MemberState.LEAVING))
    assert holdings.neighbours[VmId('a')].leaving
