"""At most one node takes itself for the limiter of a workspace."""

from cowslipfork.ids import VmId, WorkspaceName
from cowslipfork_direct.rate_limits.candidates import limiter_of
from cowslipfork_direct.rate_limits.messages import Report
from cowslipfork_direct.rate_limits.votes import (
    VOTE_VALIDITY,
    VOTING_SILENCE,
    Ballot,
    Votes,
)

W = WorkspaceName('w')
NODES = [VmId(name) for name in 'abcde']
ALL = ('a', 'b', 'c')
FIRST = limiter_of(W, ALL)
REST = tuple(node for node in ALL if node != FIRST)
SECOND = limiter_of(W, REST)


def votes_for(node=FIRST, count=5, sets=(ALL,), echo=0.0, now=0.0):
    votes = Votes(node, lambda: NODES)
    for voter in NODES[:count]:
        votes.record(Report(voter, sets, echo), now)
    return votes


def test_the_majority_of_live_nodes_makes_a_limiter():
    assert votes_for(count=3).tenure(W, 0.1)
    assert votes_for(count=2).tenure(W, 0.1) is None


def test_votes_for_another_candidate_do_not_count():
    assert votes_for(node=SECOND).tenure(W, 0.1) is None
    assert votes_for(node=SECOND, sets=(REST,)).tenure(W, 0.1)


def test_a_node_that_changed_its_candidates_votes_for_neither():
    both = (REST, ALL)
    assert votes_for(node=FIRST, sets=both).tenure(W, 0.1) is None
    assert votes_for(node=SECOND, sets=both).tenure(W, 0.1) is None


def test_a_change_that_does_not_concern_a_workspace_keeps_its_votes():
    other = (FIRST, 'd')
    if limiter_of(W, other) != FIRST:
        other = (FIRST,)
    assert votes_for(sets=(ALL, other)).tenure(W, 0.1)


def test_votes_of_nodes_that_are_not_live_do_not_count():
    votes = Votes(FIRST, lambda: NODES)
    for voter in ('x', 'y', 'z'):
        votes.record(Report(VmId(voter), (ALL,)), 0)
    assert votes.tenure(W, 0.1) is None


def test_a_tenure_ends_with_the_votes():
    votes = votes_for()
    assert votes.tenure(W, VOTE_VALIDITY - 0.01)
    assert votes.tenure(W, VOTE_VALIDITY) is None


def test_a_report_that_was_delayed_counts_from_its_echo():
    """A frozen limiter would find valid votes in its socket on waking up."""
    assert votes_for(echo=0.0, now=10.0).tenure(W, 10.0) is None


def test_an_echo_from_before_a_reboot_counts_from_its_arrival():
    votes = votes_for(echo=1e6, now=10)
    assert votes.tenure(W, 10.5)
    assert votes.tenure(W, 10 + VOTE_VALIDITY) is None


def test_a_tenure_that_is_extended_keeps_its_start():
    """A start that moved would empty the bucket."""
    votes = votes_for()
    since = votes.tenure(W, 0.1).since
    for voter in NODES:
        votes.record(Report(voter, (ALL,), 0.4), 0.4)
    assert votes.extension_due(0.8)
    votes.extend_all([W], 0.8)
    assert votes.tenure(W, 1.2).since == since


def test_a_tenure_that_was_interrupted_starts_again():
    votes = votes_for()
    votes.tenure(W, 0.1)
    for voter in NODES:
        votes.record(Report(voter, (ALL,), 2), 2)
    assert votes.tenure(W, 2).since == 2


def test_nodes_without_valid_votes_may_be_falling_back():
    votes = votes_for(count=4)
    assert votes.fallback_nodes(0.1) == 1
    votes.record(Report(NODES[0], (ALL,), 0.1, falls_back=True), 0.1)
    assert votes.fallback_nodes(0.2) == 2
    assert votes.fallback_nodes(2) == 5


def test_a_process_does_not_vote_for_a_while_after_its_start():
    ballot = Ballot(now=0)
    ballot.use(ALL, 0)
    assert ballot.sets(VOTING_SILENCE - 0.01) == ()
    assert ballot.sets(VOTING_SILENCE) == (ALL,)


def test_a_node_names_former_candidates_until_its_votes_for_them_end():
    """Without them it would vote for two limiters at once."""
    ballot = Ballot(now=-10)
    ballot.use(ALL, -5)
    assert ballot.use(REST, 0)
    assert ballot.sets(VOTE_VALIDITY - 0.01) == (REST, ALL)
    assert ballot.sets(VOTE_VALIDITY) == (REST,)
    assert not ballot.use(REST, 2)


def test_candidates_that_come_back_at_once_are_named_once():
    ballot = Ballot(now=-10)
    ballot.use(ALL, -5)
    ballot.use(REST, 0)
    ballot.use(ALL, 0.1)
    assert ballot.sets(0.2) == (ALL, REST)
