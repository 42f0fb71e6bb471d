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
from cowslipfork.membership import Members, Place, Report
from cowslipfork.membership.fleet import Fleet
from cowslipfork.record_sync import HeldRecord, Holdings
from cowslipfork.record_sync.fetch import answer
from cowslipfork.record_sync.relay import Relay
from cowslipfork.store import Store
from cowslipfork_proxy.applied_state import Holdings as NodeHoldings
from cowslipfork_proxy.peers.client import GrpcPeers, OpenChannel
from cowslipfork_proxy.peers.service import MembershipService, Probe
from cowslipfork_proxy.peers.updates import feed_members, feed_records

log = logging.getLogger(__name__)

_NS_PER_MS: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class FleetParts:
    """A node's part in the fleet.

    Attributes:
        fleet: control loops; ``run`` them with the peers of the settings.
        members: VMs of the fleet.
        records: what spreads between nodes.
        service: answers other nodes.
    """

    fleet: Fleet
    members: Members
    records: Holdings
    service: MembershipService


@dataclass(frozen=True, slots=True)
class FleetNeeds:
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
    holdings: NodeHoldings
    open_channel: OpenChannel
    probe: Probe
    diverged: Callable[[str], None]


def assemble_fleet(needs: FleetNeeds, now: float) -> FleetParts:
    """Wires members, records, links, relay and service.

    Args:
        needs: what they need of their node.
        now: seconds of the event loop's clock.

    Returns:
        The wired parts; nothing runs yet.
    """
    settings = needs.settings
    # A site is one region; the platform's list does not tell regions.
    region = RegionName(settings.site)
    members = Members(
        Report(
            Place(settings.vm, settings.failure_domain, region),
            needs.address,
            Incarnation(time.time_ns() // _NS_PER_MS),
        ),
        now,
    )
    records = Holdings(partial(_diverged, needs.diverged))
    relay = Relay(needs.store, records, lambda: fleet.store_seen())
    fleet = Fleet(
        members,
        records,
        GrpcPeers(needs.open_channel),
        lambda domain: region,
        relay.run,
    )
    feed_records(records, needs.holdings, settings.site, fleet.in_force)
    feed_members(members, needs.holdings)
    service = MembershipService(
        fleet.serve,
        partial(answer, records),
        needs.probe,
    )
    return FleetParts(fleet, members, records, service)


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
