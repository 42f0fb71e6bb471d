"""Makes endpoints replicate from the published primary of their group."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress

from cowslipfork.groups._evidence import leads, required_majority_mark
from cowslipfork.groups.port import EndpointRole, EndpointSilent, TermRefused
from cowslipfork.groups.record import GroupRecord
from cowslipfork.groups.tracker import Tracker
from cowslipfork.ids import EndpointId, Term

log = logging.getLogger(__name__)

#: Multiple of the probe time-out within which an endpoint must have brought
#: its log in line with its new primary's.
FOLLOW_TIMEOUTS = 3


async def maintain_replication(
    tracker: Tracker,
    begin_term: Callable[[EndpointId, Term], Awaitable[None]],
) -> None:
    """Runs one task for each endpoint until cancelled.

    Args:
        tracker: samples of the group.
        begin_term: writes the first entry of a term on the term's primary.
    """
    async with asyncio.TaskGroup() as tasks:
        for endpoint in tracker.controls:
            tasks.create_task(_maintain(tracker, endpoint, begin_term))


async def _maintain(
    tracker: Tracker,
    endpoint: EndpointId,
    begin_term: Callable[[EndpointId, Term], Awaitable[None]],
) -> None:
    while True:
        record = tracker.record
        if record.serving and not tracker.silent_seconds(endpoint):
            with suppress(EndpointSilent, TermRefused):
                if endpoint == record.primary:
                    await _begin_term_if_needed(tracker, record, begin_term)
                else:
                    await _attach_replica(tracker, record, endpoint)
        await tracker.wait_for_new_record(tracker.failover.probe_interval)


async def _begin_term_if_needed(
    tracker: Tracker,
    record: GroupRecord,
    begin_term: Callable[[EndpointId, Term], Awaitable[None]],
) -> None:
    status = tracker.status(record.primary)
    if status is None or not leads(status, record.term):
        return
    if status.mark < required_majority_mark(record.term, status.mark):
        await begin_term(record.primary, record.term)


async def _attach_replica(
    tracker: Tracker,
    record: GroupRecord,
    endpoint: EndpointId,
) -> None:
    """Makes an endpoint a replica; fences it first in an earlier term.

    The record's primary is never fenced here: its sample may be older than
    its promotion.
    """
    status = tracker.status(endpoint)
    if status is None or status.term > record.term:
        return
    if status.term == record.term and status.role is not EndpointRole.FENCED:
        return
    control = tracker.controls[endpoint]
    timeout = tracker.failover.probe_timeout
    if status.term < record.term:
        await control.fence(record.term, timeout)
    await control.follow(
        record.term,
        record.primary,
        timeout * FOLLOW_TIMEOUTS,
    )
    log.info(
        'endpoint follows',
        extra={
            'group': record.group,
            'term': record.term,
            'primary': record.primary,
            'endpoint': endpoint,
        },
    )
