"""Chooses the endpoints that may serve a read and their minimum mark."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import Final

from cowslipfork.ids import EndpointId, FailureDomain, Mark, WorkspaceName
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.group import Group
from cowslipfork_direct.work import ServedStatement

#: Endpoints are ranked by their load in steps of this many connections in use,
#: so that a replica in the node's own failure domain is preferred to others
#: until it has about this many more connections in use.
LOAD_STEP: Final = 2

#: Seconds by which the mean latencies of two endpoints may differ without
#: one of them being ranked as slower.
LATENCY_STEP: Final = 0.05


def minimum_mark_of(served: ServedStatement) -> Mark | None:
    """Returns the mark that an endpoint must have reached to serve a read.

    Args:
        served: the read.

    Returns:
        The mark; None if only the primary may serve the read now.
    """
    if served.max_age is None:
        return None
    mark_history = served.service.group.mark_history
    minimum_mark = mark_history.minimum_mark(served.arrived - served.max_age)
    if minimum_mark is None or served.session_mark is None:
        return minimum_mark
    return max(minimum_mark, served.session_mark)


def primary_candidate(
    group: Group,
    avoided: Collection[EndpointId],
) -> Iterator[EndpointId]:
    """Yields the primary if it is known, not avoided and has room."""
    leader = group.accepting_leader
    if leader is None or leader.endpoint in avoided:
        return
    if group.endpoints[leader.endpoint].has_room:
        yield leader.endpoint


def read_candidates(
    group: Group,
    local_domain: FailureDomain,
    avoided: Collection[EndpointId],
    minimum_mark: Mark | None,
    workspace: WorkspaceName | None = None,
) -> list[EndpointId]:
    """Returns the endpoints that may serve a read of limited age, best first.

    Args:
        group: the group.
        local_domain: failure domain of this node.
        avoided: endpoints that were tried already.
        minimum_mark: mark up to which the endpoint must have applied its log.
        workspace: workspace of the caller; an endpoint with an idle connection
            of it is preferred to others that are equally suitable.
    """
    eligible = [
        endpoint
        for endpoint in group.endpoints.values()
        if endpoint.id not in avoided
        and _can_serve_read(endpoint, minimum_mark)
    ]
    healthy = [endpoint for endpoint in eligible if not endpoint.health.failing]

    def distance(endpoint: Endpoint) -> tuple[bool, bool]:
        return (
            endpoint.listed.failure_domain != local_domain,
            workspace is not None and not endpoint.pool.has_idle(workspace),
        )

    def cost(
        endpoint: Endpoint,
    ) -> tuple[bool, int, bool, tuple[bool, bool], int]:
        leads = group.leads(endpoint.id)
        unconfirmed = not leads and not group.follows(endpoint.id)
        return (
            unconfirmed,
            endpoint.in_use // LOAD_STEP
            + int(endpoint.mean_latency / LATENCY_STEP),
            leads,
            distance(endpoint),
            endpoint.in_use,
        )

    return [endpoint.id for endpoint in sorted(healthy or eligible, key=cost)]


def _can_serve_read(endpoint: Endpoint, minimum_mark: Mark | None) -> bool:
    return (
        endpoint.unreachable_since is None
        and not endpoint.listed.leaving
        and endpoint.likely_has(minimum_mark)
        and endpoint.has_room
    )
