import pytest

from cowslipfork_direct.leader_lease import RENEW_BEFORE, LeaderLease


def test_a_new_lease_covers_nothing_and_is_due():
    lease = LeaderLease(lambda: 10)
    assert not lease.covers(10)
    assert lease.renewal_due


@pytest.mark.parametrize(
    ('moment', 'covered'),
    [(0, True), (10.9, True), (11, False), (12, False)],
)
def test_a_lease_covers_moments_before_it_expires(moment, covered):
    lease = LeaderLease(lambda: 10)
    lease.extend(10, 1)
    assert lease.covers(moment) is covered


def test_an_older_extension_does_not_shorten_the_lease():
    lease = LeaderLease(lambda: 10)
    lease.extend(10, 1)
    lease.extend(9, 1)
    assert lease.valid_until == 11


def test_renewal_is_due_before_the_lease_expires():
    now = [10]
    lease = LeaderLease(lambda: now[0])
    lease.extend(10, 1)
    assert not lease.renewal_due
    now[0] = 11 - RENEW_BEFORE
    assert lease.renewal_due


def test_a_revoked_lease_covers_nothing():
    lease = LeaderLease(lambda: 10)
    lease.extend(10, 1)
    lease.revoke()
    assert not lease.covers(0)
