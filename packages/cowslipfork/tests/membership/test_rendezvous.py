from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipfork.ids import FailureDomain, GroupName, RegionName, VmId
from cowslipfork.membership.rendezvous import VmLocation, carrier_of, rank

HOME = RegionName('punjab')
AWAY = RegionName('cairo')


def location(number, domain, region=HOME):
    return VmLocation(
        VmId(f'vm-{number}'), FailureDomain(f'{region}-{domain}'), region
    )


fleets = st.lists(
    st.tuples(st.integers(0, 3), st.sampled_from([HOME, AWAY])),
    min_size=1,
    max_size=30,
).map(
    lambda drawn: [
        location(number, domain, region)
        for number, (domain, region) in enumerate(drawn)
    ],
)
groups = st.text('abcdefgh', min_size=1, max_size=6).map(GroupName)


@settings(derandomize=True)
@given(fleets, groups, st.randoms())
def test_rank_holds_every_vm_once_whatever_the_order(fleet, group, random):
    shuffled = random.sample(fleet, len(fleet))
    ranked = rank(group, fleet, HOME)
    assert Counter(ranked) == Counter(member.vm for member in fleet)
    assert rank(group, shuffled, HOME) == ranked
    assert carrier_of(group, shuffled, HOME) == ranked[0]


@settings(derandomize=True)
@given(fleets, groups)
def test_home_region_first_and_failure_domains_alternate(fleet, group):
    by_vm = {member.vm: member for member in fleet}
    ranked = [by_vm[vm] for vm in rank(group, fleet, HOME)]
    home = [member for member in ranked if member.region == HOME]
    assert ranked[: len(home)] == home
    domains = {member.failure_domain for member in home}
    first_ranks = [member.failure_domain for member in home[: len(domains)]]
    assert set(first_ranks) == domains


@settings(derandomize=True)
@given(
    fleets, st.lists(groups, unique=True, min_size=1, max_size=20), st.data()
)
def test_loss_of_a_vm_moves_only_its_own_groups(fleet, names, data):
    lost = data.draw(st.sampled_from(fleet))
    left = [member for member in fleet if member != lost]
    before = {name: carrier_of(name, fleet, HOME) for name in names}
    after = {name: carrier_of(name, left, HOME) for name in names}
    moved = {name for name in names if before[name] != after[name]}
    assert moved == {name for name in names if before[name] == lost.vm}


@pytest.mark.parametrize('vms', [5, 20, 271])
def test_groups_are_shared_out_evenly(vms):
    fleet = [location(number, number % 4) for number in range(vms)]
    held = Counter(
        carrier_of(GroupName(f'group-{number}'), fleet, HOME)
        for number in range(vms * 100)
    )
    assert max(held.values()) < 150


def test_nobody_carries_without_vms():
    assert carrier_of(GroupName('orders'), [], HOME) is None
