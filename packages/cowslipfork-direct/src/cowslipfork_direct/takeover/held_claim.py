"""A claim of this node while it carries the takeover out."""

from __future__ import annotations

from cowslipfork.ids import EndpointId, Term
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.order_window import MAX_REFRESH_TIME, order_deadline
from cowslipfork_direct.takeover.claims import Claim, Claims
from cowslipfork_direct.takeover.records import Takeover, TakeoverPhase


class HeldClaim:
    """The claim as last written; it is written again when it is needed."""

    def __init__(self, claims: Claims, claim: Claim) -> None:
        """Starts with a claim that is already written.

        Args:
            claims: writes the takeover's record.
            claim: the claim.
        """
        self._claims = claims
        self._claim = claim
        self._progressed_at = claim.confirmed_at

    @property
    def takeover(self) -> Takeover:
        """The takeover's record as last written."""
        return self._claim.takeover

    @property
    def fence(self) -> int:
        """Fencing token; 0 if another node may have a newer one."""
        return self._claims.fence_of(self._claim)

    @property
    def deadline(self) -> float | None:
        """Boot time after which a call that begins now must not arrive.

        None if the claim is too old for a call to begin.
        """
        return order_deadline(self._claim.confirmed_at, boot_time())

    async def advance(
        self,
        phase: TakeoverPhase,
        candidate: EndpointId | None = None,
        term: Term | None = None,
    ) -> bool:
        """Writes the progress of the takeover; see ``Claims.advance``.

        Returns:
            Whether it was written; if not, another node may have claimed.
        """
        written = await self._write(phase, candidate, term)
        if written:
            self._progressed_at = self._claim.confirmed_at
        return written

    async def refresh(self) -> float | None:
        """Writes the claim again if it is too old for a call.

        Not for long without progress: other nodes could not claim meanwhile.

        Returns:
            As ``deadline``; None if the claim is still too old.
        """
        without_progress = boot_time() - self._progressed_at
        if self.deadline is None and without_progress <= MAX_REFRESH_TIME:
            await self._write(self.takeover.phase)
        return self.deadline

    async def _write(
        self,
        phase: TakeoverPhase,
        candidate: EndpointId | None = None,
        term: Term | None = None,
    ) -> bool:
        advanced = await self._claims.advance(
            self._claim, phase, candidate, term
        )
        if advanced is not None:
            self._claim = advanced
        return advanced is not None
