import pytest

from cowslipfork.configuration import Configuration, Site
from cowslipfork.ids import EndpointId, RegionName, SiteName
from cowslipfork.record_sync import LocalRecords
from cowslipfork.record_sync.record import ENDPOINTS_PREFIX, read_record
from cowslipfork.wire import records_pb2
from cowslipfork_proxy.applied_state import AppliedState
from cowslipfork_proxy.peers.updates import apply_record_updates

NAME = EndpointId('orders-1')
LIVE, LEAVING = records_pb2.VM_STATE_LIVE, records_pb2.VM_STATE_LEAVING


@pytest.mark.parametrize(
    ('told', 'leaving'),
    [
        ([], False),
        ([(1, LIVE)], False),
        ([(1, LIVE), (2, LEAVING)], True),
        ([(2, LEAVING), (3, LIVE)], False),
        # News of a lagging relay.
        ([(2, LEAVING), (1, LIVE)], True),
        # The platform has dropped the endpoint from its list.
        ([(2, LEAVING), (3, None)], False),
    ],
)
def test_the_platforms_list_tells_which_endpoints_leave(told, leaving):
    applied_state = AppliedState(
        Configuration(Site(SiteName('s'), RegionName('r'), ()))
    )
    records = LocalRecords(lambda record: None)
    apply_record_updates(
        records, applied_state, SiteName('s'), lambda revision: None
    )

    for revision, state in told:
        content = None
        if state is not None:
            entry = records_pb2.PlatformEntry(name=NAME, state=state)
            content = entry.SerializeToString()
        records.apply(read_record(ENDPOINTS_PREFIX + NAME, content, revision))

    assert applied_state.is_leaving(NAME) is leaving
