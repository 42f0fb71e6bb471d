"""What a node that is about to end tells its callers."""

from __future__ import annotations

import asyncio
from typing import Final

from cowslipfork.outcomes import NotRun, Reason, Unknown

#: Least seconds until the node stops answering with which a statement is
#: accepted.
MIN_TIME_LEFT: Final = 0.3

#: Milliseconds after which a caller that a leaving node refuses should retry,
#: at another node.
LEAVING_RETRY_MS: Final = 50

#: What a caller is told whom a leaving node serves no more.
LEAVING: Final = NotRun(
    Reason.DRAINING, LEAVING_RETRY_MS, 'the node is leaving'
)

#: What a caller is told whose statement a leaving node has not finished.
ABANDONED: Final = Unknown(
    None, detail='the node is leaving', reason=Reason.DEADLINE
)


def refusal_of_leaving(answer_by: float) -> NotRun | None:
    """Returns the refusal of work that could not be answered in time.

    Args:
        answer_by: loop time by which everything must be answered.

    Returns:
        The refusal; None if there is time enough.
    """
    if asyncio.get_running_loop().time() + MIN_TIME_LEFT < answer_by:
        return None
    return LEAVING
