from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipfork.ids import FailureDomain, GroupName, RegionName, VmId
from cowslipfork.membership.carrier_table import CarrierTable
from cowslipfork.membership.rendezvous import VmLocation, carrier_of

HOME = RegionName('punjab')
GROUPS = [GroupName(f'group-{number}') for number in range(12)]

places = st.dictionaries(
    st.integers(0, 9),
    st.sampled_from([HOME, RegionName('cairo')]),
).map(
    lambda drawn: [
        VmLocation(VmId(f'vm-{number}'), FailureDomain('d'), region)
        for number, region in drawn.items()
    ],
)


@settings(derandomize=True)
@given(st.lists(places, max_size=6))
def test_table_agrees_with_the_order_after_every_change(fleets):
    table = CarrierTable(HOME)
    for fleet in fleets:
        table.set_locations(fleet)
        for group in GROUPS:
            assert table.carrier_of(group) == carrier_of(group, fleet, HOME)
