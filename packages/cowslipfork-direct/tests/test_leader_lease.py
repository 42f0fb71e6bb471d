import pytest

from cowslipfork_direct.leader_lease import RENEW_BEFORE, Standing


def test_nothing_is_proved_at_first():
    standing = Standing(lambda: 10)
    assert not standing.covers(10)
    assert standing.due


@pytest.mark.parametrize(
    ('moment', 'covered'),
    [(0, True), (10.9, True), (11, False), (12, False)],
)
def test_a_proof_covers_what_came_before_it_lapses(moment, covered):
    standing = Standing(lambda: 10)
    standing.prove(10, 1)
    assert standing.covers(moment) is covered


def test_an_older_proof_takes_nothing_away():
    standing = Standing(lambda: 10)
    standing.prove(10, 1)
    standing.prove(9, 1)
    assert standing.proved_until == 11


def test_a_proof_is_due_before_it_lapses():
    now = [10]
    standing = Standing(lambda: now[0])
    standing.prove(10, 1)
    assert not standing.due
    now[0] = 11 - RENEW_BEFORE
    assert standing.due


def test_a_revoked_proof_covers_nothing():
    standing = Standing(lambda: 10)
    standing.prove(10, 1)
    standing.revoke()
    assert not standing.covers(0)
