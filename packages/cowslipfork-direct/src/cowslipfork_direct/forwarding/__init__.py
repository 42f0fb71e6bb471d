"""Forwarding of statements to the nodes that hold a group's connections."""

from cowslipfork_direct.forwarding.carrier_service import CarrierService
from cowslipfork_direct.forwarding.carrier_table import CarrierTable
from cowslipfork_direct.forwarding.context import Forwarding
from cowslipfork_direct.forwarding.remote_executor import RemoteExecutor

__all__ = (
    'CarrierService',
    'CarrierTable',
    'Forwarding',
    'RemoteExecutor',
)
