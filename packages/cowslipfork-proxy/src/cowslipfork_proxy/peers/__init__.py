"""Other nodes over gRPC: heartbeats, fetches, probes."""

from cowslipfork_proxy.peers.assembly import (
    FleetNeeds,
    FleetParts,
    assemble_fleet,
)
from cowslipfork_proxy.peers.client import GrpcPeers
from cowslipfork_proxy.peers.feeding import announce
from cowslipfork_proxy.peers.service import MembershipService

__all__ = (
    'FleetNeeds',
    'FleetParts',
    'GrpcPeers',
    'MembershipService',
    'announce',
    'assemble_fleet',
)
