"""Dependencies of the steps of a takeover."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from cowslipfork.ids import GroupName, VmId
from cowslipfork.store import LeasingStore
from cowslipfork_direct.era_settlement import EraSettlement
from cowslipfork_direct.fleet import Fleet
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.promotion import Promotions
from cowslipfork_direct.store_era import EraTracker
from cowslipfork_direct.takeover.claims import Claims
from cowslipfork_direct.takeover.departure_cache import DepartureCache
from cowslipfork_direct.takeover.takeover_cache import TakeoverCache


@dataclass(frozen=True, slots=True)
class TakeoverContext:
    """Dependencies of the steps of a takeover.

    Attributes:
        node: this node.
        takeover_cache: cache of the takeover records.
        departure_cache: cache of the records of replicas that leave.
        fleet: all registered nodes.
        eras: newest era of the store.
        settlement: whether the store's records can be relied on.
        store: store in which other nodes' leases are ended.
        claims: writes the takeover's record.
        promotions: sends promotion orders to the platform.
        metrics: counts the steps.
        supervisors: returns the live nodes that watch over the primary of a
            group: all of them, or its carriers.
        electors: returns the nodes of which a majority has to suspect a
            primary: the supervisors, and nodes whose lease may have lapsed
            though they live.
        load_takeovers: reads all takeovers from the store.
        synchronous_replicas: returns the number of replicas of a group that
            must hold a commit before the primary acknowledges it.
    """

    node: VmId
    takeover_cache: TakeoverCache
    departure_cache: DepartureCache
    fleet: Fleet
    eras: EraTracker
    settlement: EraSettlement
    store: LeasingStore
    claims: Claims
    promotions: Promotions
    metrics: Metrics
    supervisors: Callable[[GroupName], frozenset[VmId]]
    electors: Callable[[GroupName], frozenset[VmId]]
    load_takeovers: Callable[[], Awaitable[None]]
    synchronous_replicas: Callable[[GroupName], int]
