"""The limit of a workspace and the configuration that it comes from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cowslipfork.ids import Revision
from cowslipfork.limits.rate_limit import WINDOW
from cowslipfork_direct.routes import RateLimit

#: Part of its even share of the rate that a node grants without the limiter.
FALLBACK_FRACTION: Final = 0.5

#: Excess over a limit that operators accept in a window: a fraction of what the
#: limit allows, and a number of operations.
ACCEPTED_EXCESS: Final = 0.1
ACCEPTED_OPERATIONS: Final = 20

#: Part of the accepted excess with which a new limiter starts: a limiter may be
#: replaced several times within one window.
FIRST_FRACTION: Final = 1 / 6


@dataclass(frozen=True, slots=True)
class LimitInForce:
    """The rate limit of a workspace in one configuration.

    Attributes:
        limit: the limit; None if the workspace has none.
        revision: revision of the configuration.
    """

    limit: RateLimit | None
    revision: Revision


def first_tokens(limit: RateLimit) -> float:
    """Returns the tokens with which a new limiter starts a bucket.

    Without them it would refuse the first operations after each hand-over,
    though most workspaces stay below their limits.

    Args:
        limit: limit of the workspace.
    """
    window = limit.rate * WINDOW + limit.burst
    excess = window * ACCEPTED_EXCESS + ACCEPTED_OPERATIONS
    return min(limit.burst, excess * FIRST_FRACTION)


def newest(known: LimitInForce, told: LimitInForce) -> LimitInForce:
    """Returns the limit with the higher revision, ``known`` if it is equal."""
    return told if told.revision > known.revision else known
