"""When a node may order a promotion, and when another node may claim instead.

Once another node may order a promotion, no earlier order may still take
effect. Orders carry a fencing token, but the platform may not check it, so
time has to keep them apart:

- An order begins within ``MAX_CLAIM_AGE`` of the last write of its claim.
- It is sent within ``ORDER_TIMEOUT`` of that, and if it has not been answered
  by then, its connection is reset, so that it never arrives.
- Another node claims ``CLAIM_EXPIRY`` after it has seen that write.

All times are boot times: a node that was suspended finds its claim expired.
"""

from __future__ import annotations

from typing import Final

#: Greatest age in seconds of a claim's last write when an order begins.
MAX_CLAIM_AGE: Final = 0.5

#: Seconds from the beginning of an order until it must not arrive any more.
ORDER_TIMEOUT: Final = 1.5

#: Seconds after the last progress of a takeover for which its claim is still
#: written again: another node may do better.
MAX_REFRESH_TIME: Final = 1.5

#: Seconds that resetting the connection of an order may be late.
RESET_DELAY: Final = 1.0

#: Seconds without progress after which a node resumes another node's takeover.
CLAIM_EXPIRY: Final = MAX_CLAIM_AGE + ORDER_TIMEOUT + RESET_DELAY


def order_deadline(confirmed_at: float, now: float) -> float | None:
    """Returns the time after which an order that begins now must not arrive.

    Args:
        confirmed_at: time before the last write of the order's claim.
        now: the present time.

    Returns:
        The deadline; None if no order may begin, since the claim is too old.
    """
    if now - confirmed_at > MAX_CLAIM_AGE:
        return None
    return now + ORDER_TIMEOUT


def may_send(deadline: float, now: float) -> bool:
    """Returns whether an order may still be sent.

    Args:
        deadline: the order's deadline.
        now: the present time, after the order's connection was opened.
    """
    return now < deadline


def has_claim_expired(seen_at: float, now: float) -> bool:
    """Returns whether another node may claim a takeover.

    Args:
        seen_at: time at which this node has read the last write of the claim.
        now: the present time.
    """
    return now - seen_at > CLAIM_EXPIRY
