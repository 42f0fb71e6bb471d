"""The nodes of this system, as they registered in the store."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

import msgspec

from cowslipfork.ids import VmId
from cowslipfork.store import Event, LeaseId
from cowslipfork.weights import rendezvous_weight
from cowslipfork_direct.relay import Address
from cowslipfork_direct.store_watcher import Subscription

log = logging.getLogger(__name__)

#: Keys of registered nodes. They stay until a node ends in good order, since
#: one that can't be reached may still serve callers.
NODES_PREFIX: Final = 'cowslipfork/nodes/'

#: Keys that end with a node's lease.
ALIVE_PREFIX: Final = 'cowslipfork/alive/'


@dataclass(frozen=True, slots=True)
class Registered:
    """What a node wrote about itself.

    Attributes:
        lease: its lease, whose end takes its right to answer away.
        incarnation: start of its process, in nanoseconds of its own clock.
        relay: where it relays connections of other nodes.
    """

    lease: LeaseId
    incarnation: int
    relay: Address


def node_key(node: VmId) -> str:
    """Gives the key under which a node is registered."""
    return f'{NODES_PREFIX}{node}'


def alive_key(node: VmId) -> str:
    """Gives the key that shows that a node is alive."""
    return f'{ALIVE_PREFIX}{node}'


class Fleet:
    """All registered nodes."""

    def __init__(self, changed: Callable[[], None]) -> None:
        """Knows no node yet.

        Args:
            changed: told when nodes come or go.
        """
        self._changed = changed
        self._registered: dict[VmId, Registered] = {}
        self._alive: set[VmId] = set()

    @property
    def registered(self) -> Mapping[VmId, Registered]:
        """Nodes that may serve callers, reachable or not."""
        return self._registered

    @property
    def alive(self) -> frozenset[VmId]:
        """Nodes whose lease has not ended, as far as known."""
        return frozenset(self._alive)

    def relays(self, besides: VmId) -> list[Address]:
        """Gives the relays of living nodes, in an order of the asking node's.

        Args:
            besides: the node that asks.
        """
        others = sorted(
            self._registered.keys() & self._alive - {besides},
            key=lambda node: rendezvous_weight(besides, node),
        )
        return [self._registered[node].relay for node in others]

    def subscriptions(self) -> tuple[Subscription, Subscription]:
        """Gives the subscriptions that keep it current."""
        return (
            Subscription(NODES_PREFIX, self._take_registered),
            Subscription(ALIVE_PREFIX, self._take_alive),
        )

    def _take_registered(self, events: Sequence[Event]) -> None:
        for event in events:
            node = VmId(event.key.removeprefix(NODES_PREFIX))
            self._registered.pop(node, None)
            if event.content is not None:
                self._register(node, event.content)
        self._changed()

    def _register(self, node: VmId, content: bytes) -> None:
        try:
            registered = msgspec.json.decode(content, type=Registered)
        except msgspec.MsgspecError as error:
            cause = str(error)
            log.warning('node_unreadable', extra={'cause': cause})
            return
        self._registered[node] = registered

    def _take_alive(self, events: Sequence[Event]) -> None:
        for event in events:
            node = VmId(event.key.removeprefix(ALIVE_PREFIX))
            if event.content is None:
                self._alive.discard(node)
                log.info('node_gone', extra={'node': node})
            else:
                self._alive.add(node)
                log.info('node_alive', extra={'node': node})
        self._changed()
