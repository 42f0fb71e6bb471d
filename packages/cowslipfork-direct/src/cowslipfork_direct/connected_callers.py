"""Callers' connections, whatever their protocol, and the end of their keys.

When a routing table withdraws keys, connections of these keys that are idle
are closed, and transactions of theirs that are idle are rolled back, also those
of keys that belong to another workspace now. Statements that run are finished
first.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Iterator
from contextlib import contextmanager
from enum import Enum, unique
from typing import Final, TypeVar

from cowslipfork_direct.answers import SessionState
from cowslipfork_direct.session import Session

log = logging.getLogger(__name__)

#: Seconds between two checks whether the statements of withdrawn keys have
#: ended.
POLL_INTERVAL: Final = 0.05

#: Seconds for which the first request of a new connection is expected.
FIRST_REQUEST_WAIT: Final = 0.5

#: Seconds for which a further request is expected after an answer.
NEXT_REQUEST_WAIT: Final = 0.1

_T = TypeVar('_T')


@unique
class CallerActivity(Enum):
    """What a connection is used for at the moment."""

    #: Its session has not begun.
    STARTING = 'starting'
    #: A request is buffered or served.
    REQUEST = 'request'
    #: It is idle inside a transaction.
    TRANSACTION = 'transaction'
    IDLE = 'idle'


@unique
class Withdrawal(Enum):
    """What the withdrawal of its key did to an idle connection."""

    CLOSED = 'closed'
    ROLLED_BACK = 'rolled_back'
    #: Its transaction had failed before, so that the next statement is
    #: refused; or its key is sufficient again.
    LEFT_OPEN = 'left_open'


class ConnectedCaller:
    """One caller's connection, apart from its protocol."""

    def __init__(
        self, unread: Callable[[], int], close: Callable[[], None]
    ) -> None:
        """Starts without a session.

        Args:
            unread: returns how many bytes were received and not yet read.
            close: closes the connection.
        """
        self._unread = unread
        self._close = close
        self._session: Session | None = None
        self._serving_request = False
        self._request_expected_until = _loop_time() + FIRST_REQUEST_WAIT
        self._answer_by = math.inf
        #: Ends what is served if it takes too long; None between requests.
        self._answer_limit: asyncio.Timeout | None = None

    @property
    def idle(self) -> bool:
        """Whether no request is buffered or being served."""
        return not self._serving_request and not self._unread()

    @property
    def in_transaction(self) -> bool:
        """Whether the caller has an open transaction."""
        return self._state is SessionState.IN_TRANSACTION

    @property
    def activity(self) -> CallerActivity:
        """What the connection is used for at the moment."""
        if not self.idle:
            return CallerActivity.REQUEST
        if self._session is None:
            return CallerActivity.STARTING
        if self.in_transaction:
            return CallerActivity.TRANSACTION
        return CallerActivity.IDLE

    @property
    def quiet(self) -> bool:
        """Whether no request is served, or likely to be on its way.

        A caller sends its first request as soon as its session has begun.
        """
        idle = self.idle and not self.in_transaction
        return idle and _loop_time() >= self._request_expected_until

    @property
    def key_loss(self) -> str | None:
        """Why the key allows no more what is open; None if it does."""
        return None if self._session is None else self._session.key_loss

    @property
    def _state(self) -> SessionState:
        session = self._session
        return SessionState.IDLE if session is None else session.state

    async def abort_transaction(self, cause: str) -> None:
        """Rolls back an open transaction; the next statement reports it."""
        if self._session is not None:
            self._expect_request(NEXT_REQUEST_WAIT)
            await self._session.abort(cause)

    def limit_answers(self, answer_by: float) -> None:
        """Sets the loop time by which each request must be answered."""
        self._answer_by = answer_by
        if self._answer_limit is not None:
            self._answer_limit.reschedule(answer_by)

    async def answer_in_time(self, answer: Awaitable[_T]) -> _T | None:
        """Waits for an answer; None if the limit is reached before.

        Args:
            answer: what is waited for; it is cancelled at the limit.
        """
        limit = asyncio.timeout_at(
            None if math.isinf(self._answer_by) else self._answer_by
        )
        try:
            async with limit:
                self._answer_limit = limit
                return await answer
        except TimeoutError:
            if not limit.expired():
                raise
            return None
        finally:
            self._answer_limit = None

    def close(self) -> None:
        """Closes the connection."""
        self._close()

    async def end_idle(self) -> Withdrawal:
        """Ends what an idle connection does without a right to it."""
        key_loss = self.key_loss
        if key_loss is None:
            return Withdrawal.LEFT_OPEN
        if self.in_transaction:
            await self.abort_transaction(key_loss)
            return Withdrawal.ROLLED_BACK
        if self._state is SessionState.FAILED_TRANSACTION:
            return Withdrawal.LEFT_OPEN
        self._close()
        return Withdrawal.CLOSED

    def start_session(self, session: Session) -> None:
        """Notes the session that the caller has opened."""
        self._session = session
        self._expect_request(FIRST_REQUEST_WAIT)

    async def end_session(self) -> None:
        """Ends the session, if one was opened."""
        if self._session is not None:
            await self._session.close()

    @contextmanager
    def serving(self) -> Iterator[None]:
        """Counts as not idle during the block, which serves a request."""
        self._serving_request = True
        try:
            yield
        finally:
            self._serving_request = False
            self._expect_request(NEXT_REQUEST_WAIT)

    async def next_request(
        self, session: Session, read: Callable[[], Awaitable[str]]
    ) -> str:
        """Reads a request; aborts a transaction that is idle for too long.

        Args:
            session: the caller's session.
            read: reads one request.
        """
        if session.state is SessionState.IN_TRANSACTION:
            try:
                async with asyncio.timeout(session.transaction_idle):
                    return await read()
            except TimeoutError:
                await session.abort('the transaction was idle for too long')
        return await read()

    def _expect_request(self, seconds: float) -> None:
        self._request_expected_until = _loop_time() + seconds


class ConnectedCallers:
    """All callers that are connected to this node."""

    def __init__(self) -> None:
        """Starts without callers."""
        self._connected: set[ConnectedCaller] = set()
        self._keys_changed = asyncio.Event()
        #: Connections that were accepted and are not served yet.
        self._accepted = 0
        self._last_accepted_at = -math.inf
        self._answer_by = math.inf

    @property
    def connected(self) -> Collection[ConnectedCaller]:
        """Callers that are connected now."""
        return self._connected

    @property
    def last_accepted_at(self) -> float:
        """Loop time at which the last connection was accepted."""
        return self._last_accepted_at

    def count_by_activity(self) -> Counter[CallerActivity]:
        """Counts connections, with those that are accepted and not served."""
        counts = Counter(caller.activity for caller in self._connected)
        counts[CallerActivity.STARTING] += self._accepted
        return counts

    def limit_answers(self, answer_by: float) -> None:
        """Has all requests, also of new connections, answered in time.

        Args:
            answer_by: loop time by which each request must be answered.
        """
        self._answer_by = answer_by
        for caller in self._connected:
            caller.limit_answers(answer_by)

    def count_accepted(self) -> None:
        """Counts a connection that ``accepted_connection_of`` will serve."""
        self._accepted += 1
        self._last_accepted_at = _loop_time()

    @contextmanager
    def accepted_connection_of(self, caller: ConnectedCaller) -> Iterator[None]:
        """Serves a connection that ``count_accepted`` has counted."""
        self._accepted -= 1
        with self.connection_of(caller):
            yield

    @contextmanager
    def connection_of(self, caller: ConnectedCaller) -> Iterator[None]:
        """Counts a caller as connected during the block."""
        self._connected.add(caller)
        caller.limit_answers(self._answer_by)
        try:
            yield
        finally:
            self._connected.discard(caller)

    def check_keys(self) -> None:
        """Has the keys of all connected callers checked soon."""
        self._keys_changed.set()

    async def run(self) -> None:
        """Ends connections and transactions of withdrawn keys."""
        while True:
            await self._keys_changed.wait()
            self._keys_changed.clear()
            await self._end_withdrawn()

    async def _end_withdrawn(self) -> None:
        unchecked = tuple(self._connected)
        while unchecked and not self._keys_changed.is_set():
            withdrawn = [caller for caller in unchecked if caller.key_loss]
            busy = [caller for caller in withdrawn if not caller.idle]
            await _end_idle([caller for caller in withdrawn if caller.idle])
            unchecked = tuple(self._connected.intersection(busy))
            if unchecked:
                await asyncio.sleep(POLL_INTERVAL)


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


async def _end_idle(callers: Collection[ConnectedCaller]) -> None:
    """Ends what idle callers of withdrawn keys have open."""
    if not callers:
        return
    results = await asyncio.gather(
        *(caller.end_idle() for caller in callers), return_exceptions=True
    )
    failed = [one for one in results if isinstance(one, BaseException)]
    for error in failed:
        log.error('withdrawal_failed', extra={'cause': repr(error)})
    ended = Counter(one.value for one in results if isinstance(one, Withdrawal))
    log.info('withdrawn_keys_ended', extra=ended)
