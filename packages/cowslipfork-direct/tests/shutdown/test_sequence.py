import asyncio
from contextlib import asynccontextmanager, suppress

import pytest
from virtual_time import now, run_virtual

from cowslipfork_direct.answers import SessionState
from cowslipfork_direct.connected_caller import (
    FIRST_REQUEST_WAIT,
    NEXT_REQUEST_WAIT,
    ConnectedCaller,
)
from cowslipfork_direct.connected_callers import ConnectedCallers
from cowslipfork_direct.shutdown import Shutdown, ShutdownSchedule
from cowslipfork_direct.shutdown.schedule import READINESS_PROPAGATION

GRACE = 6


class FakeSession:
    def __init__(self, *, transaction, rollback_time=0.0, error=None):
        self.state = SessionState.IDLE
        if transaction:
            self.state = SessionState.IN_TRANSACTION
        self.aborted_at = None
        self._rollback_time = rollback_time
        self._error = error

    async def abort(self, cause):
        self.aborted_at = now()
        self.state = SessionState.FAILED_TRANSACTION
        await asyncio.sleep(self._rollback_time)
        if self._error is not None:
            raise self._error

    async def close(self):
        pass


class FakeCaller:
    """A caller with a session, which serves one request if told so."""

    def __init__(self, *, transaction=False, **rollback):
        self.session = FakeSession(transaction=transaction, **rollback)
        self.closed = asyncio.Event()
        self.closed_at = None
        self.answered = False
        self.served_until = None
        self._caller = ConnectedCaller(lambda: 0, self._close)

    def _close(self):
        self.closed_at = now()
        self.closed.set()

    async def connect(self, callers, *, busy_until=0.0):
        """Serves the caller until its connection is closed."""
        with callers.connection_of(self._caller):
            with self._caller.serving():
                self._caller.start_session(self.session)
            if busy_until > now():
                with self._caller.serving():
                    answer = asyncio.sleep(busy_until - now(), result=True)
                    answered = await self._caller.answer_in_time(answer)
                    self.answered = answered is not None
                    self.served_until = now()
            await self.closed.wait()


class World:
    """What a shutdown ends; it begins at the loop time 1."""

    def __init__(self):
        self.callers = ConnectedCallers()
        self.forwarded = 0
        self.stopped_accepting_at = None
        self.tasks = []

    def connect(self, **fields):
        busy_until = fields.pop('busy_until', 0.0)
        caller = FakeCaller(**fields)
        self.tasks.append(
            asyncio.create_task(
                caller.connect(self.callers, busy_until=busy_until)
            )
        )
        return caller

    def stop_accepting(self):
        self.stopped_accepting_at = now()

    async def shut_down(self):
        """Shuts down; returns the seconds that it took."""
        begun = now()
        schedule = ShutdownSchedule.of(begun, GRACE)
        await Shutdown(
            schedule,
            self.callers,
            lambda: self.forwarded,
            self.stop_accepting,
        ).run()
        return now() - begun


@asynccontextmanager
async def world():
    made = World()
    await asyncio.sleep(1 - now())
    try:
        yield made
    finally:
        for task in made.tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task


def shut_down_beside(**caller):
    """Shuts down beside a caller who was connected before.

    Returns the caller and the seconds that it took.
    """

    async def main():
        async with world() as made:
            connected = made.connect(**caller)
            await asyncio.sleep(0)
            return connected, await made.shut_down()

    return run_virtual(main())


def test_an_idle_connection_is_closed_after_readiness_has_propagated():
    caller, seconds = shut_down_beside()
    closed_after = caller.closed_at - 1
    assert closed_after == pytest.approx(READINESS_PROPAGATION, abs=0.1)
    assert seconds < GRACE / 2


def test_a_connection_is_closed_only_after_its_request_has_ended():
    caller, _ = shut_down_beside(busy_until=5.0)
    assert caller.answered
    assert caller.closed_at >= 5
    assert caller.closed_at == pytest.approx(5 + NEXT_REQUEST_WAIT, abs=0.1)


def test_a_transaction_is_aborted_after_half_of_the_grace_period():
    caller, _ = shut_down_beside(transaction=True)
    aborted_at = caller.session.aborted_at
    assert aborted_at - 1 == pytest.approx(GRACE / 2, abs=0.1)
    # A statement that is on its way learns of the rollback.
    assert caller.closed_at >= aborted_at + NEXT_REQUEST_WAIT


def test_a_transaction_is_not_aborted_while_its_statement_runs():
    caller, _ = shut_down_beside(transaction=True, busy_until=4.5)
    assert caller.session.aborted_at is not None
    assert 4.5 <= caller.session.aborted_at < 1 + GRACE


def test_shutdown_ends_before_the_process_is_killed():
    caller, seconds = shut_down_beside(busy_until=100.0)
    assert seconds < GRACE
    assert not caller.answered
    assert caller.closed_at >= caller.served_until


def test_a_rollback_without_an_answer_holds_nobody_up():
    """Guards against an endpoint that is silent and takes others' time."""
    caller, seconds = shut_down_beside(transaction=True, rollback_time=100)
    assert caller.closed_at is not None
    assert seconds < GRACE / 2 + 1


def test_a_rollback_that_fails_is_logged_and_ends_nothing(caplog):
    """Guards against an error in one connection that others pay for."""
    caller, seconds = shut_down_beside(transaction=True, error=OSError('gone'))
    assert caller.closed_at is not None
    assert seconds < GRACE / 2 + 1
    assert 'rollback_failed' in caplog.messages


def test_a_caller_is_answered_who_came_while_other_nodes_were_served():
    """Guards against an end that forgets who came meanwhile."""

    async def main():
        async with world() as made:
            made.forwarded = 1
            shutdown = asyncio.create_task(made.shut_down())
            await asyncio.sleep(3)
            late = made.connect(busy_until=5.0)
            await asyncio.sleep(0.5)
            made.forwarded = 0
            return late.answered, await shutdown, late

    answered_before, seconds, late = run_virtual(main())
    assert not answered_before
    assert late.answered
    assert seconds < GRACE


def test_a_new_caller_is_given_time_for_its_first_request():
    """Guards against a session that begins and is closed at once."""

    async def main():
        async with world() as made:
            made.forwarded = 1
            shutdown = asyncio.create_task(made.shut_down())
            await asyncio.sleep(3)
            caller = made.connect()
            connected_at = now()
            await shutdown
            return caller.closed_at - connected_at

    assert run_virtual(main()) == pytest.approx(FIRST_REQUEST_WAIT, abs=0.1)


def test_the_limit_of_answers_holds_for_later_connections():
    """Guards against a statement that outlasts its node."""

    async def main():
        callers = ConnectedCallers()
        callers.limit_answers(2)
        caller = FakeCaller()
        connected = asyncio.create_task(
            caller.connect(callers, busy_until=99.0)
        )
        await asyncio.sleep(3)
        connected.cancel()
        return caller.served_until

    assert run_virtual(main()) == pytest.approx(2)


def test_a_connection_that_is_accepted_and_not_served_yet_counts():
    """Guards against an end between accepting a caller and serving it."""

    async def main():
        async with world() as made:
            made.callers.count_accepted()
            shutdown = asyncio.create_task(made.shut_down())
            await asyncio.sleep(4)
            assert made.stopped_accepting_at is None
            assert not shutdown.done()
            made.callers.count_served()
            return await shutdown

    assert run_virtual(main()) < GRACE - 1


def test_callers_that_keep_coming_are_accepted_until_shortly_before_the_end():
    async def main():
        async with world() as made:
            shutdown = asyncio.create_task(made.shut_down())
            while made.stopped_accepting_at is None:
                made.callers.count_accepted()
                await asyncio.sleep(0.02)
                made.callers.count_served()
            return await shutdown, made.stopped_accepting_at - 1

    seconds, stopped_accepting_after = run_virtual(main())
    assert GRACE - 1 < stopped_accepting_after < seconds < GRACE
