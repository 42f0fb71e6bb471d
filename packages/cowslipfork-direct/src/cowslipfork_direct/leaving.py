"""What a node that is about to end tells its callers."""

from __future__ import annotations

import asyncio
from typing import Final

from cowslipfork.outcomes import NotRun, Reason, Unknown

#: Least seconds before its end with which a statement or a transaction is
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


def refusal_of_leaving(until: float) -> NotRun | None:
    """Returns the refusal of work for which too little time is left.

    Args:
        until: loop time at which the work would be cut off.

    Returns:
        The refusal; None if there is time enough.
    """
    if asyncio.get_running_loop().time() + MIN_TIME_LEFT < until:
        return None
    return LEAVING
