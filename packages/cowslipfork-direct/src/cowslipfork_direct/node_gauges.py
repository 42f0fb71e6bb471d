"""Gauges and counters that read the parts of a node."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import chain

from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.forwarding import CarrierService
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.peers import PeerClient, PeerServer
from cowslipfork_direct.rate_limits import RateLimits
from cowslipfork_direct.view import View


def add_group_gauges(metrics: Metrics, view: View) -> None:
    """Adds what is waiting for endpoints, and the connections to them.

    Args:
        metrics: metrics of the node.
        view: its groups.
    """

    def endpoints() -> Iterator[Endpoint]:
        return chain.from_iterable(
            group.endpoints.values() for group in view.groups.values()
        )

    metrics.add_gauge(
        'waiting',
        'Statements that wait for a connection.',
        'group',
        lambda: {
            group.name: group.queue.waiting for group in view.groups.values()
        },
    )
    metrics.add_gauge(
        'connections',
        'Open connections to endpoints.',
        'endpoint',
        lambda: {endpoint.id: endpoint.open_links for endpoint in endpoints()},
    )
    metrics.add_counter(
        'connections_opened',
        'Connections opened to endpoints.',
        'endpoint',
        lambda: {endpoint.id: endpoint.pool.opened for endpoint in endpoints()},
    )
    metrics.add_counter(
        'connections_evicted',
        'Connections closed for the sake of another workspace.',
        'endpoint',
        lambda: {
            endpoint.id: endpoint.pool.evicted for endpoint in endpoints()
        },
    )


def add_store_gauges(
    metrics: Metrics, last_answer_at: Callable[[], float]
) -> None:
    """Adds the age of what this node knows of the store.

    Args:
        metrics: metrics of the node.
        last_answer_at: returns the boot time up to which the store's changes
            are known; minus infinity before the first answer.
    """
    metrics.add_gauge(
        'store_answer_age_seconds',
        'Time since the last answer of the store to a list or a watch.',
        'call',
        lambda: {'list_or_watch': boot_time() - last_answer_at()},
    )


def add_peer_gauges(
    metrics: Metrics, peers: PeerClient, peer_server: PeerServer
) -> None:
    """Adds the links between this node and others.

    Args:
        metrics: metrics of the node.
        peers: links that this node has opened.
        peer_server: links that others have opened.
    """
    metrics.add_gauge(
        'peer_links',
        'Open links between this node and others.',
        'opened_by',
        lambda: {
            'this_node': peers.open_links,
            'others': peer_server.open_links,
        },
    )


def add_forwarding_gauges(metrics: Metrics, service: CarrierService) -> None:
    """Adds the open work of other nodes.

    Args:
        metrics: metrics of the node.
        service: executes what other nodes forward to this one.
    """
    metrics.add_gauge(
        'forwarded_open',
        'Statements and transactions of other nodes that are open here.',
        'kind',
        lambda: {
            'statements': service.running_statements,
            'transactions': service.open_transactions,
        },
    )


def add_rate_limit_counters(metrics: Metrics, rate_limits: RateLimits) -> None:
    """Adds refused operations, and those granted without a limiter.

    Args:
        metrics: metrics of the node.
        rate_limits: rate limits that the node applies.
    """
    refusals = rate_limits.refusals
    metrics.add_counter(
        'rate_limited',
        'Operations refused because of a rate limit.',
        'workspace',
        lambda: refusals.by_workspace,
    )
    metrics.add_counter(
        'fallback_grants',
        'Operations that this node granted without a limiter.',
        'granted_by',
        lambda: {'fallback': refusals.fallback_grants},
    )
