"""Every short order of faults, played against the real decisions.

The model has three servers, the platform that promotes them, the record of the
takeover and what nodes know. Claims, steps and the primaries that nodes accept
come from the product's code. After each event two questions are asked: may
nodes use a primary that another one has replaced, and, with synchronous
replicas, does a promoted log lack a commit that was acknowledged?
"""

from __future__ import annotations

import os
from dataclasses import dataclass, replace

import pytest

from cowslipfork.ids import EndpointId, GroupName, Mark, Position, Term, VmId
from cowslipfork_direct.allowed_primaries import AllowedPrimaries
from cowslipfork_direct.link import EndpointRole, EndpointStatus
from cowslipfork_direct.observed_statuses import Leader
from cowslipfork_direct.takeover.claims import _led_terms
from cowslipfork_direct.takeover.decision import (
    Abandon,
    Demote,
    Promote,
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

#: Events in a row; more by hand: SEARCH=12 pytest -k test_decision_search.
DEPTH = int(os.environ.get('SEARCH', '8'))

#: Servers that may be down at the same time.
MOST_DOWN = 2


@dataclass(frozen=True)
class Server:
    name: str
    primary: bool = False
    term: int = 1
    #: Term and position of the end of its log.
    log: tuple[int, int] = (1, 1)
    up: bool = True


@dataclass(frozen=True)
class State:
    """What there is, and what nodes know of it."""

    servers: tuple[Server, ...]
    #: Server of the last promotion that has taken effect.
    present: str
    record: Takeover | None = None
    #: What ``AllowedPrimaries`` holds at the nodes.
    ceiling: int = 0
    candidate: Leader | None = None
    #: Highest term and its primary that nodes have used; forgotten at a start.
    known: Leader | None = None
    #: Server of an order that may still take effect.
    pending: str | None = None
    #: Whether the takeover that is under way has a claimer.
    claimed: bool = False
    #: Replicas that must hold a commit before it is acknowledged.
    synchronous: int = 0
    #: Whether replicas are promoted that have not followed the last primary.
    accepts_outdated: bool = False
    #: End of the log that was acknowledged.
    acknowledged: tuple[int, int] = (1, 1)
    #: Whether a promoted server lacked a part of that.
    lost: bool = False

    def server(self, name):
        return next(one for one in self.servers if one.name == name)

    def change(self, name, **fields):
        return replace(
            self,
            servers=tuple(
                replace(one, **fields) if one.name == name else one
                for one in self.servers
            ),
        )


START = State(
    (Server('e1', primary=True), Server('e2'), Server('e3')),
    'e1',
    known=Leader(EndpointId('e1'), Term(1)),
)


def accepted(state):
    """Returns the primary that nodes use, as a group chooses it."""
    allowed = AllowedPrimaries()
    allowed.reject(Term(state.ceiling), state.candidate)
    up = [one for one in state.servers if one.up]
    highest = max((one.term for one in up), default=0)
    leaders = [
        Leader(EndpointId(one.name), Term(one.term))
        for one in up
        if one.primary and one.term == highest
    ]
    return next(filter(allowed.allows, leaders), None)


def apply(state, record):
    """Has all nodes apply a state of the takeover."""
    if record.phase is TakeoverPhase.ABANDONED:
        ceiling, candidate = record.ceiling - 1, None
    else:
        ceiling = max(state.ceiling, record.ceiling)
        chosen = record.phase is not TakeoverPhase.CLAIMED
        candidate = (
            Leader(record.candidate, record.term)
            if record.candidate and chosen
            else None
        )
    return replace(state, record=record, ceiling=ceiling, candidate=candidate)


def claim(state):
    """A node claims a takeover; what it ordered before has settled."""
    if state.pending:
        # Whether an order without an answer was carried out is settled by now.
        executed = take_effect(state, state.pending)
        return [*claim(executed), *claim(replace(state, pending=None))]
    observed = max((one.term for one in state.servers if one.up), default=0)
    known = state.known.term if state.known else 0
    last = state.record
    led, ceiling = _led_terms(last, Term(max(observed, known)))
    old = state.known.endpoint if state.known else last and last.old
    leader = accepted(state)
    record = Takeover(
        GroupName('g'),
        Term(led + 1),
        ceiling,
        old,
        TakeoverKind.HANDOVER if leader else TakeoverKind.FAILOVER,
        TakeoverPhase.CLAIMED,
        VmId('n'),
        ClaimId('claim'),
    )
    return [replace(apply(state, record), claimed=True)]


def step(state):
    """The claimer takes its next step, with any result."""
    if not state.claimed or state.record is None:
        return []
    reports = [
        EndpointReport(
            EndpointId(one.name),
            EndpointStatus(
                EndpointRole.PRIMARY if one.primary else EndpointRole.REPLICA,
                Term(one.term),
                Mark(Term(one.log[0]), Position(one.log[1])),
                Term(0),
                0,
                0,
                0,
            ),
            recent=True,
            leaving=False,
        )
        for one in state.servers
        if one.up
    ]
    evidence = Evidence(
        reports,
        state.synchronous,
        frozenset(one.name for one in state.servers),
        state.accepts_outdated,
        state.known,
    )
    decided = next_step(state.record, evidence)
    if isinstance(decided, Promote):
        return order(state, decided.candidate)
    if isinstance(decided, Demote):
        return [state.change(decided.endpoint, primary=False)]
    if isinstance(decided, Abandon):
        record = replace(state.record, phase=TakeoverPhase.ABANDONED)
        return [replace(apply(state, record), claimed=False)]
    return []


def order(state, candidate):
    """An order is seen to work, works unseen, or has no answer."""
    record = replace(
        state.record, phase=TakeoverPhase.ORDERED, candidate=candidate
    )
    ordered = replace(apply(state, record), claimed=False)
    worked = take_effect(ordered, candidate)
    term = Term(worked.server(candidate).term)
    done = replace(record, phase=TakeoverPhase.DONE, term=term)
    return [
        *use(apply(worked, done)),
        worked.change(candidate, up=False),
        replace(ordered, pending=candidate),
    ]


def take_effect(state, name):
    """The platform makes a server the primary of the next term."""
    state = replace(state, pending=None)
    server = state.server(name)
    if server.primary and state.present == name:
        return state
    term = max(one.term for one in state.servers) + 1
    lacking = bool(state.synchronous) and server.log < state.acknowledged
    return replace(
        state.change(name, primary=True, term=term),
        present=name,
        lost=state.lost or lacking,
    )


def use(state):
    """Nodes write at the primary that they accept; some replicas receive it.

    All receive it, or one does. A commit that too few have is not acknowledged.
    """
    leader = accepted(state)
    if leader is None:
        return []
    followers = [
        one.name
        for one in state.servers
        if one.up and not one.primary and one.name != leader.endpoint
    ]
    receivers = {tuple(followers), *((one,) for one in followers)}
    return [
        write(state, leader, followers, received)
        for received in receivers
        if len(received) >= state.synchronous
    ]


def write(state, leader, followers, receivers):
    name = leader.endpoint
    log = (leader.term, state.server(name).log[1] + 1)
    state = replace(state.change(name, log=log), known=leader, acknowledged=log)
    for follower in followers:
        state = state.change(follower, term=leader.term)
    for receiver in receivers:
        state = state.change(receiver, log=log)
    return state


def crash_or_return(state):
    down = sum(not one.up for one in state.servers)
    return [
        state.change(one.name, up=not one.up)
        for one in state.servers
        if not one.up or down < MOST_DOWN
    ]


def give_way(state):
    """An old primary that reaches the present one becomes its replica."""
    present = state.server(state.present)
    return [
        state.change(
            one.name, primary=False, term=present.term, log=present.log
        )
        for one in state.servers
        if present.up and one.up and one.term < present.term
    ]


def demote(state):
    """The claimer of a failover demotes the old primary as it returns."""
    if not state.claimed or state.record.kind is not TakeoverKind.FAILOVER:
        return []
    return [
        state.change(one.name, primary=False)
        for one in state.servers
        if one.up and one.primary and one.name == state.record.old
    ]


def restart_nodes(state):
    return [replace(state, known=None, claimed=False)]


EVENTS = (
    claim,
    step,
    use,
    crash_or_return,
    give_way,
    demote,
    restart_nodes,
)


def successors(state):
    for event in EVENTS:
        for after in event(state):
            yield event.__name__, after


def find_violation(state):
    """Returns what is broken, if anything is."""
    if state.lost:
        return f'{state.present} lacks an acknowledged commit'
    leader = accepted(state)
    if leader is not None and leader.endpoint != state.present:
        return f'{leader} is used, and {state.present} has replaced it'
    return None


def search(depth, start):
    """Returns the shortest events that break something, and the states."""
    seen = {start}
    level = [(start, ())]
    for _ in range(depth):
        reached = []
        for state, events in level:
            for event, after in successors(state):
                if after in seen:
                    continue
                seen.add(after)
                path = (*events, event)
                violation = find_violation(after)
                if violation:
                    return path, violation, after
                reached.append((after, path))
        level = reached
    return (), None, len(seen)


@pytest.mark.parametrize('synchronous', [0, 1])
@pytest.mark.parametrize('accepts_outdated', [False, True])
def test_no_order_of_faults_makes_two_primaries_or_loses_a_commit(
    synchronous, accepts_outdated
):
    """Guards against takeovers that rest on what answers at the moment."""
    start = replace(
        START, synchronous=synchronous, accepts_outdated=accepts_outdated
    )
    events, violation, states = search(DEPTH, start)
    assert violation is None, (events, states)
    assert states > 1000
