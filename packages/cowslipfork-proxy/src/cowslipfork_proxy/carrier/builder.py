"""Wires a group's carrier together with its supervision."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from cowslipfork.configuration import Configuration, Group
from cowslipfork.groups import (
    AskPeers,
    ClaimContext,
    ClaimerId,
    GroupRecord,
    SupervisionContext,
    Violation,
    supervise,
)
from cowslipfork.ids import EndpointId, GroupName, VmId
from cowslipfork.store import Store
from cowslipfork_proxy.carrier.assembly import assemble
from cowslipfork_proxy.carrier.carrier_statistics import CarrierStatistics
from cowslipfork_proxy.carrier.carriers import SupervisedCarrier
from cowslipfork_proxy.carrier.term_start import term_starter
from cowslipfork_proxy.endpoints import Login

#: Seconds for a group statement of a claim.
_CLAIM_TIMEOUT: Final = 0.5


@dataclass(frozen=True, slots=True)
class CarrierDependencies:
    """What carrying a group reaches of its node.

    Attributes:
        claimer: name of this process in group records.
        record_of: gives the record of a group as last heard.
        announce: spreads a record that this node wrote.
        ask_peers: asks other nodes about a primary.
        ranks: gives the VMs of a group, its carrier first.
        count_violation: counts broken invariants of a group.
        is_leaving: tells whether the platform takes an endpoint away.
        statistics: counts reads, times gaps.
    """

    vm: VmId
    store: Store
    claimer: ClaimerId
    login: Login
    configuration: Callable[[], Configuration]
    record_of: Callable[[Group], GroupRecord]
    announce: Callable[[GroupRecord], None]
    ask_peers: AskPeers
    ranks: Callable[[GroupName], Sequence[VmId]]
    count_violation: Callable[[GroupName, Violation], None]
    is_leaving: Callable[[EndpointId], bool]
    statistics: CarrierStatistics


def build_carrier(
    dependencies: CarrierDependencies, name: GroupName
) -> SupervisedCarrier | None:
    """Wires the carrier of a group.

    Args:
        dependencies: what it reaches of its node.
        name: the group.

    Returns:
        Carrier and supervision; None for an unknown group.
    """
    configuration = dependencies.configuration()
    group = configuration.groups.get(name)
    if group is None:
        return None
    carrier = assemble(
        group,
        dependencies.record_of(group),
        dependencies.configuration,
        dependencies.login,
        partial(dependencies.count_violation, name),
        dependencies.is_leaving,
        dependencies.statistics,
    )
    tracker = carrier.tracker
    endpoints = {
        endpoint: configuration.endpoints[endpoint]
        for endpoint in group.endpoints
    }
    context = SupervisionContext(
        group=group,
        tracker=tracker,
        claim_context=ClaimContext(
            dependencies.store,
            dependencies.claimer,
            tracker.controls,
            _CLAIM_TIMEOUT,
            dependencies.announce,
        ),
        ask_peers=dependencies.ask_peers,
        rank=partial(_rank, dependencies, name),
        begin_term=term_starter(endpoints, dependencies.login, group.database),
        health=carrier.health,
    )
    return SupervisedCarrier(carrier, partial(supervise, context))


def _rank(dependencies: CarrierDependencies, group: GroupName) -> int:
    ranked = dependencies.ranks(group)
    return (
        ranked.index(dependencies.vm)
        if dependencies.vm in ranked
        else len(ranked)
    )
