"""The next step of a takeover, from its record and what endpoints report."""

import pytest

from cowslipfork.ids import EndpointId, GroupName, Mark, Position, Term, VmId
from cowslipfork_direct.link import EndpointRole, EndpointStatus
from cowslipfork_direct.observed_statuses import Leader
from cowslipfork_direct.takeover.decision import (
    Abandon,
    Demote,
    Promote,
    Wait,
    may_abandon_unseen,
    next_step,
)
from cowslipfork_direct.takeover.endpoint_reports import (
    EndpointReport,
    Evidence,
)
from cowslipfork_direct.takeover.records import (
    ClaimId,
    Takeover,
    TakeoverKind,
    TakeoverPhase,
)


def takeover(*, led=1, ceiling=1, phase=TakeoverPhase.CLAIMED, handover=False):
    """A takeover of e1; ``ceiling`` above ``led`` means an unseen order."""
    kind = TakeoverKind.HANDOVER if handover else TakeoverKind.FAILOVER
    return Takeover(
        GroupName('g'),
        Term(led + 1),
        Term(ceiling),
        EndpointId('e1'),
        kind,
        phase,
        VmId('n1'),
        ClaimId('claim'),
    )


def primary(name, term, *, recent=True):
    return report(name, EndpointRole.PRIMARY, term, recent=recent)


def replica(name, position, *, log_term=1, leaving=False, recent=True):
    return report(
        name,
        EndpointRole.REPLICA,
        1,
        log_term,
        position,
        leaving=leaving,
        recent=recent,
    )


def report(
    name, role, term, log_term=1, position=9, *, recent=True, leaving=False
):
    received = Mark(Term(log_term), Position(position))
    status = EndpointStatus(role, Term(term), received, Term(0), 0, 0, 0)
    return EndpointReport(EndpointId(name), status, recent, leaving)


@pytest.mark.parametrize(
    ('claimed', 'reports', 'step'),
    [
        (takeover(), [], Wait()),
        (takeover(), [replica('e2', 5), replica('e3', 6)], Promote('e3')),
        (
            takeover(),
            [replica('e2', 9), replica('e3', 1, log_term=2)],
            Promote('e3'),
        ),
        (
            takeover(),
            [replica('e2', 5, leaving=True), replica('e3', 5)],
            Promote('e3'),
        ),
        (
            takeover(handover=True),
            [replica('e1', 9), replica('e2', 9)],
            Promote('e2'),
        ),
        (takeover(handover=True), [replica('e1', 9)], Promote('e1')),
        (takeover(), [primary('e1', 1), replica('e2', 5)], Promote('e2')),
        # No order was sent: the old primary goes on.
        (takeover(), [primary('e1', 1)], Abandon('e1')),
        (takeover(), [primary('e1', 1, recent=False)], Wait()),
        # An order of this takeover may take effect.
        (
            takeover(phase=TakeoverPhase.ORDERED),
            [primary('e1', 1)],
            Demote('e1'),
        ),
        # An earlier order may have made a primary of term 2.
        (takeover(ceiling=2), [primary('e1', 1)], Demote('e1')),
        (takeover(ceiling=2), [primary('e2', 2)], Abandon('e2')),
        (
            takeover(ceiling=2),
            [primary('e1', 1), primary('e2', 2)],
            Abandon('e2'),
        ),
        (takeover(ceiling=3), [primary('e2', 2)], Demote('e2')),
        # The primary that an unseen order has made goes on.
        (
            takeover(ceiling=2),
            [primary('e2', 2), replica('e3', 9)],
            Abandon('e2'),
        ),
        # A primary of term 2 was seen: the log of term 1 is outdated.
        (takeover(led=2, ceiling=2), [primary('e1', 1)], Wait()),
    ],
)
def test_the_next_step_follows_from_the_terms_of_the_record(
    claimed, reports, step
):
    """Guards against decisions by what answers at this moment only."""
    assert next_step(claimed, Evidence(reports)) == step


def test_a_refused_candidate_is_left_out():
    reports = [replica('e2', 5), replica('e3', 6)]
    evidence = Evidence(reports)
    assert next_step(takeover(), evidence, {'e3'}) == Promote('e2')
    assert next_step(takeover(), evidence, {'e2', 'e3'}) == Wait()


@pytest.mark.parametrize(
    ('claimed', 'allowed'),
    [
        (takeover(), True),
        (takeover(ceiling=2), False),
        (takeover(phase=TakeoverPhase.ORDERED), False),
    ],
)
def test_a_takeover_is_abandoned_unseen_only_if_nothing_was_ordered(
    claimed, allowed
):
    """Guards against an old primary that returns after a fencing timeout."""
    assert may_abandon_unseen(claimed) is allowed


@pytest.mark.parametrize(
    ('claimed', 'reports', 'holders', 'step'),
    [
        # One of the replicas must be the synchronous one: all have to answer.
        (takeover(), [replica('e2', 5)], 'e2', Promote('e2')),
        (takeover(), [replica('e2', 5)], 'e2 e3', Wait()),
        (takeover(), [replica('e2', 5)], 'e2 left', Wait()),
        (
            takeover(),
            [replica('e2', 5), replica('e3', 4)],
            'e2 e3',
            Promote('e2'),
        ),
        # The old primary's own log needs no answer.
        (takeover(), [replica('e2', 5)], 'e1 e2', Promote('e2')),
        # A primary that is back ends the wait, if none can have followed it.
        (
            takeover(),
            [primary('e1', 1), replica('e2', 5)],
            'e2 e3',
            Abandon('e1'),
        ),
        (
            takeover(ceiling=2),
            [primary('e1', 1), replica('e2', 5)],
            'e2 e3',
            Demote('e1'),
        ),
        # The old primary may have followed one that nobody saw.
        (takeover(ceiling=2), [replica('e2', 5)], 'e1 e2', Wait()),
        (
            takeover(ceiling=2, handover=True),
            [replica('e1', 6), replica('e2', 5)],
            'e1 e2',
            Wait(),
        ),
        # In a handover the old primary shows which replica has everything.
        (
            takeover(handover=True),
            [primary('e1', 1), replica('e2', 9)],
            'e2 left',
            Promote('e2'),
        ),
        (
            takeover(handover=True),
            [primary('e1', 1), replica('e2', 8)],
            'e2 left',
            Abandon('e1'),
        ),
        (
            takeover(handover=True, ceiling=2),
            [primary('e1', 1), replica('e2', 9)],
            'e2 left',
            Demote('e1'),
        ),
    ],
)
def test_a_promoted_replica_has_every_acknowledged_commit(
    claimed, reports, holders, step
):
    """Guards against commits that only a replica that is missing holds."""
    evidence = Evidence(reports, 1, frozenset(holders.split()))
    assert next_step(claimed, evidence) == step


def test_a_refused_replica_with_more_commits_is_waited_for():
    """Guards against commits that only a replica holds which is refused."""
    reports = [replica('e2', 6), replica('e3', 5)]
    evidence = Evidence(reports, 1, frozenset(('e2', 'e3')))
    assert next_step(takeover(), evidence, {'e2'}) == Wait()


@pytest.mark.parametrize(
    ('claimed', 'leader_term', 'reports', 'step'),
    [
        (takeover(), 1, [replica('e1', 9)], Promote('e1')),
        (takeover(), 1, [replica('e1', 9), replica('e2', 9)], Promote('e1')),
        (takeover(), 1, [replica('e1', 9), replica('e2', 8)], Promote('e1')),
        (takeover(handover=True), 1, [replica('e1', 9)], Promote('e1')),
        # It may still have been the primary when it reported this.
        (takeover(), 1, [replica('e1', 9, recent=False)], Wait()),
        # Another one may have followed it.
        (takeover(ceiling=2), 1, [replica('e1', 9)], Wait()),
        (takeover(led=2, ceiling=2), 1, [replica('e1', 9)], Wait()),
        (
            takeover(phase=TakeoverPhase.ORDERED),
            1,
            [replica('e1', 9)],
            Wait(),
        ),
        # This node has not seen who led the last term.
        (takeover(), None, [replica('e1', 9)], Wait()),
    ],
)
def test_the_last_primary_has_every_commit_once_it_is_demoted(
    claimed, leader_term, reports, step
):
    """Guards against a wait for replicas that can't have more commits."""
    leader = leader_term and Leader(EndpointId('e1'), Term(leader_term))
    evidence = Evidence(
        reports,
        1,
        frozenset(('e1', 'e2', 'e3')),
        accepts_outdated=True,
        last_leader=leader,
    )
    assert next_step(claimed, evidence) == step


def test_a_replica_with_less_than_the_demoted_primary_waits_for_it():
    """Guards against a promotion beside a primary that can't be promoted."""
    evidence = Evidence(
        [replica('e1', 9), replica('e2', 8)],
        1,
        frozenset(('e1', 'e2', 'e3')),
        last_leader=Leader(EndpointId('e1'), Term(1)),
    )
    assert next_step(takeover(), evidence, {'e1'}) == Wait()


@pytest.mark.parametrize(
    ('reports', 'accepts_outdated', 'step'),
    [
        ([replica('e1', 9)], False, Wait()),
        ([replica('e1', 9)], True, Promote('e1')),
        ([primary('e1', 1)], False, Wait()),
        ([primary('e1', 1)], True, Demote('e1')),
        ([primary('e3', 2), replica('e1', 9)], False, Abandon('e3')),
    ],
)
def test_an_outdated_endpoint_is_promoted_only_after_a_while(
    reports, accepts_outdated, step
):
    """Guards against a log that lacks all that a later primary has done."""
    evidence = Evidence(reports, accepts_outdated=accepts_outdated)
    assert next_step(takeover(led=2, ceiling=2), evidence) == step
