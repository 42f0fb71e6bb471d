"""Marks that a group's sessions wrote, as far as its carrier remembers.

Nodes do not use it yet: a session known by its id only is read fresh, since
two nodes may carry a group during a disagreement (docs/design/reads.md).
"""

from __future__ import annotations

from collections import OrderedDict

from cowslipfork.ids import Mark, SessionId

#: Sessions remembered for each group; about 200 bytes each.
SESSIONS_KEPT = 20_000


class SessionMarks:
    """Least recently used map from a session to its highest written mark.

    It is sound only while every write of the group's sessions passes through
    this carrier: ``clear`` it whenever another node may have carried the
    group, so that the sessions' next reads are served as fresh.
    """

    def __init__(self, capacity: int = SESSIONS_KEPT) -> None:
        """Remembers nothing yet.

        Args:
            capacity: most sessions remembered.
        """
        self._capacity = capacity
        self._marks: OrderedDict[SessionId, Mark] = OrderedDict()

    def __len__(self) -> int:
        """Counts the sessions remembered."""
        return len(self._marks)

    def record_write(self, session: SessionId, mark: Mark) -> None:
        """Remembers an acknowledged write.

        Args:
            session: who wrote.
            mark: the mark acknowledged; a lower one changes nothing.
        """
        known = self._marks.pop(session, mark)
        self._marks[session] = max(known, mark)
        if len(self._marks) > self._capacity:
            self._marks.popitem(last=False)

    def forget(self, session: SessionId) -> None:
        """Makes the next read of a session fresh.

        Called when the outcome of a write is unknown: its mark is too.
        """
        self._marks.pop(session, None)

    def minimum_mark(self, session: SessionId) -> Mark | None:
        """Gives the highest mark that a session wrote.

        Returns:
            The mark; None if it is not known, then the read is fresh.
        """
        mark = self._marks.get(session)
        if mark is not None:
            self._marks.move_to_end(session)
        return mark

    def clear(self) -> None:
        """Forgets all sessions."""
        self._marks.clear()
