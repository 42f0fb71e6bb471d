"""What the steps of a takeover work with."""

from __future__ import annotations

from dataclasses import dataclass

from cowslipfork.ids import VmId
from cowslipfork.store import LeasingStore
from cowslipfork_direct.fleet import Fleet
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.promotion import Promotions
from cowslipfork_direct.takeover.claims import Claims
from cowslipfork_direct.takeover.takeover_cache import TakeoverCache


@dataclass(frozen=True, slots=True)
class TakeoverContext:
    """What the steps of a takeover work with.

    Attributes:
        node: this node.
        takeover_cache: records as the store tells them.
        fleet: all nodes.
        store: ends leases.
        claims: writes the record.
        promotions: gives orders to the platform.
        metrics: counts the steps.
    """

    node: VmId
    takeover_cache: TakeoverCache
    fleet: Fleet
    store: LeasingStore
    claims: Claims
    promotions: Promotions
    metrics: Metrics
