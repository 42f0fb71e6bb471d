"""Callers' connections, whatever their protocol, and the end of their keys.

When a routing table withdraws keys, connections of these keys that are idle
are closed, and transactions of theirs that are idle are rolled back, also those
of keys that belong to another workspace now. Statements that run are finished
first.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Iterator
from contextlib import contextmanager
from enum import Enum, unique
from typing import Final

from cowslipfork_direct.answers import SessionState
from cowslipfork_direct.session import Session

log = logging.getLogger(__name__)

#: Seconds between two checks whether the statements of withdrawn keys have
#: ended.
POLL_INTERVAL: Final = 0.05


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

    @property
    def idle(self) -> bool:
        """Whether no request is buffered or being served."""
        return not self._serving_request and not self._unread()

    @property
    def in_transaction(self) -> bool:
        """Whether the caller has an open transaction."""
        return self._state is SessionState.IN_TRANSACTION

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
            await self._session.abort(cause)

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


class ConnectedCallers:
    """All callers that are connected to this node."""

    def __init__(self) -> None:
        """Starts without callers."""
        self._connected: set[ConnectedCaller] = set()
        self._keys_changed = asyncio.Event()

    @property
    def connected(self) -> Collection[ConnectedCaller]:
        """Callers that are connected now."""
        return self._connected

    @contextmanager
    def connection_of(self, caller: ConnectedCaller) -> Iterator[None]:
        """Counts a caller as connected during the block."""
        self._connected.add(caller)
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
