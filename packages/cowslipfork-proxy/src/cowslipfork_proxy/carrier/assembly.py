"""Wires the carrier of one group from the configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from cowslipfork.configuration import Configuration, Endpoint, Group
from cowslipfork.groups import GroupRecord, Health, Tracker, Violation
from cowslipfork.ids import EndpointId
from cowslipfork.limits import SlotQueue
from cowslipfork_proxy.carrier._grants import Grants
from cowslipfork_proxy.carrier.carrier_statistics import CarrierStatistics
from cowslipfork_proxy.carrier.group_carrier import GroupCarrier
from cowslipfork_proxy.endpoints import Login, MysqlControl, Pool

#: Connections of an endpoint left for control, probes and its operators.
RESERVED_CONNECTIONS: Final = 4

#: Carriers that may hold connections at once while VMs disagree about who is
#: alive; each takes an equal share, so that their sum keeps the limit.
_CARRIERS_AT_ONCE: Final = 2

#: Seconds for opening a connection.
_CONNECT_TIMEOUT: Final = 0.5


def assemble(
    group: Group,
    record: GroupRecord,
    configuration: Callable[[], Configuration],
    login: Login,
    count_violation: Callable[[Violation], None],
    is_leaving: Callable[[EndpointId], bool],
    statistics: CarrierStatistics,
) -> GroupCarrier:
    """Wires pools, controls, queue and tracker of a group.

    Args:
        group: the group.
        record: its record as last heard.
        configuration: gives the configuration in force.
        login: how to log in to endpoints.
        count_violation: counts broken invariants.
        is_leaving: tells whether the platform takes an endpoint away.
        statistics: counts reads, times gaps.

    Returns:
        The carrier; its tracker does not run yet.
    """
    endpoints = {
        name: configuration().endpoints[name] for name in group.endpoints
    }
    tracker = Tracker(
        record,
        {
            name: MysqlControl(endpoint, endpoints, login, is_leaving)
            for name, endpoint in endpoints.items()
        },
        configuration().failover,
        asyncio.get_running_loop().time,
        count_violation,
    )
    queue = SlotQueue(
        {name: endpoint.slots for name, endpoint in endpoints.items()},
    )
    pools = {
        name: Pool(endpoint, login, group.database, pool_limit(endpoint))
        for name, endpoint in endpoints.items()
    }
    grants = Grants(queue, pools, _CONNECT_TIMEOUT)
    return GroupCarrier(
        group, configuration, tracker, grants, Health(), statistics
    )


def pool_limit(endpoint: Endpoint) -> int:
    """Gives one carrier's share of an endpoint's connections.

    Args:
        endpoint: the endpoint.

    Returns:
        Connections, at least one.
    """
    shared = endpoint.connections - RESERVED_CONNECTIONS
    return max(1, shared // _CARRIERS_AT_ONCE)
