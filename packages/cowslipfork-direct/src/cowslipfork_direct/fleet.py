"""Registry of the nodes of this system, read from the store."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from cowslipfork.ids import FailureDomain, VmId
from cowslipfork.store import Event, LeaseId, StoreEra
from cowslipfork.weights import rendezvous_weight
from cowslipfork_direct.carriers import NodeTraits
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.decoding import decode_json
from cowslipfork_direct.relay import Address
from cowslipfork_direct.store_watcher import Subscription

log = logging.getLogger(__name__)

#: Prefix of the keys of registered nodes. A key stays until its node shuts down
#: cleanly, since an unreachable node may still serve callers.
NODES_PREFIX: Final = 'cowslipfork/nodes/'

#: Prefix of the keys that are deleted when a node's lease ends.
ALIVE_PREFIX: Final = 'cowslipfork/alive/'

#: Seconds after the end of its lease for which a node still counts as recently
#: alive: the store may drop leases of nodes that live and don't reach it.
RECENTLY: Final = 10.0


#: Seconds within which a live node whose lease has lapsed registers again once
#: the store answers.
REREGISTRATION_TIME: Final = 2.0


@dataclass(frozen=True, slots=True)
class Registered:
    """Entry that a node wrote about itself.

    Attributes:
        lease: its lease in the store; the node may not answer after its end.
        incarnation: start of its process, in nanoseconds of its own clock.
        relay: address at which it relays connections of other nodes.
        era: era of the store in which the lease was granted; 0 if unknown.
        failure_domain: set of VMs that fail together with the node; empty for
            nodes of versions that do not report it.
        capacity: processing capacity of the node in cores; 0 for nodes of
            versions that do not report it.
    """

    lease: LeaseId
    incarnation: int
    relay: Address
    era: StoreEra = StoreEra(0)
    failure_domain: FailureDomain = FailureDomain('')
    capacity: float = 0

    @property
    def traits(self) -> NodeTraits:
        """What the choice of carriers considers of the node."""
        return NodeTraits(self.failure_domain, self.capacity)


def decode_registered(content: bytes) -> Registered | None:
    """Decodes a node's entry.

    Args:
        content: the stored bytes.

    Returns:
        The entry; None if it can't be read, which is logged.
    """
    decoded = decode_json(content, Registered)
    if decoded.is_error():
        log.warning('node_unreadable', extra={'cause': str(decoded.error)})
        return None
    return decoded.ok


def node_key(node: VmId) -> str:
    """Returns the key under which a node is registered."""
    return f'{NODES_PREFIX}{node}'


def alive_key(node: VmId) -> str:
    """Returns the key that exists while a node is alive."""
    return f'{ALIVE_PREFIX}{node}'


class Fleet:
    """All registered nodes."""

    def __init__(self, on_change: Callable[[], None]) -> None:
        """Starts without nodes.

        Args:
            on_change: called when nodes are added or removed.
        """
        self._on_change = on_change
        self._registered: dict[VmId, Registered] = {}
        self._alive: set[VmId] = set()
        self._gone_at: dict[VmId, float] = {}
        self._left: dict[VmId, int] = {}
        self._first_read_at: float | None = None

    @property
    def registered(self) -> Mapping[VmId, Registered]:
        """Entries of nodes that may serve callers, reachable or not."""
        return self._registered

    @property
    def alive(self) -> frozenset[VmId]:
        """Nodes whose lease has not ended, as last seen in the store."""
        return frozenset(self._alive)

    @property
    def possibly_alive(self) -> frozenset[VmId]:
        """Nodes whose lease has lapsed but that may register again.

        These are all registered ones while this node has only just read the
        registry.
        """
        earliest = boot_time() - REREGISTRATION_TIME
        if self._first_read_at is None or self._first_read_at > earliest:
            return frozenset(self._registered)
        return frozenset(
            node
            for node, gone_at in self._gone_at.items()
            if gone_at > earliest and node in self._registered
        )

    @property
    def carrier_candidates(self) -> Mapping[VmId, NodeTraits]:
        """Nodes that may be carriers.

        These are the live ones, or all registered ones while the store shows
        none as alive.
        """
        live = self._registered.keys() & self._alive
        return {
            node: registered.traits
            for node, registered in self._registered.items()
            if node in live or not live
        }

    @property
    def recently_alive(self) -> Mapping[VmId, NodeTraits]:
        """Registered nodes that are alive, or were within ``RECENTLY``."""
        earliest = boot_time() - RECENTLY
        return {
            node: registered.traits
            for node, registered in self._registered.items()
            if node in self._alive or self._gone_at.get(node, 0) > earliest
        }

    def has_left(self, node: VmId, registered: Registered) -> bool:
        """Returns whether the process that wrote an entry has removed it."""
        return self._left.get(node) == registered.incarnation

    def relays(self, besides: VmId) -> list[Address]:
        """Returns the relays of the other nodes that are alive.

        The order differs from node to node.

        Args:
            besides: the node that asks.
        """
        others = sorted(
            self._registered.keys() & self._alive - {besides},
            key=lambda node: rendezvous_weight(besides, node),
        )
        return [self._registered[node].relay for node in others]

    def subscriptions(self) -> tuple[Subscription, Subscription]:
        """Returns the subscriptions that keep the registry current."""
        return (
            Subscription(NODES_PREFIX, self._apply_registrations),
            Subscription(ALIVE_PREFIX, self._apply_alive_keys),
        )

    def _apply_registrations(self, events: Sequence[Event]) -> None:
        if self._first_read_at is None:
            self._first_read_at = boot_time()
        for event in events:
            node = VmId(event.key.removeprefix(NODES_PREFIX))
            known = self._registered.pop(node, None)
            if event.content is not None:
                self._register(node, event)
            elif known is not None:
                self._left[node] = known.incarnation
        self._on_change()

    def _register(self, node: VmId, event: Event) -> None:
        registered = decode_registered(event.content or b'')
        if registered is None:
            return
        if event.restored and self.has_left(node, registered):
            # The copy is from before this process ended.
            return
        self._registered[node] = registered

    def _apply_alive_keys(self, events: Sequence[Event]) -> None:
        for event in events:
            node = VmId(event.key.removeprefix(ALIVE_PREFIX))
            if event.content is None:
                self._alive.discard(node)
                self._gone_at[node] = boot_time()
                log.info('node_gone', extra={'node': node})
            else:
                self._alive.add(node)
                log.info('node_alive', extra={'node': node})
        self._on_change()
