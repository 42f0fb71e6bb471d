"""Subscriptions that keep the view current with the platform's store.

They cover the operators' configuration and the endpoints' entries.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from expression import Result

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import EndpointId
from cowslipfork.store import Event
from cowslipfork_direct.listing import (
    LAPSE_GRACE,
    EndpointListing,
    Lapse,
    ListedEndpoint,
)
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


def listing_subscription(
    store_schema: StoreSchema, view: View, on_unreadable: Callable[[], None]
) -> Subscription:
    """Returns a subscription that applies changes of endpoints' entries.

    Args:
        store_schema: key prefix and decoder of the entries.
        view: the view whose endpoints are updated.
        on_unreadable: called for each entry that describes no endpoint.
    """
    reader = _ListingReader(store_schema, view, on_unreadable)
    return Subscription(store_schema.listing_prefix, reader.apply_events)


class _ListingReader:
    """Applies changes of endpoints' entries to a listing and a view."""

    def __init__(
        self,
        store_schema: StoreSchema,
        view: View,
        on_unreadable: Callable[[], None],
    ) -> None:
        """Starts without entries.

        Args:
            store_schema: key prefix and decoder of the entries.
            view: the view whose endpoints are updated.
            on_unreadable: called for each entry that describes no endpoint.
        """
        self._on_unreadable = on_unreadable
        self._store_schema = store_schema
        self._view = view
        self._listing = EndpointListing()

    def apply_events(self, events: Sequence[Event]) -> None:
        """Applies changes read from the store by a watch or a list."""
        for event in events:
            name = EndpointId(
                event.key.removeprefix(self._store_schema.listing_prefix)
            )
            if event.content is None:
                self._apply_removal(name, final=event.restored)
            else:
                self._apply_entry(name, event, event.content)
        self._view.update_endpoints(self._listing.listed)

    def _apply_entry(
        self, name: EndpointId, event: Event, content: bytes
    ) -> None:
        decoded = self._store_schema.decode_entry(event.key, content)
        if decoded.is_error():
            cause = str(decoded.error)
            log.warning(
                'entry_unreadable', extra={'key': event.key, 'cause': cause}
            )
            self._on_unreadable()
            self._listing.remove(name)
        elif event.restored:
            self._listing.restore(decoded.ok)
        else:
            self._listing.add(decoded.ok)
            _log_listed(decoded.ok)

    def _apply_removal(self, name: EndpointId, *, final: bool) -> None:
        lapse = None if final else self._listing.begin_lapse(name)
        log.info(
            'endpoint_gone',
            extra={'endpoint': name, 'lapsed': lapse is not None},
        )
        if lapse is None:
            self._listing.remove(name)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(LAPSE_GRACE, self._end_lapse, lapse)

    def _end_lapse(self, lapse: Lapse) -> None:
        self._listing.end_lapse(lapse)
        self._view.update_endpoints(self._listing.listed)


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
