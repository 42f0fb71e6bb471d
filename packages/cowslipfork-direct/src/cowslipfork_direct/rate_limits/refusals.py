"""Log lines and counts of operations that a rate limit refused."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from cowslipfork.ids import WorkspaceName
from cowslipfork.limits.admission import milliseconds
from cowslipfork.outcomes import NotRun, Reason
from cowslipfork_direct.rate_limits.limits import LimitInForce

log = logging.getLogger(__name__)

#: Workspaces whose refused operations are counted individually.
COUNTED_WORKSPACES: Final = 20

#: Label of the sum over all other workspaces; no name contains a space.
OTHER_WORKSPACES: Final = 'all others'


@unique
class RefusedBy(Enum):
    """Which bucket had no token."""

    LIMITER = 'limiter'
    FALLBACK = 'fallback'


@dataclass(frozen=True, slots=True)
class Refusal:
    """Operations that were refused.

    Attributes:
        workspace: their workspace.
        limit: its limit.
        by: which bucket had no token.
    """

    workspace: WorkspaceName
    limit: LimitInForce
    by: RefusedBy


class Refusals:
    """Refused operations of one node, and those granted by fallback."""

    def __init__(self) -> None:
        """Starts with all counts at zero."""
        self._refused: Counter[WorkspaceName] = Counter()
        self._fallback_grants = 0

    @property
    def by_workspace(self) -> Mapping[str, float]:
        """Refused operations: the largest counts, and the sum of the rest."""
        largest = self._refused.most_common(COUNTED_WORKSPACES)
        counts: dict[str, float] = dict(largest)
        rest = self._refused.total() - sum(counts.values())
        return {**counts, OTHER_WORKSPACES: rest}

    @property
    def fallback_grants(self) -> int:
        """Operations that this node granted without a limiter."""
        return self._fallback_grants

    def count_fallback_grants(self, operations: int) -> None:
        """Counts operations that this node granted without a limiter."""
        self._fallback_grants += operations

    def refuse(self, refusal: Refusal, retry_after: float) -> NotRun:
        """Logs and counts a refused operation.

        Args:
            refusal: what was refused.
            retry_after: seconds after which its caller should come back.

        Returns:
            The outcome for the caller.
        """
        self._refused[refusal.workspace] += 1
        limit = refusal.limit.limit
        retry_after_ms = milliseconds(retry_after)
        log.info(
            'rate_limited',
            extra={
                'workspace': refusal.workspace,
                'rate': limit and limit.rate,
                'burst': limit and limit.burst,
                'revision': refusal.limit.revision,
                'by': refusal.by.value,
                'retry_after_ms': retry_after_ms,
            },
        )
        return NotRun(Reason.RATE_LIMITED, retry_after_ms)
