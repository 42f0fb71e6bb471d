"""Every order of events during a shutdown, played against the real decision.

The model has a few callers, the work of another node and the steps of time at
which something changes. What the node does comes from the product's code. When
the process ends two questions are asked: is a request without an answer, and
could somebody still connect?
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, replace

import pytest

from cowslipfork_direct.connected_caller import CallerActivity
from cowslipfork_direct.leaving import MIN_TIME_LEFT
from cowslipfork_direct.shutdown import ShutdownSchedule, Workload, next_step

#: Callers that are connected at the same moment.
MOST_CALLERS = 2

GRACE = 6.0

SCHEDULE = ShutdownSchedule.of(0, GRACE)

#: Moments before and after each change of what the node does.
TIMES = tuple(
    sorted(
        {
            0.0,
            1.9,
            4.0,
            SCHEDULE.answer_by - MIN_TIME_LEFT,
            SCHEDULE.transactions_until - MIN_TIME_LEFT,
            *(
                at + after
                for at in (
                    SCHEDULE.unrouted_from,
                    SCHEDULE.close_idle_from,
                    SCHEDULE.transactions_until,
                    SCHEDULE.answer_by,
                    SCHEDULE.abandon_at,
                    SCHEDULE.end,
                )
                for after in (0, 0.02)
            ),
        }
    )
)


@dataclass(frozen=True, order=True)
class Caller:
    activity: str = CallerActivity.STARTING.value
    #: Whether enough time has passed since it was last served.
    quiet: bool = False


@dataclass(frozen=True)
class State:
    step: int = 0
    accepting: bool = True
    ended: bool = False
    callers: tuple[Caller, ...] = ()
    forwarded: int = 0
    last_accepted_at: float = -1.0
    #: What was cut off at the end, if anything was.
    cut: str = ''

    @property
    def now(self):
        return TIMES[self.step]

    @property
    def workload(self):
        counts = [
            sum(caller.activity == activity.value for caller in self.callers)
            for activity in CallerActivity
        ]
        return Workload(
            self.accepting, *counts, self.forwarded, self.last_accepted_at
        )

    def with_callers(self, callers):
        return replace(self, callers=tuple(sorted(callers)))

    def without(self, caller):
        callers = list(self.callers)
        callers.remove(caller)
        return self.with_callers(callers)

    def change(self, caller, activity):
        return self.without(caller).with_callers(
            (*self.without(caller).callers, Caller(activity.value))
        )

    def change_all(self, before, activity):
        return self.with_callers(
            Caller(activity.value) if one.activity == before.value else one
            for one in self.callers
        )

    def having(self, *activities):
        wanted = {activity.value for activity in activities}
        return {one for one in self.callers if one.activity in wanted}


def connect(state):
    if state.accepting and len(state.callers) < MOST_CALLERS:
        connected = state.with_callers((*state.callers, Caller()))
        yield replace(connected, last_accepted_at=state.now)


def start(state):
    """A session begins; one that comes too late is refused and closed."""
    for caller in state.having(CallerActivity.STARTING):
        late = state.now + MIN_TIME_LEFT >= SCHEDULE.answer_by
        yield (
            state.without(caller)
            if late
            else state.change(caller, CallerActivity.IDLE)
        )


def send_request(state):
    """A request is read; one that comes too late is refused at once."""
    if state.now + MIN_TIME_LEFT < SCHEDULE.answer_by:
        open_sessions = (CallerActivity.IDLE, CallerActivity.TRANSACTION)
        for caller in state.having(*open_sessions):
            yield state.change(caller, CallerActivity.REQUEST)


def answer(state):
    for caller in state.having(CallerActivity.REQUEST):
        yield state.change(caller, CallerActivity.IDLE)


def begin(state):
    """A transaction begins; one that comes too late is refused at once."""
    if state.now + MIN_TIME_LEFT < SCHEDULE.transactions_until:
        for caller in state.having(CallerActivity.IDLE):
            yield state.change(caller, CallerActivity.TRANSACTION)


def disconnect(state):
    for caller in state.having(CallerActivity.IDLE):
        yield state.without(caller)


def end_forwarded(state):
    if state.forwarded:
        yield replace(state, forwarded=0)


def pass_time(state):
    """Time passes until something else holds, and the node looks around."""
    if state.step + 1 == len(TIMES):
        return
    later = replace(
        state,
        step=state.step + 1,
        callers=tuple(replace(one, quiet=True) for one in state.callers),
    )
    if later.now >= SCHEDULE.abandon_at:
        later = later.change_all(CallerActivity.REQUEST, CallerActivity.IDLE)
    yield look_around(later)


def look_around(state):
    """The node takes the step that its work and the time call for."""
    step = next_step(SCHEDULE, state.workload, state.now)
    after = state
    if step.roll_back:
        after = after.change_all(
            CallerActivity.TRANSACTION, CallerActivity.IDLE
        )
    if step.close_idle:
        quiet = Caller(CallerActivity.IDLE.value, quiet=True)
        after = after.with_callers(one for one in after.callers if one != quiet)
    if step.end:
        unanswered = state.having(CallerActivity.REQUEST)
        cut = 'request' if unanswered else ''
        return replace(
            after, ended=True, cut=cut or 'callers' * state.accepting
        )
    return replace(after, accepting=state.accepting and not step.stop_accepting)


EVENTS = (
    connect,
    start,
    send_request,
    answer,
    begin,
    disconnect,
    end_forwarded,
    pass_time,
    lambda state: [look_around(state)],
)


def reachable(first):
    """Yields each state that some order of events leads to."""
    seen = {first}
    waiting = [first]
    while waiting:
        state = waiting.pop()
        yield state
        if state.ended:
            continue
        following = itertools.chain.from_iterable(
            event(state) for event in EVENTS
        )
        fresh = set(following) - seen
        seen |= fresh
        waiting.extend(fresh)


@pytest.mark.parametrize('forwarded', [0, 1])
def test_no_order_of_events_cuts_off_a_request(forwarded):
    """Guards against an end that forgets work which came meanwhile."""
    states = list(reachable(State(forwarded=forwarded)))
    assert len(states) > 1000
    assert [state for state in states if state.cut] == []


@pytest.mark.parametrize('forwarded', [0, 1])
def test_every_order_of_events_ends_in_time(forwarded):
    """Guards against a shutdown that is still under way at the SIGKILL."""
    late = [
        state
        for state in reachable(State(forwarded=forwarded))
        if state.now > SCHEDULE.end and not state.ended
    ]
    assert late == []


@pytest.mark.parametrize(
    ('workload', 'now'),
    [
        (Workload(starting=1), 2.3),
        (Workload(requests=1), 2.3),
        (Workload(transactions=1), 2.3),
        (Workload(idle=1), 2.3),
        (Workload(forwarded=1), 2.3),
        (Workload(last_accepted_at=2.1), 2.3),
        (Workload(last_accepted_at=4.4), 5.3),
        (Workload(), 2.1),
    ],
)
def test_callers_are_accepted_while_anything_goes_on(workload, now):
    step = next_step(SCHEDULE, workload, now)
    assert not step.stop_accepting
    assert not step.end


@pytest.mark.parametrize(
    ('workload', 'now'),
    [
        (Workload(), 2.3),
        # These came before the platform had to notice that it is not ready.
        (Workload(last_accepted_at=1.9), 2.3),
        (Workload(last_accepted_at=2.1), 3.2),
        (Workload(requests=9, last_accepted_at=5.3), SCHEDULE.answer_by),
    ],
)
def test_no_callers_are_accepted_once_they_stay_away_or_come_too_late(
    workload, now
):
    step = next_step(SCHEDULE, workload, now)
    assert step.stop_accepting
    assert not step.end


@pytest.mark.parametrize('grace', [0.0, 0.4, 1.0, 3.0])
def test_a_short_grace_period_still_ends_in_time(grace):
    schedule = ShutdownSchedule.of(10, grace)
    busy = Workload(requests=1, forwarded=1)
    assert schedule.end <= 10 + grace
    assert next_step(schedule, busy, schedule.end).end
