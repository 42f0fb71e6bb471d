"""The order of waiting requests: nothing lost, nobody starved."""

import math
from collections import Counter, defaultdict
from itertools import combinations, count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipfork.configuration import RequestClass
from cowslipfork.ids import ClassName, EndpointId, WorkspaceName
from cowslipfork.limits.fair_order import (
    MAX_IDLE_WORKSPACES,
    FairOrder,
    RequestsAhead,
    WaitingRequest,
)

A = EndpointId('a')
B = EndpointId('b')

CLASSES = tuple(
    RequestClass(ClassName(f'weight-{weight}'), weight, 30, deadline=5)
    for weight in (1, 4, 16)
)
LOOKUP = CLASSES[0]
WORKSPACES = (None, *map(WorkspaceName, ('w1', 'w2', 'w3')))


def request(
    request_class=LOOKUP,
    workspace=None,
    endpoints=(A,),
    deadline=math.inf,
    in_transaction=False,
):
    return WaitingRequest(
        request_class,
        workspace,
        frozenset(endpoints),
        deadline,
        in_transaction,
    )


def serve(order, now=0.0):
    """Serves the first request, as a queue with a free slot does."""
    first = next(order.in_order(now), None)
    if first is not None:
        order.remove(first)
        if not first.in_transaction:
            order.advance(first.request_class, first.workspace)
    return first


requests = st.builds(
    request,
    st.sampled_from(CLASSES),
    st.sampled_from(WORKSPACES),
    st.sets(st.sampled_from([A, B])),
    st.floats(0, 10),
    st.booleans(),
)
actions = st.lists(
    st.one_of(
        st.tuples(st.just('add'), requests),
        st.tuples(st.just('remove'), st.integers(0, 100)),
        st.tuples(st.just('serve'), st.none()),
    ),
    max_size=80,
)


def play(order, steps):
    """Applies actions; returns the requests that must still wait."""
    waiting = []
    for action, argument in steps:
        if action == 'add':
            order.add(argument)
            waiting.append(argument)
        elif action == 'remove' and waiting:
            removed = waiting.pop(argument % len(waiting))
            assert order.remove(removed)
            assert not order.remove(removed)
        elif action == 'serve' and waiting:
            waiting.remove(serve(order))
    return waiting


@settings(derandomize=True, max_examples=200)
@given(actions, st.floats(0, 10))
def test_no_request_is_lost_or_offered_twice(steps, now):
    order = FairOrder()
    waiting = play(order, steps)
    offered = list(order.in_order(0))
    assert len(offered) == len(order) == len(waiting)
    assert set(offered) == set(waiting)
    assert set(order.in_order(now)) == {
        each for each in waiting if each.deadline >= now
    }
    outside = [each for each in waiting if not each.in_transaction]
    assert order.waiting_by_workspace == Counter(
        each.workspace for each in outside
    )


@settings(derandomize=True, max_examples=200)
@given(actions)
def test_requests_of_transactions_go_first_and_arrivals_keep_their_order(steps):
    order = FairOrder()
    waiting = play(order, steps)
    offered = list(order.in_order(0))
    in_transaction = [each.in_transaction for each in offered]
    assert in_transaction == sorted(in_transaction, reverse=True)
    lines = defaultdict(list)
    for each in offered:
        key = each.in_transaction or (each.request_class.name, each.workspace)
        lines[key].append(waiting.index(each))
    assert all(line == sorted(line) for line in lines.values())


@settings(derandomize=True, max_examples=200)
@given(actions)
def test_others_wait_exactly_if_another_workspace_waits_for_the_endpoint(steps):
    """A stale count would halve a workspace's share for ever."""
    order = FairOrder()
    waiting = play(order, steps)
    for endpoint in (A, B):
        for workspace in WORKSPACES:
            assert order.others_wait(endpoint, workspace) == any(
                endpoint in each.endpoints
                and each.workspace != workspace
                and not each.in_transaction
                for each in waiting
            )


@settings(derandomize=True, max_examples=100)
@given(actions, st.integers(1, 200))
def test_no_class_or_workspace_starves_whatever_was_served_before(steps, turns):
    """All are backlogged, and each must get its share from the first turn on.

    The bound is that of start-time fair queueing: two of them differ by at most
    one request of each, in units of their weights.
    """
    order = FairOrder()
    for left in play(order, steps):
        order.remove(left)
    for request_class in CLASSES:
        for workspace in WORKSPACES:
            for _ in range(turns):
                order.add(request(request_class, workspace))
    served = Counter()
    for _ in range(turns):
        first = serve(order)
        served[first.request_class] += 1
        served[first.request_class, first.workspace] += 1
    for one, other in combinations(CLASSES, 2):
        difference = served[one] / one.weight - served[other] / other.weight
        assert abs(difference) <= 1 / one.weight + 1 / other.weight + 1e-9
    for request_class in CLASSES:
        of_workspaces = [served[request_class, name] for name in WORKSPACES]
        assert max(of_workspaces) - min(of_workspaces) <= 2


@pytest.mark.parametrize('in_transaction', [True, False])
def test_removing_costs_the_same_however_many_wait(in_transaction):
    """A class of 200 waiting requests was searched for each one that left."""
    looked_up = count()

    class Counted(WaitingRequest):
        def __eq__(self, other):
            next(looked_up)
            return self is other

        def __hash__(self):
            next(looked_up)
            return id(self)

    def cost(waiting):
        order = FairOrder()
        added = [
            Counted(LOOKUP, None, frozenset([A]), in_transaction=in_transaction)
            for _ in range(waiting)
        ]
        for each in added:
            order.add(each)
        before = next(looked_up)
        order.remove(added[waiting // 2])
        return next(looked_up) - before

    assert cost(10) == cost(1000)


def test_a_workspace_that_was_idle_gets_no_turns_for_that_time():
    """Saved-up turns would let it push out those that are served steadily."""
    order = FairOrder()
    for _ in range(50):
        order.advance(LOOKUP, 'steady')
    for workspace in ('steady', 'idle') * 10:
        order.add(request(workspace=workspace))
    served = [serve(order).workspace for _ in range(10)]
    assert 4 <= served.count('idle') <= 6


def test_requests_ahead_are_even_shares_of_the_other_workspaces():
    order = FairOrder()
    for _ in range(50):
        order.add(request(workspace='flooding'))
    order.add(request(workspace='other', endpoints=[B]))
    order.add(request(workspace='own', endpoints=[]))
    assert order.ahead_of(request(workspace='new')) == RequestsAhead(0, 2)
    assert order.ahead_of(request(workspace='own')) == RequestsAhead(1, 3)
    assert order.ahead_of(request(workspace='flooding')) == RequestsAhead(
        50, 51
    )


def test_a_workspace_that_fills_the_queue_keeps_no_other_out():
    """While no primary is known, waiting requests are bounded by this alone."""
    order = FairOrder()
    for _ in range(LOOKUP.queue):
        assert not order.is_full(request(workspace='flooding'))
        order.add(request(workspace='flooding'))
    assert order.is_full(request(workspace='flooding'))
    for _ in range(LOOKUP.queue // 2):
        assert not order.is_full(request(workspace='other'))
        order.add(request(workspace='other'))
    assert order.is_full(request(workspace='other'))
    assert not order.is_full(request(workspace='third'))


def test_idle_workspaces_are_forgotten_but_not_those_ahead_of_their_turn():
    order = FairOrder()
    for number in range(MAX_IDLE_WORKSPACES + 1):
        order.add(request(workspace=f'w{number}'))
        serve(order)
    for _ in range(3):
        order.advance(LOOKUP, 'ahead')
    for number in range(2 * MAX_IDLE_WORKSPACES):
        order.ahead_of(request(workspace=f'x{number}'))
    (lookup,) = order._classes.values()
    assert len(lookup.workspaces) <= MAX_IDLE_WORKSPACES + 1
    assert 'ahead' in lookup.workspaces
