"""The limit of a workspace and the configuration that it comes from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cowslipfork.ids import Revision
from cowslipfork_direct.routes import RateLimit

#: Part of its even share of the rate that a node grants without the limiter.
FALLBACK_FRACTION: Final = 0.5


@dataclass(frozen=True, slots=True)
class LimitInForce:
    """The rate limit of a workspace in one configuration.

    Attributes:
        limit: the limit; None if the workspace has none.
        revision: revision of the configuration.
    """

    limit: RateLimit | None
    revision: Revision


def newest(known: LimitInForce, told: LimitInForce) -> LimitInForce:
    """Returns the limit with the higher revision, ``known`` if it is equal."""
    return told if told.revision > known.revision else known
