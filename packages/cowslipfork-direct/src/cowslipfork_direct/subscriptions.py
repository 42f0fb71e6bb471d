"""Subscriptions that keep the view current with the platform's store.

They cover the operators' configuration and the endpoints' entries.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from expression import Result

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import EndpointId
from cowslipfork.store import Event
from cowslipfork_direct.listing import EndpointListing, ListedEndpoint
from cowslipfork_direct.routes import RoutingTable
from cowslipfork_direct.store_watcher import Subscription
from cowslipfork_direct.view import View

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StoreSchema:
    """Keys and decoders of the platform's values in the store.

    Attributes:
        configuration_key: key of the configuration.
        listing_prefix: prefix of the keys of endpoints' entries.
        decode_configuration: decodes the configuration.
        decode_entry: decodes an endpoint's entry, given its key and content.
    """

    configuration_key: str
    listing_prefix: str
    decode_configuration: Callable[
        [bytes],
        Result[RoutingTable, CowslipforkError],
    ]
    decode_entry: Callable[
        [str, bytes],
        Result[ListedEndpoint, CowslipforkError],
    ]


def configuration_subscription(
    store_schema: StoreSchema, view: View
) -> Subscription:
    """Returns a subscription that applies each valid configuration.

    Args:
        store_schema: key and decoder of the configuration.
        view: the view whose routing table is replaced.
    """

    def on_events(events: Sequence[Event]) -> None:
        # The prefix also matches keys that only begin like this one.
        key = store_schema.configuration_key
        contents = [event.content for event in events if event.key == key]
        if contents:
            apply(contents[-1])

    def apply(content: bytes | None) -> None:
        if content is None:
            log.error('configuration_missing')
            return
        decoded = store_schema.decode_configuration(content)
        if decoded.is_error():
            cause = str(decoded.error)
            log.error('configuration_unreadable', extra={'cause': cause})
            return
        table = decoded.ok
        before = view.table.revision
        log.info(
            'configuration_read',
            extra={
                'revision': table.revision,
                'before': before,
                'routes': len(table.routes),
                'in_force': view.adopt(table),
            },
        )

    return Subscription(store_schema.configuration_key, on_events)


def listing_subscription(store_schema: StoreSchema, view: View) -> Subscription:
    """Returns a subscription that applies changes of endpoints' entries.

    Args:
        store_schema: key prefix and decoder of the entries.
        view: the view whose endpoints are updated.
    """
    listing = EndpointListing()

    def on_events(events: Sequence[Event]) -> None:
        for event in events:
            name = EndpointId(
                event.key.removeprefix(store_schema.listing_prefix)
            )
            if event.content is None:
                log.info('endpoint_gone', extra={'endpoint': name})
                listing.remove(name)
                continue
            decoded = store_schema.decode_entry(event.key, event.content)
            if decoded.is_error():
                cause = str(decoded.error)
                log.warning('entry_unreadable', extra={'cause': cause})
                listing.remove(name)
            elif event.restored:
                listing.restore(decoded.ok)
            else:
                listing.add(decoded.ok)
                _log_listed(decoded.ok)
        view.update_endpoints(listing.listed)

    return Subscription(store_schema.listing_prefix, on_events)


def _log_listed(listed: ListedEndpoint) -> None:
    log.info(
        'endpoint_listed',
        extra={
            'endpoint': listed.endpoint,
            'group': listed.group,
            'role': listed.role.value,
            'leaving': listed.leaving,
            'born': listed.born,
        },
    )
