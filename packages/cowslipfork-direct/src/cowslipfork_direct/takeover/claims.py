"""Claims of takeovers in the store, by compare-and-swap."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final
from uuid import uuid4

from cowslipfork.ids import EndpointId, GroupName, Term, VmId
from cowslipfork.store import (
    Compare,
    Event,
    LeasingStore,
    Put,
    StoreDown,
    StoreUncertain,
)
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.takeover.records import (
    DUTY_KEY,
    ClaimId,
    Duty,
    Takeover,
    TakeoverKind,
    TakeoverPhase,
    encode,
    takeover_key,
)
from cowslipfork_direct.takeover.takeover_cache import TakeoverCache

log = logging.getLogger(__name__)

#: Tries to find out what became of a write whose answer was lost.
READ_BACKS: Final = 5

#: Seconds between two of them.
READ_BACK_PAUSE: Final = 0.1


@dataclass(frozen=True, slots=True)
class Claim:
    """A takeover that this node carries out.

    Attributes:
        takeover: its record as last written.
        revision: revision of that record.
        fence: revision of the duty's record.
        confirmed_at: boot time before the last write of the record.
    """

    takeover: Takeover
    revision: int
    fence: int
    confirmed_at: float


class Claims:
    """Writes this node's claims."""

    def __init__(
        self, node: VmId, takeover_cache: TakeoverCache, store: LeasingStore
    ) -> None:
        """Claims nothing yet.

        Args:
            node: this node.
            takeover_cache: what is known of the records.
            store: where they are.
        """
        self._node = node
        self._takeover_cache = takeover_cache
        self._store = store

    async def claim(
        self,
        group: GroupName,
        kind: TakeoverKind,
        old: EndpointId | None,
        observed_term: Term,
    ) -> Claim | None:
        """Claims a takeover and the duty to give orders.

        Args:
            group: whose primary changes.
            kind: why.
            old: who led before.
            observed_term: highest term that an endpoint was heard to be in.

        Returns:
            The claim; None if another node was first or the store is away.
        """
        cached = self._takeover_cache.takeover(group)
        claim_id = ClaimId(uuid4().hex)
        led, ceiling = _terms(
            cached.takeover if cached else None, observed_term
        )
        takeover = Takeover(
            group,
            Term(led + 1),
            ceiling,
            old,
            kind,
            TakeoverPhase.CLAIMED,
            self._node,
            claim_id,
        )
        fence = self._takeover_cache.duty_revision if self._holds_duty() else 0
        puts = [
            Put(takeover_key(group), encode(takeover)),
            *self._take_duty(claim_id, fence),
        ]
        begun = boot_time()
        revision = await self._swap(
            (
                Compare(takeover_key(group), cached.revision if cached else 0),
                Compare(DUTY_KEY, self._takeover_cache.duty_revision),
            ),
            puts,
            takeover,
        )
        if not revision:
            return None
        return Claim(takeover, revision, fence or revision, begun)

    async def advance(
        self,
        claim: Claim,
        phase: TakeoverPhase,
        candidate: EndpointId | None = None,
        term: Term | None = None,
    ) -> Claim | None:
        """Writes how far a takeover has come.

        An order needs the duty, which another node may have taken meanwhile
        for another group; it is then taken back with a greater fence.

        Args:
            claim: the takeover.
            phase: its new phase.
            candidate: the new primary, once chosen.
            term: the term that it leads, once it does.

        Returns:
            The claim as it stands now; None if it was lost.
        """
        takeover = replace(
            claim.takeover,
            phase=phase,
            candidate=candidate or claim.takeover.candidate,
            term=term or claim.takeover.term,
        )
        begun = boot_time()
        key = takeover_key(takeover.group)
        compares = [Compare(key, claim.revision)]
        puts = [Put(key, encode(takeover))]
        fence = claim.fence
        if phase is TakeoverPhase.ORDERED:
            fence = self.fence_of(claim)
            compares.append(
                Compare(DUTY_KEY, self._takeover_cache.duty_revision)
            )
            puts.extend(self._take_duty(takeover.claim, fence))
        revision = await self._swap(compares, puts, takeover)
        if not revision:
            return None
        return Claim(takeover, revision, fence or revision, begun)

    def fence_of(self, claim: Claim) -> int:
        """Gives the fence under which a claim may order; 0 if it lost it."""
        held = claim.fence == self._takeover_cache.duty_revision
        return claim.fence if held else 0

    def _holds_duty(self) -> bool:
        duty = self._takeover_cache.duty
        return duty is not None and duty.holder == self._node

    def _take_duty(self, claim_id: ClaimId, fence: int) -> list[Put]:
        """Gives the write that takes the duty, if it is not held already."""
        if fence:
            return []
        return [Put(DUTY_KEY, encode(Duty(self._node, claim_id)))]

    async def _swap(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        takeover: Takeover,
    ) -> int:
        """Writes a record; finds out whether it did after a lost answer.

        Returns:
            Revision of the record; 0 if it is not this one.
        """
        try:
            swapped = await self._store.swap(compares, puts)
        except StoreUncertain:
            return await self._read_back(takeover)
        except StoreDown as error:
            log.info('claim_refused', extra={'cause': str(error)})
            return 0
        if not swapped.succeeded:
            log.info('claim_lost', extra={'group': takeover.group})
            return 0
        self._takeover_cache.apply_events(
            [Event(put.key, put.content, swapped.revision) for put in puts],
        )
        return swapped.revision

    async def _read_back(self, takeover: Takeover) -> int:
        """Reads the record until it is known whether it was written.

        A write that has not been seen may still come; it then stands in the
        store as this node's claim and is taken up by its supervision.
        """
        key = takeover_key(takeover.group)
        for _ in range(READ_BACKS):
            try:
                entry = await self._store.get(key)
            except StoreDown as error:
                log.info('claim_unknown', extra={'cause': str(error)})
                await asyncio.sleep(READ_BACK_PAUSE)
                continue
            if entry is not None and entry.content == encode(takeover):
                event = Event(key, entry.content, entry.revision)
                self._takeover_cache.apply_events([event])
                return entry.revision
            return 0
        return 0


def _terms(last: Takeover | None, observed_term: Term) -> tuple[Term, Term]:
    """Gives what is known of the terms that were led so far.

    Args:
        last: last takeover of the group.
        observed_term: highest term that an endpoint was heard to be in.

    Returns:
        A term that was led for certain, and the greatest that may have been:
        an order whose effect nobody saw may have made one more primary.
    """
    if last is None or last.phase is TakeoverPhase.ABANDONED:
        return observed_term, observed_term
    if last.phase is TakeoverPhase.DONE:
        led = max(observed_term, last.term)
        return led, led
    unseen = int(last.phase is TakeoverPhase.ORDERED)
    return observed_term, max(observed_term, Term(last.ceiling + unseen))
