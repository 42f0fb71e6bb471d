"""Condition of a group, as its carrier reports it to callers and operators."""

from __future__ import annotations

from enum import Enum, unique

from cowslipfork.outcomes import NotRun, Reason

#: Milliseconds after which a promotion may have completed.
PROMOTION_RETRY_MS = 500
#: Milliseconds after which the store may be available again.
STORE_RETRY_MS = 2000


@unique
class Condition(Enum):
    """Whether a group has a primary, and if not, what prevents a promotion."""

    SERVING = 'serving'
    #: A failure of the primary is suspected; probes are to confirm it.
    SUSPECTED = 'suspected'
    #: A claimer is promoting another primary.
    CLAIMING = 'claiming'
    #: Peers reach the primary, but this node does not.
    CUT_OFF = 'cut_off'
    #: The primary has failed and the store does not answer.
    STORE_DOWN = 'store_down'
    #: Too few endpoints answer for a promotion.
    NO_MAJORITY = 'no_majority'


class Health:
    """The current condition of a group."""

    def __init__(self) -> None:
        """Starts as serving."""
        self._condition = Condition.SERVING

    @property
    def condition(self) -> Condition:
        """Condition that was set last."""
        return self._condition

    def update(self, condition: Condition) -> bool:
        """Sets the condition.

        Returns:
            Whether it differs from the condition before.
        """
        changed = condition is not self._condition
        self._condition = condition
        return changed


def write_refusal(condition: Condition) -> NotRun | None:
    """Returns the refusal of a write if it cannot reach a primary soon.

    Args:
        condition: condition of the write's group.

    Returns:
        The refusal; None if the write may run, or may wait within its
        deadline for a promotion that is in progress.
    """
    match condition:
        case Condition.STORE_DOWN:
            return NotRun(
                Reason.STORE_DOWN,
                STORE_RETRY_MS,
                'the primary has failed; no promotion without the store',
            )
        case Condition.NO_MAJORITY:
            return NotRun(
                Reason.NO_PRIMARY,
                PROMOTION_RETRY_MS,
                'no majority of endpoints answers, which a promotion needs',
            )
        case Condition.CUT_OFF:
            return NotRun(
                Reason.NO_PRIMARY,
                PROMOTION_RETRY_MS,
                'this node cannot reach the primary; others can',
            )
    return None
