"""One caller's connection, whatever its protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from enum import Enum, unique
from typing import Final, TypeVar

from cowslipfork_direct.answers import SessionState
from cowslipfork_direct.session import Session

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
        #: Loop time by which requests must be answered; None for no limit.
        self._answer_by: float | None = None
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
        limit = asyncio.timeout_at(self._answer_by)
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
        """Expects a request for some seconds at least."""
        self._request_expected_until = max(
            self._request_expected_until, _loop_time() + seconds
        )


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
