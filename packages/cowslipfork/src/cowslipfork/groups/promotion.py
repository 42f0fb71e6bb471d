"""A claim: fences a majority in a new term and promotes the highest log."""

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

#: Seconds for which a majority is waited for.
FENCE_PATIENCE = 2.0
#: Seconds that a majority waits for one without endpoints to be avoided.
FENCE_GRACE = 0.1
#: Seconds between fences of an endpoint that refuses connections.
FENCE_PACE = 0.05
#: Lost answers after which the promotion of the chosen endpoint is given up.
PROMOTE_ATTEMPTS = 3


@unique
class ClaimFailure(Enum):
    """Why a claim published no primary."""

    #: The store did not answer, or not with a record.
    STORE_DOWN = 'store_down'
    #: Another claimer holds a later term.
    SUPERSEDED = 'superseded'
    NO_MAJORITY = 'no_majority'
    #: The endpoint to promote fell silent; nobody else may lead the term.
    CHOSEN_SILENT = 'chosen_silent'


class TooFewFenced(CowslipforkError):
    """No majority of endpoints answered a fence in time."""

    def __init__(self, term: Term, fenced: int) -> None:
        """Remembers how many answered.

        Args:
            term: the claimed term.
            fenced: endpoints that answered.
        """
        super().__init__(f'{fenced} endpoints fenced in term {term}')
        self.term = term
        self.fenced = fenced


@dataclass(frozen=True, slots=True)
class ClaimContext:
    """What a claim works with.

    Attributes:
        claimer: name of this process.
        controls: all endpoints of the group.
        timeout: seconds for a group statement.
        announce: called with the record after each change of it.
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
    """Claims the next term and gives it a primary.

    The claimer may die or be paused anywhere in here: what it left is safe,
    and a further term finishes the work.

    Args:
        context: what to work with.
        before: the record as just read from the store.
        avoid: endpoints that should not lead, if a majority is there
            without them.

    Returns:
        The published record, or why there is none.
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
    """Chooses the endpoint with the highest mark of a majority.

    The highest of any majority has every acknowledged write, so endpoints to
    be avoided are left out if a majority remains.

    Args:
        fenced: answers of a majority or more.
        avoid: endpoints that should not lead.
        majority: smallest majority of the group.

    Returns:
        The endpoint to promote.
    """
    able = [
        status
        for status in fenced
        if status.endpoint not in avoid and not status.leaving
    ]
    return max(
        able if len(able) >= majority else fenced,
        key=lambda status: (status.mark, status in able, status.endpoint),
    ).endpoint


async def _fence_majority(
    context: ClaimContext,
    term: Term,
    avoid: Collection[EndpointId],
) -> list[EndpointStatus]:
    """Fences endpoints until a majority has answered.

    Raises:
        TermRefused: an endpoint is in a later term.
        TooFewFenced: no majority answered in time.
    """
    loop = asyncio.get_running_loop()
    majority = majority_of(len(context.controls))
    patience = loop.time() + FENCE_PATIENCE
    pending = {
        asyncio.create_task(_fence(context, endpoint, term))
        for endpoint in context.controls
    }
    fenced: list[EndpointStatus] = []
    try:
        while pending and loop.time() < patience:
            done, pending = await asyncio.wait(
                pending,
                timeout=patience - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            fenced.extend(task.result() for task in done)
            able = sum(status.endpoint not in avoid for status in fenced)
            if able >= majority:
                break
            if len(fenced) >= majority:
                patience = min(patience, loop.time() + FENCE_GRACE)
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
            await asyncio.sleep(FENCE_PACE)


async def _promote(
    context: ClaimContext,
    chosen: EndpointId,
    term: Term,
) -> None:
    """Promotes the chosen endpoint; after a lost answer the same again.

    Raises:
        TermRefused: a later term was claimed.
        EndpointSilent: all answers were lost.
    """
    for attempt in range(1, PROMOTE_ATTEMPTS + 1):
        try:
            await context.controls[chosen].promote(term, context.timeout)
        except EndpointSilent:
            if attempt == PROMOTE_ATTEMPTS:
                raise
        else:
            return
