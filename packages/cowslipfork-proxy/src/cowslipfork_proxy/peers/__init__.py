"""Other nodes over gRPC: heartbeats, fetches, probes."""

from cowslipfork_proxy.peers.assembly import (
    FleetComponents,
    FleetDependencies,
    assemble_fleet,
)
from cowslipfork_proxy.peers.client import GrpcPeers
from cowslipfork_proxy.peers.service import MembershipService
from cowslipfork_proxy.peers.updates import announce

__all__ = (
    'FleetDependencies',
    'FleetComponents',
    'GrpcPeers',
    'MembershipService',
    'announce',
    'assemble_fleet',
)
