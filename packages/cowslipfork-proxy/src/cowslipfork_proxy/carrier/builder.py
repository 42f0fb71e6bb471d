"""Wires a group's carrier together with its supervision."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from cowslipfork.configuration import Configuration, Group
from cowslipfork.groups import (
    AskPeers,
    Claimant,
    ClaimerId,
    GroupRecord,
    Supervision,
    Violation,
    supervise,
)
from cowslipfork.ids import EndpointId, GroupName, VmId
from cowslipfork.store import Store
from cowslipfork_proxy.carrier.assembly import assemble
from cowslipfork_proxy.carrier.carrier_statistics import Figures
from cowslipfork_proxy.carrier.carriers import Carried
from cowslipfork_proxy.carrier.term_start import term_starter
from cowslipfork_proxy.endpoints import Login

#: Seconds for a group statement of a claim.
_CLAIM_TIMEOUT: Final = 0.5


@dataclass(frozen=True, slots=True)
class CarryingParts:
    """What carrying a group reaches of its node.

    Attributes:
        claimer: name of this process in group records.
        record_of: gives the record of a group as last heard.
        announce: spreads a record that this node wrote.
        ask_peers: asks other nodes about a primary.
        ranks: gives the VMs of a group, its carrier first.
        count_violation: counts broken invariants of a group.
        is_leaving: tells whether the platform takes an endpoint away.
        figures: counts reads, times gaps.
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
    figures: Figures


def carry(parts: CarryingParts, name: GroupName) -> Carried | None:
    """Wires the carrier of a group.

    Args:
        parts: what it reaches of its node.
        name: the group.

    Returns:
        Carrier and supervision; None for an unknown group.
    """
    configuration = parts.configuration()
    group = configuration.groups.get(name)
    if group is None:
        return None
    carrier = assemble(
        group,
        parts.record_of(group),
        parts.configuration,
        parts.login,
        partial(parts.count_violation, name),
        parts.is_leaving,
        parts.figures,
    )
    tracker = carrier.tracker
    endpoints = {
        endpoint: configuration.endpoints[endpoint]
        for endpoint in group.endpoints
    }
    supervision = Supervision(
        group=group,
        tracker=tracker,
        claimant=Claimant(
            parts.store,
            parts.claimer,
            tracker.controls,
            _CLAIM_TIMEOUT,
            parts.announce,
        ),
        ask_peers=parts.ask_peers,
        rank=partial(_rank, parts, name),
        begin_term=term_starter(endpoints, parts.login, group.database),
        health=carrier.health,
    )
    return Carried(carrier, partial(supervise, supervision))


def _rank(parts: CarryingParts, group: GroupName) -> int:
    ranked = parts.ranks(group)
    return ranked.index(parts.vm) if parts.vm in ranked else len(ranked)
