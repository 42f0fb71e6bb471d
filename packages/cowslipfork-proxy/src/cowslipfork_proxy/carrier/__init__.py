"""Carrying of groups: every decision about a group's statements."""

from cowslipfork_proxy.carrier.builder import CarrierDependencies, build_carrier
from cowslipfork_proxy.carrier.carrier_statistics import CarrierStatistics
from cowslipfork_proxy.carrier.carriers import Carriers, SupervisedCarrier
from cowslipfork_proxy.carrier.group_carrier import GroupCarrier

__all__ = (
    'SupervisedCarrier',
    'Carriers',
    'CarrierDependencies',
    'CarrierStatistics',
    'GroupCarrier',
    'build_carrier',
)
