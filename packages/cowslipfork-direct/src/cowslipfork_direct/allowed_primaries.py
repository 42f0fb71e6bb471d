"""Which primaries the known takeovers of a group allow."""

from __future__ import annotations

from cowslipfork.ids import Term
from cowslipfork_direct.observed_statuses import Leader


class AllowedPrimaries:
    """Rejects primaries up to a term, except the candidate of a takeover."""

    def __init__(self) -> None:
        """Starts without a takeover: every primary is allowed."""
        self._ceiling = Term(0)
        self._candidate: Leader | None = None

    def reject(self, ceiling: Term, candidate: Leader | None) -> None:
        """Rejects primaries up to a term.

        Args:
            ceiling: greatest term that is rejected; never lowered.
            candidate: candidate that may become primary, and its lowest term.
        """
        self._ceiling = max(self._ceiling, ceiling)
        self._candidate = candidate

    def allow_from(self, lowest: Term) -> None:
        """Allows the primaries of a term and of later ones.

        Args:
            lowest: the term.
        """
        self._ceiling = Term(lowest - 1)
        self._candidate = None

    def rejects(self, term: Term) -> bool:
        """Returns whether a takeover replaces the primary of a term."""
        return self._ceiling >= term

    def allows(self, leader: Leader) -> bool:
        """Returns whether a primary may lead its term."""
        candidate = self._candidate
        if candidate is not None and candidate.endpoint == leader.endpoint:
            return leader.term >= candidate.term
        return leader.term > self._ceiling
