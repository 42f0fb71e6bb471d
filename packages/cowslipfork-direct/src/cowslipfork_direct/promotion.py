"""Interface for ordering promotions from the platform."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from cowslipfork.ids import EndpointId, GroupName, VmId


@unique
class OrderResult(Enum):
    """The platform's answer to a promotion order."""

    ACCEPTED = 'accepted'
    #: The endpoint is not running, so it will not be promoted.
    NOT_RUNNING = 'not_running'
    #: The order was not carried out and may be sent again.
    TRY_AGAIN = 'try_again'
    #: No answer was received; the order may have been carried out.
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class PromotionOrder:
    """An order to promote an endpoint.

    Attributes:
        group: group of the endpoint.
        endpoint: the new primary.
        holder: node that holds the duty to order promotions.
        fence: fencing token, which grows with each change of the holder.
        deadline: boot time after which the order must not arrive any more,
            since another node may order then.
    """

    group: GroupName
    endpoint: EndpointId
    holder: VmId
    fence: int
    deadline: float


class Promotions(Protocol):
    """Sends promotion orders to the platform."""

    async def order(self, order: PromotionOrder) -> OrderResult:
        """Orders a promotion.

        The platform carries out an accepted order some time later.
        """
