"""Interface to the platform's orders of promotion."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from cowslipfork.ids import EndpointId, GroupName, VmId


@unique
class OrderResult(Enum):
    """How the platform answered an order."""

    ACCEPTED = 'accepted'
    #: The endpoint is not running, so it won't be promoted.
    NOT_RUNNING = 'not_running'
    #: Nothing was done; the same order may be given again.
    TRY_AGAIN = 'try_again'
    #: No answer: the order may have been carried out.
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class PromotionOrder:
    """An order to promote an endpoint.

    Attributes:
        group: group of the endpoint.
        endpoint: the new primary.
        holder: node that holds the duty.
        fence: grows with each change of the holder.
    """

    group: GroupName
    endpoint: EndpointId
    holder: VmId
    fence: int


class Promotions(Protocol):
    """Gives orders to the platform."""

    async def order(self, order: PromotionOrder) -> OrderResult:
        """Orders a promotion, which takes effect some time later."""
