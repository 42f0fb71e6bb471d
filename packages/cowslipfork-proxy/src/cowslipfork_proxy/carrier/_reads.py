"""Reads: run on an endpoint that provably meets the reading rule."""

from __future__ import annotations

import asyncio
from collections.abc import Container, Sequence
from dataclasses import dataclass, field
from typing import Final

from expression import Result

from cowslipfork.configuration import Kind, RequestClass
from cowslipfork.groups import Tracker
from cowslipfork.ids import EndpointId, Mark, Term
from cowslipfork.outcomes import Done, NotRun, Outcome, Reason
from cowslipfork.reads import (
    Candidate,
    ReadRequirement,
    candidates,
    choose_endpoints,
    read_requirement,
)
from cowslipfork.requests import Answer, Request
from cowslipfork_proxy.carrier._grants import (
    RECONNECT_MS,
    Grant,
    Grants,
    Wanted,
    not_granted,
)
from cowslipfork_proxy.carrier._writes import refusal, remaining
from cowslipfork_proxy.endpoints import ConnectionBroken, EndpointRefused

#: Seconds for which a proof of age is used again.
_PROOF_KEPT: Final = 0.005


@dataclass(frozen=True, slots=True)
class Read:
    """A read and how it may be served.

    Attributes:
        session_mark: highest mark of the session; None if it is not known.
        max_waiting: most reads of the group that wait for a silent primary.
        avoided: endpoints that failed this read; grows with each try.
    """

    request: Request
    kind: Kind
    request_class: RequestClass
    session_mark: Mark | None
    max_waiting: int
    avoided: set[EndpointId] = field(default_factory=set)


async def run_read(
    read: Read,
    tracker: Tracker,
    grants: Grants,
) -> Outcome[Answer]:
    """Runs a read once.

    Args:
        read: the read.
        tracker: samples of the group.
        grants: slots and connections.

    Returns:
        Done with rows still to be read; or why not.
    """
    requirement = read_requirement(read.kind.reads, read.session_mark)
    chosen = await choose_endpoints(
        tracker,
        requirement,
        grants.queue.load,
        read.request.deadline,
        primary_reads=read.kind.primary_reads,
        max_waiting_reads=read.max_waiting,
    )
    match chosen:
        case Result(tag='ok', ok=found):
            offer = _offer(read, requirement, found, tracker, grants)
        case Result(error=refused):
            return refused
    if not offer.candidates():
        return NotRun(
            Reason.NO_FRESH_ENDPOINT,
            RECONNECT_MS,
            'every endpoint that may answer failed',
        )
    grant = await grants.grant(offer)
    if not isinstance(grant, Grant):
        if not isinstance(grant, NotRun):
            read.avoided.add(grant.endpoint)
        return not_granted(grant)
    return await _stream(read, grant)


def _offer(
    read: Read,
    requirement: ReadRequirement,
    found: tuple[Candidate, ...],
    tracker: Tracker,
    grants: Grants,
) -> Wanted:
    """Offers endpoints to the queue, asked again as slots become free."""
    loop = asyncio.get_running_loop()
    proved_at = loop.time()
    offered = _preferred(found, read.avoided)

    def offer() -> Sequence[EndpointId]:
        nonlocal offered, proved_at
        # A proved age grows while the read waits; a reached mark stays.
        if (
            requirement.max_age is not None
            and loop.time() > proved_at + _PROOF_KEPT
        ):
            proved_at = loop.time()
            again = candidates(
                tracker,
                requirement,
                grants.queue.load,
                primary_reads=read.kind.primary_reads,
            )
            offered = _preferred(again, read.avoided)
        return tuple(offered)

    def term_of(endpoint: EndpointId) -> Term:
        return offered[endpoint]

    return Wanted(read.request_class, offer, term_of, read.request.deadline)


def _preferred(
    found: Sequence[Candidate],
    avoided: Container[EndpointId],
) -> dict[EndpointId, Term]:
    """Keeps the best preference only: a read waits for a replica's slot.

    Slots of the primary are left to writes while a replica may answer.
    """
    able = [item for item in found if item.endpoint not in avoided]
    best = able[0].preference if able else None
    return {
        item.endpoint: item.term for item in able if item.preference is best
    }


async def _stream(read: Read, grant: Grant) -> Outcome[Answer]:
    """Runs the statement; the grant ends with its rows."""
    streaming = False
    request = read.request
    try:
        answer = await grant.connection.stream(request.sql, remaining(request))
        streaming = True
    except EndpointRefused as refused:
        return refusal(refused)
    except ConnectionBroken as broken:
        read.avoided.add(broken.endpoint)
        return NotRun(Reason.CONNECTION_LOST, RECONNECT_MS, broken.cause)
    finally:
        if not streaming:
            grant.release()
    return Done(grant.until_read(answer))
