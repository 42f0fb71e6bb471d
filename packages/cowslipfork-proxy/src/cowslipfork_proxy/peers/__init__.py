"""Other nodes over gRPC: heartbeats, fetches, probes."""

from cowslipfork_proxy.peers.client import GrpcPeers
from cowslipfork_proxy.peers.service import MembershipService

__all__ = ('GrpcPeers', 'MembershipService')
