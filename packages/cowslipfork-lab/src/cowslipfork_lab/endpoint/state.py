"""What all connections of an endpoint share."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cowslipfork_lab.endpoint.counters import Counters
from cowslipfork_lab.endpoint.failures import ErrorNumber, StatementFailed
from cowslipfork_lab.endpoint.faults import Faults
from cowslipfork_lab.endpoint.journal import Journal
from cowslipfork_lab.endpoint.member import Member
from cowslipfork_lab.endpoint.settings import EndpointSettings

if TYPE_CHECKING:
    from cowslipfork_lab.endpoint.session import EndpointSession


class EndpointState:
    """Membership, faults, counters and the lock of the one writer."""

    def __init__(self, settings: EndpointSettings) -> None:
        """Builds an endpoint.

        Args:
            settings: what it is started with.
        """
        self.settings = settings
        self.faults = Faults()
        self.counters = Counters()
        self.member = Member(settings.name, Journal(settings.journal))
        self.lock = asyncio.Lock()
        self.writer: EndpointSession | None = None
        self.sessions: set[EndpointSession] = set()
        self.member.on_fence(self._abort_transactions)

    def take_slot(self) -> None:
        """Takes a slot for a statement.

        Raises:
            StatementFailed: all slots are in use.
        """
        counters = self.counters
        if counters.slots_used >= self.settings.slots:
            counters.slots_refused += 1
            raise StatementFailed(ErrorNumber.NO_FREE_SLOT, 'no free slot')
        counters.take_slot()

    def _abort_transactions(self) -> None:
        for session in self.sessions:
            session.abort()
