"""Which endpoints may serve a read, and how far their logs must be."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import Final

from cowslipfork.ids import EndpointId, FailureDomain, Mark
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.group import Group
from cowslipfork_direct.work import Work

#: Connections in use at the nearest replica beyond which a farther one is
#: taken.
NEAR_LOAD: Final = 2

#: Seconds by which usual answers may differ without one endpoint being taken
#: for slower than another.
NEAR_WAIT: Final = 0.05


def minimum_mark_of(work: Work) -> Mark | None:
    """Gives the mark with which any endpoint may serve a read.

    Args:
        work: the read.

    Returns:
        The mark; None if only the primary may serve it now.
    """
    if work.max_age is None:
        return None
    mark_history = work.service.group.mark_history
    minimum_mark = mark_history.minimum_mark(work.arrived - work.max_age)
    if minimum_mark is None or work.seen is None:
        return minimum_mark
    return max(minimum_mark, work.seen)


def leader_only(
    group: Group,
    avoided: Collection[EndpointId],
) -> Iterator[EndpointId]:
    """Yields the primary, if it is known and not avoided."""
    leader = group.accepting_leader
    if leader is None or leader.endpoint in avoided:
        return
    if group.endpoints[leader.endpoint].has_room:
        yield leader.endpoint


def readers(
    group: Group,
    here: FailureDomain,
    avoided: Collection[EndpointId],
    minimum_mark: Mark | None,
) -> list[EndpointId]:
    """Gives endpoints that may serve a read of a stated age, best first.

    Args:
        group: the group.
        here: failure domain of this node.
        avoided: endpoints that were tried already.
        minimum_mark: log entry that the endpoint must have.
    """
    able = [
        endpoint
        for endpoint in group.endpoints.values()
        if endpoint.id not in avoided and _takes_reads(endpoint, minimum_mark)
    ]
    well = [endpoint for endpoint in able if not endpoint.health.failing]

    def cost(endpoint: Endpoint) -> tuple[bool, int, bool, bool, int]:
        leads = group.leads(endpoint.id)
        elsewhere = not leads and not group.follows(endpoint.id)
        return (
            elsewhere,
            endpoint.in_use // NEAR_LOAD + int(endpoint.usual / NEAR_WAIT),
            leads,
            endpoint.listed.failure_domain != here,
            endpoint.in_use,
        )

    return [endpoint.id for endpoint in sorted(well or able, key=cost)]


def _takes_reads(endpoint: Endpoint, minimum_mark: Mark | None) -> bool:
    return (
        endpoint.silent_since is None
        and not endpoint.listed.leaving
        and endpoint.likely_has(minimum_mark)
        and endpoint.has_room
    )
