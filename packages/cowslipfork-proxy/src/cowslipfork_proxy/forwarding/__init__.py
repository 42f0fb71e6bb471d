"""Forwarding of statements from entry nodes to carriers over gRPC."""

from cowslipfork_proxy.forwarding.link import CarrierLink
from cowslipfork_proxy.forwarding.servicer import CarrierService

__all__ = ('CarrierLink', 'CarrierService')
