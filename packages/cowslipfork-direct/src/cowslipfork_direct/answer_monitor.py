"""Whether an endpoint answers at all, on any of its connections.

A process that hangs still accepts connections, since its operating system does
that. An endpoint that is only slow answers something meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

#: Seconds without any answer to requests after which a new connection must be
#: answered as well for the endpoint to count as reachable.
SILENCE_LIMIT: Final = 0.4

#: Seconds for which an answer shows that the endpoint does not hang.
ANSWER_VALIDITY: Final = 1.0


class AnswerMonitor:
    """Times of an endpoint's answers and of the first request without one."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts without requests.

        Args:
            now: clock in seconds.
        """
        self._now = now
        self._unanswered_since: float | None = None
        self._answered_at = -ANSWER_VALIDITY
        self._suspected = False

    @property
    def silent(self) -> bool:
        """Whether requests have had no answer for ``SILENCE_LIMIT``."""
        if self._suspected:
            return True
        since = self._unanswered_since
        return since is not None and self._now() >= since + SILENCE_LIMIT

    def record_request(self) -> None:
        """Notes that a request was sent."""
        if self._unanswered_since is None:
            self._unanswered_since = self._now()

    def record_answer(self) -> None:
        """Notes that the endpoint answered something."""
        self._unanswered_since = None
        self._answered_at = self._now()
        self._suspected = False

    def suspect(self) -> None:
        """Notes that another node gets no answers.

        The endpoint counts as silent until the next answer, unless it has
        answered this node a moment ago.
        """
        if self._now() >= self._answered_at + ANSWER_VALIDITY:
            self._suspected = True
