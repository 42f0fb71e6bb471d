"""What the composition root of a platform gives a node."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from cowslipfork.ids import FailureDomain, VmId
from cowslipfork.store import LeasingStore
from cowslipfork_direct.link import Network
from cowslipfork_direct.peers import Dial
from cowslipfork_direct.promotion import Promotions
from cowslipfork_direct.relay import Address, dial
from cowslipfork_direct.store_era import EraTracker
from cowslipfork_direct.subscriptions import StoreSchema


@dataclass(frozen=True, slots=True)
class PlatformAdapters:
    """Adapters through which a node uses its platform.

    Attributes:
        store: returns a client of the platform's store that uses the given
            relay, or a direct connection for None.
        store_schema: keys and decoders of the store's values.
        network: opens connections to endpoints.
        promotions: sends promotion orders.
        eras: newest era of the store, which its clients report.
        dial: opens connections to other nodes.
        drain_time: seconds for which an endpoint that announced that it leaves
            accepts new work.
    """

    store: Callable[[Address | None], LeasingStore]
    store_schema: StoreSchema
    network: Network
    promotions: Promotions
    eras: EraTracker
    dial: Dial = dial
    drain_time: float = math.inf


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Name, failure domain and relay address of a node.

    Attributes:
        name: VM that the node runs on.
        failure_domain: set of VMs that may fail together with this one.
        relay: address of its relay for other nodes' connections.
        capacity: processing capacity of the VM in cores.
    """

    name: VmId
    failure_domain: FailureDomain
    relay: Address
    capacity: float = 1


@dataclass(frozen=True, slots=True)
class CarrierOptions:
    """Settings of the choice of carriers.

    Attributes:
        count: wanted number of carriers of a group.
        direct_connections: least connections to an endpoint for each node with
            which all nodes use the endpoints themselves.
    """

    count: int = 3
    direct_connections: float = 1
