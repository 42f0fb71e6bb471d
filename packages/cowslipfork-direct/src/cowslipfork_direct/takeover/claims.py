"""Claims takeovers in the store by compare-and-swap."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Final
from uuid import uuid4

from cowslipfork.ids import EndpointId, GroupName, Term, VmId
from cowslipfork.store import (
    Compare,
    EraEnded,
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
from cowslipfork_direct.takeover.takeover_cache import (
    CachedTakeover,
    TakeoverCache,
)

log = logging.getLogger(__name__)

#: Bits of a fencing token that hold the revision of the duty's record; the
#: others count the eras of the store.
REVISION_BITS: Final = 40

#: Attempts to read a record back after the answer to its write was lost.
READ_BACK_ATTEMPTS: Final = 5

#: Seconds between two such attempts.
READ_BACK_INTERVAL: Final = 0.1


@dataclass(frozen=True, slots=True)
class Claim:
    """A takeover that this node has claimed.

    Attributes:
        takeover: its record as last written.
        revision: revision of that record.
        fence: fencing token, which follows from the duty's record.
        confirmed_at: boot time before the last write of the record.
    """

    takeover: Takeover
    revision: int
    fence: int
    confirmed_at: float


class Claims:
    """Writes this node's claims to the store."""

    def __init__(
        self,
        node: VmId,
        takeover_cache: TakeoverCache,
        store: LeasingStore,
        era_count: Callable[[], int],
    ) -> None:
        """Starts without a claim.

        Args:
            node: this node.
            takeover_cache: cache of the takeover records; updated after
                each write.
            store: store of the records.
            era_count: returns how many times the store has returned
                from an older copy.
        """
        self._node = node
        self._takeover_cache = takeover_cache
        self._store = store
        self._era_count = era_count

    async def claim(
        self,
        group: GroupName,
        kind: TakeoverKind,
        old: EndpointId | None,
        observed_term: Term,
    ) -> Claim | None:
        """Claims a takeover and the duty to order promotions.

        Args:
            group: group whose primary changes.
            kind: why the primary changes.
            old: previous primary, if known.
            observed_term: highest term that an endpoint has reported.

        Returns:
            The claim; None if another node wrote first or the store did not
            confirm the write.
        """
        cached = self._takeover_cache.takeover(group)
        claim_id = ClaimId(uuid4().hex)
        led, ceiling = _led_terms(
            cached.takeover if cached else None, observed_term
        )
        if self._takeover_cache.has_unreadable(group):
            # It may be that of an order whose effect was never observed.
            ceiling = Term(ceiling + 1)
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
        held_revision = self._takeover_cache.duty_revision
        fence = self._fence(held_revision) if self._holds_duty() else 0
        puts = [
            Put(takeover_key(group), encode(takeover)),
            *self._duty_puts(claim_id, fence),
        ]
        begun = boot_time()
        revision = await self._swap(
            (
                Compare(
                    takeover_key(group),
                    self._takeover_cache.record_revision(group),
                ),
                Compare(DUTY_KEY, held_revision),
            ),
            puts,
            takeover,
        )
        if not revision:
            return None
        fence = fence or self._fence(revision)
        return Claim(takeover, revision, fence, begun)

    async def advance(
        self,
        claim: Claim,
        phase: TakeoverPhase,
        candidate: EndpointId | None = None,
        term: Term | None = None,
    ) -> Claim | None:
        """Writes the progress of a takeover.

        An order requires the duty. If another node has acquired the duty
        meanwhile for another group, this node acquires it again, with a higher
        fencing token.

        Args:
            claim: the claimed takeover.
            phase: its new phase.
            candidate: the new primary, once chosen.
            term: the term that the candidate leads, once it is primary.

        Returns:
            The updated claim; None if another node wrote first or the store
            did not confirm the write.
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
            puts.extend(self._duty_puts(takeover.claim, fence))
        revision = await self._swap(compares, puts, takeover)
        if not revision:
            return None
        fence = fence or self._fence(revision)
        return Claim(takeover, revision, fence, begun)

    async def record_effect(self, cached: CachedTakeover, term: Term) -> None:
        """Records that the candidate of an ordered takeover is primary.

        Args:
            cached: the takeover, perhaps claimed by another node or by an
                earlier process of this one.
            term: the term that the candidate leads.
        """
        claim = Claim(cached.takeover, cached.revision, 0, boot_time())
        await self.advance(claim, TakeoverPhase.DONE, term=term)

    async def write_lost(self) -> None:
        """Writes takeovers again of which the store has lost the record.

        Raises:
            StoreDown: the store did not answer.
        """
        for cached in self._takeover_cache.lost_takeovers:
            takeover = cached.takeover
            key = takeover_key(takeover.group)
            content = encode(takeover)
            revision = self._takeover_cache.record_revision(takeover.group)
            swapped = await self._store.swap(
                (Compare(key, revision),),
                (Put(key, content),),
            )
            if swapped.succeeded:
                cached.revision = swapped.revision
                cached.lost = False
                log.warning(
                    'takeover_written_again',
                    extra={
                        'group': takeover.group,
                        'phase': takeover.phase.value,
                        'revision': swapped.revision,
                    },
                )

    def fence_of(self, claim: Claim) -> int:
        """Returns the fencing token of a claim's orders.

        Args:
            claim: the claimed takeover.

        Returns:
            The token; 0 if the duty's record has changed since.
        """
        held = claim.fence == self._fence(self._takeover_cache.duty_revision)
        return claim.fence if held else 0

    def _fence(self, duty_revision: int) -> int:
        """Returns the fencing token of a holder of the duty.

        Revisions of the store fall when it returns from an older copy; the
        token may not.

        Args:
            duty_revision: revision of the holder's record.
        """
        return (self._era_count() << REVISION_BITS) + duty_revision

    def _holds_duty(self) -> bool:
        duty = self._takeover_cache.duty
        return duty is not None and duty.holder == self._node

    def _duty_puts(self, claim_id: ClaimId, fence: int) -> list[Put]:
        """Returns the writes that acquire the duty; none if it is held.

        Args:
            claim_id: id of the claim that requires the duty.
            fence: fencing token of the duty if this node holds it, else 0.
        """
        if fence:
            return []
        return [Put(DUTY_KEY, encode(Duty(self._node, claim_id)))]

    async def _swap(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        takeover: Takeover,
    ) -> int:
        """Writes a record and reads it back if the answer was lost.

        Returns:
            Revision of the record; 0 if it was not written, or if that could
            not be confirmed.
        """
        try:
            swapped = await self._store.swap(compares, puts)
        except EraEnded as error:
            log.warning('claim_outdated', extra={'cause': str(error)})
            return 0
        except StoreUncertain:
            return await self._read_back(takeover)
        except StoreDown as error:
            log.info('claim_failed', extra={'cause': str(error)})
            return 0
        if not swapped.succeeded:
            log.info('claim_lost', extra={'group': takeover.group})
            return 0
        self._takeover_cache.apply_events(
            [Event(put.key, put.content, swapped.revision) for put in puts],
        )
        return swapped.revision

    async def _read_back(self, takeover: Takeover) -> int:
        """Reads the record back to find out whether it was written.

        A write that is not visible yet may still take effect. The store then
        holds it as this node's claim, and this node's primary supervisor
        resumes it.
        """
        key = takeover_key(takeover.group)
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                entry = await self._store.get(key)
            except StoreDown as error:
                log.info('claim_not_read_back', extra={'cause': str(error)})
                await asyncio.sleep(READ_BACK_INTERVAL)
                continue
            if entry is not None and entry.content == encode(takeover):
                event = Event(key, entry.content, entry.revision)
                self._takeover_cache.apply_events([event])
                return entry.revision
            return 0
        return 0


def _led_terms(
    last: Takeover | None,
    observed_term: Term,
) -> tuple[Term, Term]:
    """Returns which terms have had, and may have had, a primary.

    Args:
        last: last takeover of the group.
        observed_term: highest term that an endpoint has reported.

    Returns:
        The highest term that certainly had a primary, and the highest that may
        have had one: an order whose effect was never observed may have
        promoted one more primary. An abandoned takeover has promoted none, but
        the one that goes on may have been promoted by an earlier order.
    """
    if last is None:
        return observed_term, observed_term
    if last.phase is TakeoverPhase.ABANDONED:
        return observed_term, max(observed_term, last.ceiling)
    if last.phase is TakeoverPhase.DONE:
        led = max(observed_term, last.term)
        return led, led
    unobserved = int(last.phase is TakeoverPhase.ORDERED)
    led = max(observed_term, Term(last.term - 1))
    return led, max(led, Term(last.ceiling + unobserved))
