import pytest

from cowslipfork_direct.leader_lease import RENEW_BEFORE, LeaderLease


def test_nothing_is_proved_at_first():
    leader_lease = LeaderLease(lambda: 10)
    assert not leader_lease.covers(10)
    assert leader_lease.renewal_due


@pytest.mark.parametrize(
    ('moment', 'covered'),
    [(0, True), (10.9, True), (11, False), (12, False)],
)
def test_a_proof_covers_what_came_before_it_lapses(moment, covered):
    leader_lease = LeaderLease(lambda: 10)
    leader_lease.extend(10, 1)
    assert leader_lease.covers(moment) is covered


def test_an_older_proof_takes_nothing_away():
    leader_lease = LeaderLease(lambda: 10)
    leader_lease.extend(10, 1)
    leader_lease.extend(9, 1)
    assert leader_lease.valid_until == 11


def test_a_proof_is_due_before_it_lapses():
    now = [10]
    leader_lease = LeaderLease(lambda: now[0])
    leader_lease.extend(10, 1)
    assert not leader_lease.renewal_due
    now[0] = 11 - RENEW_BEFORE
    assert leader_lease.renewal_due


def test_a_revoked_proof_covers_nothing():
    leader_lease = LeaderLease(lambda: 10)
    leader_lease.extend(10, 1)
    leader_lease.revoke()
    assert not leader_lease.covers(0)
