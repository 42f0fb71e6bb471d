"""How a group fares, as its carrier tells callers and operators."""

from __future__ import annotations

from enum import Enum, unique

from cowslipfork.outcomes import NotRun, Reason

#: Milliseconds after which a promotion may be over.
PROMOTION_RETRY_MS = 500
#: Milliseconds after which the store may be back.
STORE_RETRY_MS = 2000


@unique
class Condition(Enum):
    """Whether a group has a primary, and if not, what stops a promotion."""

    SERVING = 'serving'
    #: Evidence against the primary is being gathered.
    SUSPECTED = 'suspected'
    #: A claimer is promoting another primary.
    CLAIMING = 'claiming'
    #: Peers reach the primary, this node does not.
    CUT_OFF = 'cut_off'
    #: The primary is gone and the store does not answer.
    STORE_DOWN = 'store_down'
    #: Too few endpoints answer for a promotion.
    NO_MAJORITY = 'no_majority'


class Health:
    """The condition of a group and since when it lasts."""

    def __init__(self) -> None:
        """Starts as serving."""
        self._condition = Condition.SERVING

    @property
    def condition(self) -> Condition:
        """How the group fares."""
        return self._condition

    def update(self, condition: Condition) -> bool:
        """Notes how the group fares now.

        Returns:
            Whether it changed.
        """
        changed = condition is not self._condition
        self._condition = condition
        return changed


def write_refusal(condition: Condition) -> NotRun | None:
    """Decides whether a write that needs the primary is refused at once.

    Args:
        condition: how the group fares.

    Returns:
        The refusal; None if the write may run, or may wait within its
        deadline for a promotion that is under way.
    """
    match condition:
        case Condition.STORE_DOWN:
            return NotRun(
                Reason.STORE_DOWN,
                STORE_RETRY_MS,
                'the primary is gone and no other can be agreed on',
            )
        case Condition.NO_MAJORITY:
            return NotRun(
                Reason.NO_PRIMARY,
                PROMOTION_RETRY_MS,
                'too few endpoints answer for a promotion',
            )
        case Condition.CUT_OFF:
            return NotRun(
                Reason.NO_PRIMARY,
                PROMOTION_RETRY_MS,
                'this node cannot reach the primary; others can',
            )
    return None
