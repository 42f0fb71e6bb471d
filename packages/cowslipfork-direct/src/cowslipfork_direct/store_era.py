"""The era of the platform's store, as this node has seen it.

In a drill the store may return from an older copy. It then forgets what was
written since the copy, gives revisions and leases out again, and starts a new
era. A call whose answer is of another era than its beginning proves nothing:
a lease that was renewed may be that of another node by then.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from cowslipfork.store import EraEnded, StoreEra

#: Era of a store that never returns from an older copy and tells no era.
ONLY_ERA: Final = StoreEra(0)

#: Called with the era that ended and the one that began.
EraListener = Callable[[StoreEra, StoreEra], None]


class EraTracker:
    """The newest era that an answer of the store has shown."""

    def __init__(self) -> None:
        """Starts without an era; the first answer shows it."""
        self._current: StoreEra | None = None
        self._restored = False
        self._listeners: list[EraListener] = []

    @property
    def current(self) -> StoreEra | None:
        """Newest era seen; None before the first answer."""
        return self._current

    @property
    def restored(self) -> bool:
        """Whether a later era than the first one was seen."""
        return self._restored

    def listen(self, listener: EraListener) -> None:
        """Adds a listener.

        Args:
            listener: called as soon as an answer shows a new era, before the
                answer is used.
        """
        self._listeners.append(listener)

    def check(
        self,
        operation: str,
        begun: StoreEra | None,
        answered: StoreEra | None,
    ) -> None:
        """Notes the era of an answer.

        Args:
            operation: name of the call, for the error.
            begun: newest era that was known when the call began.
            answered: era in the answer; None if a refusal tells none.

        Raises:
            EraEnded: the era changed during the call.
        """
        if answered is None:
            self.ensure(operation, begun)
            return
        before = self._current
        if before is None:
            self._current = answered
        elif answered > before:
            self._current = answered
            self._restored = True
            for listener in self._listeners:
                listener(before, answered)
        self.ensure(operation, begun, answered)

    def ensure(
        self,
        operation: str,
        begun: StoreEra | None,
        answered: StoreEra | None = None,
    ) -> None:
        """Checks that an era lasts.

        Args:
            operation: name of what rests on it, for the error.
            begun: the era; None if no answer had been seen.
            answered: era of the last answer; None for the newest one seen.

        Raises:
            EraEnded: the store is in another era.
        """
        last = self._current if answered is None else answered
        stale = last != self._current
        if stale or (begun is not None and begun != last):
            raise EraEnded(operation, f'era {begun} of the store has ended')
