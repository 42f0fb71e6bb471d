"""A caller's transaction between its BEGIN and its end."""

from __future__ import annotations

import uuid
from enum import Enum, unique

from cowslipfork.ids import TransactionId
from cowslipfork.outcomes import Done, Outcome, Refused
from cowslipfork.requests import Answer

#: The server has rolled the whole transaction back (deadlock).
_ROLLED_BACK = frozenset((1213,))


@unique
class TransactionState(Enum):
    """Where a caller stands."""

    NONE = 'none'
    OPEN = 'open'
    FAILED = 'failed'


class CallerTransaction:
    """State of the transaction of one caller."""

    __slots__ = ('_identity', '_state')

    def __init__(self) -> None:
        """Starts outside a transaction."""
        self._state = TransactionState.NONE
        self._identity: TransactionId | None = None

    @property
    def state(self) -> TransactionState:
        """Where the caller stands."""
        return self._state

    @property
    def identity(self) -> TransactionId | None:
        """Id of the transaction; None outside."""
        return self._identity

    def begin(self) -> None:
        """Enters a new transaction."""
        self._identity = TransactionId(uuid.uuid4().hex)
        self._state = TransactionState.OPEN

    def end(self) -> None:
        """Leaves the transaction."""
        self._identity = None
        self._state = TransactionState.NONE

    def fail(self) -> None:
        """Allows nothing but the end of an open transaction from here on."""
        if self._state is TransactionState.OPEN:
            self._state = TransactionState.FAILED

    def note(self, outcome: Outcome[Answer]) -> None:
        """Takes in how a statement inside the transaction ended.

        A statement that the server rejected leaves a transaction open. One
        that was not run, or whose end is unknown, leaves a gap that the
        caller can't see in its result, so the transaction fails.

        Args:
            outcome: of the statement.
        """
        match outcome:
            case Done():
                return
            case Refused(errno=errno) if errno not in _ROLLED_BACK:
                return
        self.fail()
