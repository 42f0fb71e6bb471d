"""Carrying of groups: every decision about a group's statements."""

from cowslipfork_proxy.carrier.builder import CarryingParts, carry
from cowslipfork_proxy.carrier.carrier_statistics import Figures
from cowslipfork_proxy.carrier.carriers import Carried, Carriers
from cowslipfork_proxy.carrier.group_carrier import GroupCarrier

__all__ = (
    'Carried',
    'Carriers',
    'CarryingParts',
    'Figures',
    'GroupCarrier',
    'carry',
)
