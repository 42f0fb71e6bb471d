"""Builds the rate limits of a node from its view of the fleet."""

from __future__ import annotations

from cowslipfork.ids import VmId, WorkspaceName
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.fleet import Fleet
from cowslipfork_direct.peers import PeerClient, PeerServer
from cowslipfork_direct.rate_limits.client import RateLimits
from cowslipfork_direct.rate_limits.limiter import Limiter, LimiterContext
from cowslipfork_direct.rate_limits.limits import LimitInForce
from cowslipfork_direct.rate_limits.reporter import FleetView
from cowslipfork_direct.rate_limits.service import serve_limiter
from cowslipfork_direct.rate_limits.votes import Votes
from cowslipfork_direct.view import View


def build_rate_limits(
    node: VmId,
    fleet: Fleet,
    view: View,
    peers: PeerClient,
    peer_server: PeerServer,
) -> RateLimits:
    """Returns the rate limits of a node, which also serves as a limiter.

    Args:
        node: this node.
        fleet: all registered nodes.
        view: configuration in force.
        peers: requests to other nodes.
        peer_server: receives other nodes' requests.
    """

    def capacities() -> dict[VmId, float]:
        return {
            name: traits.capacity
            for name, traits in fleet.recently_alive.items()
        }

    def registered() -> int:
        return len(fleet.registered)

    def limit_of(name: WorkspaceName) -> LimitInForce:
        workspace = (view.table.workspaces or {}).get(name)
        rate_limit = None if workspace is None else workspace.rate_limit
        return LimitInForce(rate_limit, view.table.revision)

    def workspaces() -> tuple[WorkspaceName, ...]:
        return tuple(view.table.workspaces or ())

    limiter = Limiter(
        LimiterContext(limit_of, workspaces, registered, boot_time),
        Votes(node, capacities),
    )
    serve_limiter(peer_server, limiter)
    fleet_view = FleetView(node, capacities, registered, boot_time)
    return RateLimits(fleet_view, peers, limiter, limit_of, workspaces)
