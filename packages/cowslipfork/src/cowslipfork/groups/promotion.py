"""Claims a term, fences a majority in it and promotes the highest log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from enum import Enum, unique

from expression import Error, Ok, Result

from cowslipfork.errors import CowslipforkError
from cowslipfork.groups._evidence import majority_of
from cowslipfork.groups.port import (
    EndpointControl,
    EndpointSilent,
    EndpointStatus,
    TermRefused,
)
from cowslipfork.groups.record import (
    ClaimerId,
    GroupRecord,
    PublishRefused,
    RecordInvalid,
)
from cowslipfork.groups.record_store import (
    RecordConflict,
    StoredRecord,
    claim_record,
    publish_record,
)
from cowslipfork.ids import EndpointId, Term
from cowslipfork.store import Store, StoreDown

#: Seconds to wait until a majority is fenced.
FENCE_TIMEOUT = 2.0
#: Seconds to wait, once a majority is fenced, for one that includes no endpoint
#: to be avoided.
FENCE_GRACE = 0.1
#: Seconds between attempts to fence an endpoint that refuses connections or
#: does not answer.
FENCE_RETRY_DELAY = 0.05
#: Attempts without an answer after which the promotion of the chosen endpoint
#: fails.
PROMOTE_ATTEMPTS = 3


@unique
class ClaimFailure(Enum):
    """Why a claim published no primary."""

    #: The store did not answer, or its answer was no valid record.
    STORE_DOWN = 'store_down'
    #: Another claimer holds a later term.
    SUPERSEDED = 'superseded'
    NO_MAJORITY = 'no_majority'
    #: The endpoint to promote stopped answering; no other endpoint may become
    #: primary in the term.
    CHOSEN_SILENT = 'chosen_silent'


class TooFewFenced(CowslipforkError):
    """No majority of endpoints was fenced in time."""

    def __init__(self, term: Term, fenced: int) -> None:
        """Describes the failed fencing.

        Args:
            term: the claimed term.
            fenced: number of endpoints that were fenced.
        """
        super().__init__(
            f'{fenced} fenced endpoints are no majority in term {term}',
        )
        self.term = term
        self.fenced = fenced


@dataclass(frozen=True, slots=True)
class ClaimContext:
    """Dependencies and parameters of a claim.

    Attributes:
        claimer: name of this process.
        controls: control interfaces of all endpoints of the group.
        timeout: time-out of a group statement in seconds.
        announce: called with the new record after each change of it.
    """

    store: Store
    claimer: ClaimerId
    controls: Mapping[EndpointId, EndpointControl]
    timeout: float
    announce: Callable[[GroupRecord], None]


async def promote_another(
    context: ClaimContext,
    before: StoredRecord,
    avoid: Collection[EndpointId] = (),
) -> Result[GroupRecord, ClaimFailure]:
    """Claims the next term and publishes a primary for it.

    The claimer may crash or be paused at any point: the state that it leaves
    is safe, and a claim of a further term completes the promotion.

    Args:
        context: what to work with.
        before: the record as just read from the store.
        avoid: endpoints that are not promoted if the others that were fenced
            are a majority.

    Returns:
        The published record, or the reason why none was published.
    """
    try:
        return Ok(await _promote_another(context, before, avoid))
    except CowslipforkError as error:
        failure = _failure_of(error)
        if failure is None:
            raise
        return Error(failure)


def _failure_of(error: CowslipforkError) -> ClaimFailure | None:
    match error:
        case StoreDown() | RecordInvalid():
            return ClaimFailure.STORE_DOWN
        case RecordConflict() | PublishRefused() | TermRefused():
            return ClaimFailure.SUPERSEDED
        case TooFewFenced():
            return ClaimFailure.NO_MAJORITY
        case EndpointSilent():
            return ClaimFailure.CHOSEN_SILENT
    return None


async def _promote_another(
    context: ClaimContext,
    before: StoredRecord,
    avoid: Collection[EndpointId],
) -> GroupRecord:
    claimed = await claim_record(context.store, before, context.claimer)
    context.announce(claimed.record)
    term = claimed.record.term
    fenced = await _fence_majority(context, term, avoid)
    chosen = choose_primary(fenced, avoid, majority_of(len(context.controls)))
    await _promote(context, chosen, term)
    published = await publish_record(
        context.store,
        claimed,
        context.claimer,
        chosen,
    )
    context.announce(published.record)
    return published.record


def choose_primary(
    fenced: Collection[EndpointStatus],
    avoid: Collection[EndpointId],
    majority: int,
) -> EndpointId:
    """Returns the endpoint with the highest mark among a majority.

    The highest mark of any majority covers every acknowledged write, so
    endpoints to be avoided are left out if the others are a majority.

    Args:
        fenced: statuses of the fenced endpoints, a majority or more.
        avoid: endpoints that should not be promoted.
        majority: size of the smallest majority of the group.

    Returns:
        The endpoint to promote.
    """
    eligible = [
        status
        for status in fenced
        if status.endpoint not in avoid and not status.leaving
    ]
    return max(
        eligible if len(eligible) >= majority else fenced,
        key=lambda status: (status.mark, status in eligible, status.endpoint),
    ).endpoint


async def _fence_majority(
    context: ClaimContext,
    term: Term,
    avoid: Collection[EndpointId],
) -> list[EndpointStatus]:
    """Fences endpoints until a majority is fenced.

    Raises:
        TermRefused: an endpoint is in a later term.
        TooFewFenced: no majority was fenced in time.
    """
    loop = asyncio.get_running_loop()
    majority = majority_of(len(context.controls))
    give_up_at = loop.time() + FENCE_TIMEOUT
    pending = {
        asyncio.create_task(_fence(context, endpoint, term))
        for endpoint in context.controls
    }
    fenced: list[EndpointStatus] = []
    try:
        while pending and loop.time() < give_up_at:
            done, pending = await asyncio.wait(
                pending,
                timeout=give_up_at - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            fenced.extend(task.result() for task in done)
            eligible = sum(status.endpoint not in avoid for status in fenced)
            if eligible >= majority:
                break
            if len(fenced) >= majority:
                give_up_at = min(give_up_at, loop.time() + FENCE_GRACE)
    finally:
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
    if len(fenced) < majority:
        raise TooFewFenced(term, len(fenced))
    return fenced


async def _fence(
    context: ClaimContext,
    endpoint: EndpointId,
    term: Term,
) -> EndpointStatus:
    control = context.controls[endpoint]
    while True:
        try:
            return await control.fence(term, context.timeout)
        except EndpointSilent:
            await asyncio.sleep(FENCE_RETRY_DELAY)


async def _promote(
    context: ClaimContext,
    chosen: EndpointId,
    term: Term,
) -> None:
    """Promotes the chosen endpoint; tries the same one again without answer.

    Raises:
        TermRefused: a later term was claimed.
        EndpointSilent: no attempt was answered.
    """
    for attempt in range(1, PROMOTE_ATTEMPTS + 1):
        try:
            await context.controls[chosen].promote(term, context.timeout)
        except EndpointSilent:
            if attempt == PROMOTE_ATTEMPTS:
                raise
        else:
            return
