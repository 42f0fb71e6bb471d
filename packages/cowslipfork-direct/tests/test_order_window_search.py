"""Every order of events around one order of promotion and the next claim.

Node A claims a takeover, opens a connection and sends its order; node B claims
the same takeover once A's claim has expired, and its order arrives at once.
The network may hold up what A has sent, and A's process may be stopped, its
machine suspended, or killed, at any moment. After each event one question is
asked: has A's order, with its lower fencing token, arrived after B's?

The times come from the product's code. All clocks are boot time. A machine
that is suspended sends nothing; once it runs again, what is overdue is reset
before anything is sent again.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto

import pytest

from cowslipfork_direct.order_window import (
    CLAIM_EXPIRY,
    RESET_DELAY,
    has_claim_expired,
    may_send,
    order_deadline,
)

#: Seconds between two moments.
TICK = 0.5

#: Moments after which a search ends: time for a renewed claim to expire.
LAST = int(2 * CLAIM_EXPIRY / TICK)


class Order(Enum):
    """How far A is with its order."""

    NONE = auto()
    CONNECTING = auto()
    CONNECTED = auto()
    HELD_UP = auto()
    ENDED = auto()


class Process(Enum):
    """What becomes of A's process."""

    RUNNING = auto()
    #: By a signal; its kernel goes on.
    STOPPED = auto()
    #: With its whole machine.
    SUSPENDED = auto()
    KILLED = auto()


@dataclass(frozen=True)
class Mechanisms:
    """What keeps A's order from arriving late; each can be switched off."""

    check_before_sending: bool = True
    reset_by_process: bool = True
    reset_by_kernel: bool = True
    reset_at_end: bool = True


@dataclass(frozen=True)
class State:
    """A's claim and order, what B knows, and the network between."""

    now: int = 0
    #: Moment of the last write of A's claim.
    confirmed: int = 0
    #: Moment at which B has read that write; None before.
    seen: int | None = None
    order: Order = Order.NONE
    deadline: float | None = None
    process: Process = Process.RUNNING
    cut: bool = False
    b_ordered: bool = False
    #: Whether A's order has arrived after B's.
    late: bool = False


def seconds(moment):
    return moment * TICK


def arrive(state):
    return replace(state, order=Order.ENDED, late=state.b_ordered)


def resets(state, mechanisms):
    """Returns whether somebody resets A's connection at its deadline."""
    if state.process is Process.RUNNING:
        return mechanisms.reset_by_process or mechanisms.reset_by_kernel
    return state.process is Process.STOPPED and mechanisms.reset_by_kernel


def is_overdue(state):
    held_up = state.order is Order.HELD_UP
    return held_up and seconds(state.now) >= state.deadline


def pass_time(state, mechanisms):
    if state.now >= LAST:
        return
    later = replace(state, now=state.now + 1)
    too_late = seconds(later.now) - RESET_DELAY
    reset_by_now = is_overdue(later) and too_late > later.deadline
    if reset_by_now and resets(later, mechanisms):
        later = replace(later, order=Order.ENDED)
    yield later


def reset_in_time(state, mechanisms):
    if is_overdue(state) and resets(state, mechanisms):
        yield replace(state, order=Order.ENDED)


def renew_claim(state, _):
    """A writes its claim again, which fails once B has claimed."""
    runs = state.process is Process.RUNNING
    if runs and not state.cut and not state.b_ordered:
        yield replace(state, confirmed=state.now, seen=None)


def begin_order(state, _):
    if state.process is not Process.RUNNING or state.order is not Order.NONE:
        return
    deadline = order_deadline(seconds(state.confirmed), seconds(state.now))
    if deadline is not None:
        yield replace(state, order=Order.CONNECTING, deadline=deadline)


def open_connection(state, _):
    runs = state.process is Process.RUNNING
    if runs and state.order is Order.CONNECTING and not state.cut:
        yield replace(state, order=Order.CONNECTED)


def send(state, mechanisms):
    runs = state.process is Process.RUNNING
    if not runs or state.order is not Order.CONNECTED:
        return
    checks = mechanisms.check_before_sending
    if checks and not may_send(state.deadline, seconds(state.now)):
        yield replace(state, order=Order.ENDED)
    elif state.cut:
        yield replace(state, order=Order.HELD_UP)
    else:
        yield arrive(state)


def cut_or_heal(state, _):
    changed = replace(state, cut=not state.cut)
    delivers = state.cut and state.order is Order.HELD_UP
    if delivers and state.process is not Process.SUSPENDED:
        yield arrive(changed)
    else:
        yield changed


def stop(state, _):
    if state.process is Process.RUNNING:
        yield replace(state, process=Process.STOPPED)
        yield replace(state, process=Process.SUSPENDED)


def resume(state, mechanisms):
    if state.process not in {Process.STOPPED, Process.SUSPENDED}:
        return
    resumed = replace(state, process=Process.RUNNING)
    if is_overdue(resumed) and resets(resumed, mechanisms):
        yield replace(resumed, order=Order.ENDED)
    elif resumed.order is Order.HELD_UP and not resumed.cut:
        yield arrive(resumed)
    else:
        yield resumed


def kill(state, mechanisms):
    if state.process is Process.KILLED:
        return
    killed = replace(state, process=Process.KILLED)
    if mechanisms.reset_at_end or state.order is not Order.HELD_UP:
        yield replace(killed, order=Order.ENDED)
    else:
        yield killed


def see_claim(state, _):
    if state.seen is None:
        yield replace(state, seen=state.now)


def order_by_other_node(state, _):
    """B's claim succeeds only if it has read the last write of A's."""
    if state.b_ordered or state.seen is None:
        return
    if has_claim_expired(seconds(state.seen), seconds(state.now)):
        yield replace(state, b_ordered=True)


EVENTS = (
    pass_time,
    reset_in_time,
    renew_claim,
    begin_order,
    open_connection,
    send,
    cut_or_heal,
    stop,
    resume,
    kill,
    see_claim,
    order_by_other_node,
)


def search(mechanisms):
    """Returns the events after which A's order is late, and all states."""
    reached = {State(): ()}
    waiting = [State()]
    for state in waiting:
        for event in EVENTS:
            for after in event(state, mechanisms):
                if after in reached:
                    continue
                reached[after] = (*reached[state], event.__name__)
                if after.late:
                    return reached[after], len(reached)
                if after.order is not Order.ENDED:
                    waiting.append(after)
    return None, len(reached)


def test_no_order_arrives_after_that_of_the_next_claim():
    """Guards against a lower fencing token after a higher one (review/11)."""
    events, states = search(Mechanisms())
    assert events is None
    assert states > 1000


@pytest.mark.parametrize(
    'mechanisms',
    [
        Mechanisms(check_before_sending=False),
        Mechanisms(reset_by_process=False, reset_by_kernel=False),
        Mechanisms(reset_by_kernel=False),
        Mechanisms(reset_at_end=False),
    ],
)
def test_each_mechanism_is_needed(mechanisms):
    """Guards against a search that would find nothing."""
    events, _ = search(mechanisms)
    assert events is not None
