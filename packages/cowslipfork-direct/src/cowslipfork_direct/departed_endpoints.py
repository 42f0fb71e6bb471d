"""Endpoints that are no longer listed but that other nodes may still count."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from cowslipfork.ids import EndpointId

#: Seconds for which a node without the store lets a majority of the endpoints
#: that it last read confirm a primary; after that it needs all of them.
LISTING_VALIDITY: Final = 15.0

#: Seconds after an endpoint was dropped within which another node may count it:
#: ``LISTING_VALIDITY``, and the time that an answer of the store may take.
DEPARTED_HORIZON: Final = 17.0


class DepartedEndpoints:
    """Remembers endpoints whose entries disappeared without notice.

    Such an endpoint may still run, and a node that does not reach the store
    still counts it. An endpoint that announced its departure has ended.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts without endpoints.

        Args:
            now: clock in seconds that runs while the machine is suspended.
        """
        self._now = now
        self._forget_at: dict[EndpointId, float] = {}

    @property
    def countable(self) -> frozenset[EndpointId]:
        """Endpoints that a node may still count to confirm a primary."""
        now = self._now()
        self._forget_at = {
            name: forget_at
            for name, forget_at in self._forget_at.items()
            if forget_at > now
        }
        return frozenset(self._forget_at)

    def add(self, endpoint: EndpointId) -> None:
        """Notes that an endpoint is not listed any more."""
        self._forget_at[endpoint] = self._now() + DEPARTED_HORIZON

    def discard(self, endpoint: EndpointId) -> None:
        """Notes that an endpoint is listed again."""
        self._forget_at.pop(endpoint, None)
