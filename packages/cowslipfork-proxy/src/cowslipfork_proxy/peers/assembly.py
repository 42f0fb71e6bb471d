"""Wires a node's part in the fleet."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Final

from cowslipfork.configuration import NodeSettings
from cowslipfork.ids import Incarnation, RegionName
from cowslipfork.membership import Members, Report, VmLocation
from cowslipfork.membership.fleet import FleetMembership
from cowslipfork.record_sync import HeldRecord, LocalRecords
from cowslipfork.record_sync.fetch import answer_fetch
from cowslipfork.record_sync.relay import Relay
from cowslipfork.store import Store
from cowslipfork_proxy.applied_state import AppliedState
from cowslipfork_proxy.peers.client import GrpcPeers, OpenChannel
from cowslipfork_proxy.peers.service import MembershipService, Probe
from cowslipfork_proxy.peers.updates import (
    apply_member_updates,
    apply_record_updates,
)

log = logging.getLogger(__name__)

_NS_PER_MS: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class FleetComponents:
    """A node's part in the fleet.

    Attributes:
        fleet: control loops; ``run`` them with the peers of the settings.
        members: VMs of the fleet.
        records: what spreads between nodes.
        service: answers other nodes.
    """

    fleet: FleetMembership
    members: Members
    records: LocalRecords
    service: MembershipService


@dataclass(frozen=True, slots=True)
class FleetDependencies:
    """What the fleet's parts need of their node.

    Attributes:
        address: ``host:port`` for other nodes.
        open_channel: opens a fresh channel to another node.
        probe: examines a primary for another node.
        diverged: counts a record with two contents of one version.
    """

    settings: NodeSettings
    address: str
    store: Store
    applied_state: AppliedState
    open_channel: OpenChannel
    probe: Probe
    diverged: Callable[[str], None]


def assemble_fleet(
    dependencies: FleetDependencies, now: float
) -> FleetComponents:
    """Wires members, records, links, relay and service.

    Args:
        dependencies: what they need of their node.
        now: seconds of the event loop's clock.

    Returns:
        The wired parts; nothing runs yet.
    """
    settings = dependencies.settings
    # A site is one region; the platform's list does not tell regions.
    region = RegionName(settings.site)
    members = Members(
        Report(
            VmLocation(settings.vm, settings.failure_domain, region),
            dependencies.address,
            Incarnation(time.time_ns() // _NS_PER_MS),
        ),
        now,
    )
    records = LocalRecords(partial(_diverged, dependencies.diverged))
    relay = Relay(
        dependencies.store, records, lambda: fleet.record_store_answer()
    )
    fleet = FleetMembership(
        members,
        records,
        GrpcPeers(dependencies.open_channel),
        lambda domain: region,
        relay.run,
    )
    apply_record_updates(
        records,
        dependencies.applied_state,
        settings.site,
        fleet.announce_revision,
    )
    apply_member_updates(members, dependencies.applied_state)
    service = MembershipService(
        fleet.serve,
        partial(answer_fetch, records),
        dependencies.probe,
    )
    return FleetComponents(fleet, members, records, service)


def _diverged(count: Callable[[str], None], record: HeldRecord) -> None:
    log.error(
        'invariant violated',
        extra={
            'violation': 'two_contents_of_a_version',
            'key': record.key,
            'version': record.version,
        },
    )
    count(record.key)
