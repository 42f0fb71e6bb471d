"""Reads: run on an endpoint that provably meets the reading rule."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import takewhile

from expression import Result

from cowslipfork.configuration import Kind, RequestClass
from cowslipfork.groups import Tracker
from cowslipfork.ids import EndpointId, Mark, Term
from cowslipfork.outcomes import Done, NotRun, Outcome, Reason
from cowslipfork.reads import Candidate, Need, candidates, choose, need_of
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


@dataclass(frozen=True, slots=True)
class Read:
    """A read and how it may be served.

    Attributes:
        floor: highest mark of the session; None if it is not known.
        avoided: endpoints that failed this read; grows with each try.
    """

    request: Request
    kind: Kind
    request_class: RequestClass
    floor: Mark | None
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
    need = need_of(read.kind.reads, read.floor)
    chosen = await choose(
        tracker,
        need,
        grants.queue.load,
        read.request.deadline,
        primary_reads=read.kind.primary_reads,
    )
    match chosen:
        case Result(tag='ok', ok=found):
            offer = _offer(read, need, found, tracker, grants)
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
    need: Need,
    found: tuple[Candidate, ...],
    tracker: Tracker,
    grants: Grants,
) -> Wanted:
    """Offers endpoints to the queue, asked again as slots become free."""

    def proved() -> Iterable[Candidate]:
        # A proved age grows while the read waits; a reached floor stays.
        if need.max_age is None:
            return found
        return candidates(
            tracker,
            need,
            grants.queue.load,
            primary_reads=read.kind.primary_reads,
        )

    def offered() -> list[Candidate]:
        return _preferred(
            [item for item in proved() if item.endpoint not in read.avoided],
        )

    return Wanted(
        read.request_class,
        lambda: tuple(item.endpoint for item in offered()),
        _term_of(offered, tracker),
        read.request.deadline,
    )


def _term_of(
    offered: Callable[[], list[Candidate]],
    tracker: Tracker,
) -> Callable[[EndpointId], Term]:
    def term_of(endpoint: EndpointId) -> Term:
        terms = {item.endpoint: item.term for item in offered()}
        return terms.get(endpoint, tracker.record.term)

    return term_of


def _preferred(offered: list[Candidate]) -> list[Candidate]:
    """Keeps the best standing only: a read waits for a replica's slot.

    Slots of the primary are left to writes while a replica may answer.
    """
    best = [item.standing for item in offered[:1]]
    return list(takewhile(lambda item: item.standing in best, offered))


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
