"""What the operators and the endpoints write, brought into the view."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from expression import Result

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import EndpointId
from cowslipfork.store import Event
from cowslipfork_direct.listing import ListedEndpoint
from cowslipfork_direct.routes import RoutingTable
from cowslipfork_direct.store_watcher import Subscription
from cowslipfork_direct.view import View

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StoreSchema:
    """Where the platform keeps what a node follows, and how it is read.

    Attributes:
        configuration_key: key of the configuration.
        listing_prefix: prefix of the endpoints' entries.
        decode_configuration: reads the configuration.
        decode_entry: reads an entry, given its key.
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


def configuration_feed(store_schema: StoreSchema, view: View) -> Subscription:
    """Brings each readable configuration into force.

    Args:
        store_schema: how it is read.
        view: where it comes into force.
    """

    def take(events: Sequence[Event]) -> None:
        content = events[-1].content
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

    return Subscription(store_schema.configuration_key, take)


def listing_feed(store_schema: StoreSchema, view: View) -> Subscription:
    """Brings the endpoints' entries into the view.

    Args:
        store_schema: how they are read.
        view: where they are kept.
    """
    listed: dict[EndpointId, ListedEndpoint] = {}

    def take(events: Sequence[Event]) -> None:
        for event in events:
            name = EndpointId(
                event.key.removeprefix(store_schema.listing_prefix)
            )
            listed.pop(name, None)
            if event.content is None:
                log.info('endpoint_gone', extra={'endpoint': name})
                continue
            decoded = store_schema.decode_entry(event.key, event.content)
            if decoded.is_error():
                cause = str(decoded.error)
                log.warning('entry_unreadable', extra={'cause': cause})
                continue
            listed[name] = decoded.ok
            _log_listed(decoded.ok)
        view.list_endpoints(listed)

    return Subscription(store_schema.listing_prefix, take)


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
