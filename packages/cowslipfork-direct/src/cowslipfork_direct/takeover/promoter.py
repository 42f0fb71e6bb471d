"""Carries out one change of primary, step by step."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from typing import Final

from cowslipfork.ids import EndpointId, Mark, Term, VmId
from cowslipfork.store import LeasingStore, StoreDown
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.endpoint import Endpoint
from cowslipfork_direct.fleet import Fleet
from cowslipfork_direct.group import Group
from cowslipfork_direct.link import EndpointRole, EndpointStatus, Link
from cowslipfork_direct.lookout import Lookout
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.promotion import Order, OrderResult, Promotions
from cowslipfork_direct.standing import ENDPOINTS_VALIDITY, LEASE_VALIDITY
from cowslipfork_direct.takeover.board import Board
from cowslipfork_direct.takeover.claims import Claim, Claims
from cowslipfork_direct.takeover.records import Kind, Phase, Takeover
from cowslipfork_direct.waiting import first_of

log = logging.getLogger(__name__)

#: Seconds that nodes get to say that they have stopped.
WORD_TIMEOUT: Final = 0.25

#: Seconds that they get before a handover, where they let work end first.
HANDOVER_WORD_TIMEOUT: Final = 0.6

#: Seconds for a replica to receive all of a primary that is handed over.
CATCH_UP: Final = 1.0

#: Seconds between two questions for that, and between two other tries.
STEP_PAUSE: Final = 0.05

#: Seconds after which a takeover that can't go on is given up.
GIVE_UP_AFTER: Final = 8.0

#: Greatest age in seconds of a claim's last write when an order is sent. Who
#: takes a takeover over from another node waits ``LAPSE`` longer.
CLAIM_YOUNG: Final = 0.5

#: Seconds for the candidate to lead after the order was accepted.
EFFECT_TIMEOUT: Final = 4.0


@dataclass(frozen=True, slots=True)
class Tools:
    """What a promoter works with.

    Attributes:
        node: this node.
        board: records as the store tells them.
        fleet: all nodes.
        store: ends leases.
        claims: writes the record.
        promotions: gives orders to the platform.
        metrics: counts the steps.
    """

    node: VmId
    board: Board
    fleet: Fleet
    store: LeasingStore
    claims: Claims
    promotions: Promotions
    metrics: Metrics


class Promoter:
    """One takeover that this node has claimed."""

    def __init__(
        self,
        tools: Tools,
        group: Group,
        lookout: Lookout,
        claim: Claim,
    ) -> None:
        """Starts after the claim was written.

        Args:
            tools: what it works with.
            group: whose primary changes.
            lookout: asks its endpoints.
            claim: the takeover.
        """
        self._tools = tools
        self._group = group
        self._lookout = lookout
        self._claim = claim
        self._give_up_at = boot_time() + GIVE_UP_AFTER

    @property
    def _takeover(self) -> Takeover:
        return self._claim.takeover

    async def run(self) -> None:
        """Promotes a replica, or gives the takeover up."""
        if await self._stop_old_primary():
            await self._promote()
        else:
            await self._abandon()

    async def _stop_old_primary(self) -> bool:
        """Makes sure that nothing is acknowledged from the old primary.

        Returns:
            Whether it is sure.
        """
        if self._takeover.kind is Kind.HANDOVER:
            if await self._all_stopped(HANDOVER_WORD_TIMEOUT):
                return True
            if await self._demote_old():
                return True
        return await self._fence()

    async def _fence(self) -> bool:
        """Holds the replicas and waits until every node has stopped.

        A node stops when it sees the record, or when its proofs lapse: those
        of its lease, which is ended here, and those of endpoints, a majority
        of which is held here.
        """
        while boot_time() < self._give_up_at:
            fenced, words = await asyncio.gather(
                self._hold_replicas(),
                self._all_stopped(WORD_TIMEOUT),
            )
            if words:
                return True
            enough = len(self._group.endpoints) - self._group.majority + 1
            if fenced >= enough and await self._let_proofs_lapse():
                return True
            log.warning(
                'takeover_waits',
                extra={
                    'group': self._group.name,
                    'fenced': fenced,
                    'enough': enough,
                },
            )
            await asyncio.sleep(STEP_PAUSE)
        return False

    async def _all_stopped(self, timeout: float) -> bool:
        """Waits until the living nodes have said that they stopped.

        Returns:
            Whether all registered nodes have; those without a lease are not
            waited for, though they count.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._until_living_stopped()
        return not self._not_stopped()

    async def _until_living_stopped(self) -> None:
        news = self._tools.board.news
        while self._not_stopped() & self._tools.fleet.alive:
            await news.wait()
            news = self._tools.board.news

    def _not_stopped(self) -> frozenset[VmId]:
        stopped = self._tools.board.stopped(self._takeover)
        return frozenset(self._tools.fleet.registered) - stopped

    async def _let_proofs_lapse(self) -> bool:
        """Waits until nodes that did not say so must have stopped as well.

        Returns:
            Whether they have.
        """
        silent = self._not_stopped()
        try:
            validity = await self._end_leases(silent)
        except StoreDown as error:
            log.warning('lease_not_ended', extra={'cause': str(error)})
            return False
        log.warning(
            'leases_ended',
            extra={
                'group': self._group.name,
                'nodes': ','.join(sorted(silent)),
                'wait': validity,
            },
        )
        await asyncio.sleep(validity)
        return True

    async def _end_leases(self, silent: frozenset[VmId]) -> float:
        """Ends the leases of nodes.

        Returns:
            Seconds for which they may still hold a proof. A lease that ran
            out was renewed for the last time long ago; one that another
            takeover has ended, perhaps not.
        """
        registered = self._tools.fleet.registered
        ended = [
            await self._tools.store.end(registered[node].lease)
            for node in silent
        ]
        others = self._tools.board.seen_within(
            LEASE_VALIDITY,
            besides=self._group.name,
        )
        return LEASE_VALIDITY if others or any(ended) else ENDPOINTS_VALIDITY

    async def _hold_replicas(self) -> int:
        """Holds all replicas; counts endpoints that take nothing from X."""
        old = self._takeover.old
        replicas = [
            endpoint for endpoint in self._answering() if endpoint.id != old
        ]
        term = self._fence_term()
        held = await self._control(replicas, _hold(term))
        demoted = 0
        former = self._group.endpoints.get(old) if old else None
        if former is not None and former.silent_since is None:
            demoted = int(await self._demote_old())
        return demoted + sum(
            status is not None and status.held_term >= term for status in held
        )

    def _fence_term(self) -> Term:
        """Term at which endpoints are fenced: above all that they are in."""
        return max(self._takeover.term, Term(self._group.highest_term + 1))

    async def _demote_old(self) -> bool:
        old = self._takeover.old
        endpoint = self._group.endpoints.get(old) if old else None
        if endpoint is None:
            return False
        term = self._fence_term()
        status = await self._lookout.control(endpoint, _demote(term))
        return status is not None and status.role is EndpointRole.REPLICA

    async def _control(
        self,
        endpoints: Iterable[Endpoint],
        action: Callable[[Link], Awaitable[EndpointStatus | None]],
    ) -> list[EndpointStatus | None]:
        asked = [
            self._lookout.control(endpoint, action) for endpoint in endpoints
        ]
        return list(await asyncio.gather(*asked))

    def _answering(self) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._group.endpoints.values()
            if endpoint.silent_since is None
        ]

    async def _promote(self) -> None:
        refused: set[EndpointId] = set()
        while boot_time() < self._give_up_at:
            candidate = await self._candidate(refused)
            if candidate is None:
                refused.clear()
                await asyncio.sleep(STEP_PAUSE)
                continue
            result = await self._order(candidate)
            if result is OrderResult.ACCEPTED:
                await self._finish(candidate)
                return
            if result is OrderResult.NOT_RUNNING:
                refused.add(candidate)
            if self._lost_claim():
                return
            await asyncio.sleep(STEP_PAUSE)
        log.error('takeover_stuck', extra={'group': self._group.name})

    async def _candidate(self, refused: set[EndpointId]) -> EndpointId | None:
        """Chooses the replica that has received most."""
        handover = self._takeover.kind is Kind.HANDOVER
        if handover:
            await self._await_catch_up(refused)
        received = {
            endpoint.id: self._received(endpoint.id)
            for endpoint in self._answering()
            if endpoint.id not in refused
            and (endpoint.id != self._takeover.old or not handover)
        }
        known = {
            name: mark for name, mark in received.items() if mark is not None
        }
        if not known:
            return None
        return max(known, key=lambda name: (known[name], self._stays(name)))

    def _stays(self, name: EndpointId) -> bool:
        endpoint = self._group.endpoints[name]
        return not endpoint.listed.leaving

    def _received(self, name: EndpointId) -> Mark | None:
        finding = self._group.finding(name)
        if finding is None or finding.status.role is EndpointRole.PRIMARY:
            return None
        return finding.status.received

    async def _await_catch_up(self, refused: set[EndpointId]) -> None:
        """Waits until a replica has received all of the old primary."""
        until = boot_time() + CATCH_UP
        while boot_time() < until:
            await asyncio.gather(
                *map(self._lookout.inspect, self._answering()),
            )
            old = self._takeover.old
            finding = self._group.finding(old) if old else None
            received = [
                self._received(endpoint.id)
                for endpoint in self._answering()
                if endpoint.id != old and endpoint.id not in refused
            ]
            if finding is None or any(
                mark is not None and mark >= finding.status.received
                for mark in received
            ):
                return
            await asyncio.sleep(STEP_PAUSE)

    async def _order(self, candidate: EndpointId) -> OrderResult:
        """Has the platform promote a candidate."""
        if (
            self._takeover.phase is not Phase.ORDERED
            or self._takeover.candidate != candidate
            or not self._may_order()
        ):
            advanced = await self._tools.claims.advance(
                self._claim,
                Phase.ORDERED,
                candidate,
            )
            if advanced is None:
                return OrderResult.TRY_AGAIN
            self._claim = advanced
        if not self._may_order():
            # This node was frozen meanwhile, and another may have gone on.
            return OrderResult.TRY_AGAIN
        order = Order(
            self._group.name,
            candidate,
            self._tools.node,
            self._claim.fence,
        )
        result = await self._tools.promotions.order(order)
        self._tools.metrics.takeover(f'order_{result.value}')
        log.warning(
            'promotion_ordered',
            extra={
                'group': self._group.name,
                'candidate': candidate,
                'term': self._takeover.term,
                'fence': self._claim.fence,
                'result': result.value,
            },
        )
        return result

    def _may_order(self) -> bool:
        """Tells whether the claim is young and its fence the newest known."""
        young = boot_time() - self._claim.confirmed_at <= CLAIM_YOUNG
        return young and self._tools.claims.fence_of(self._claim) > 0

    async def _finish(self, candidate: EndpointId) -> None:
        """Waits until the candidate leads and records it."""
        until = boot_time() + EFFECT_TIMEOUT
        while boot_time() < until and not self._led():
            await first_of(self._group.news, timeout=STEP_PAUSE)
        if not self._led():
            log.error(
                'promotion_without_effect',
                extra={'group': self._group.name, 'candidate': candidate},
            )
            return
        self._tools.metrics.takeover('done')
        leader = self._group.leader
        advanced = await self._tools.claims.advance(
            self._claim,
            Phase.DONE,
            term=leader.term if leader else None,
        )
        if advanced is not None:
            self._claim = advanced

    def _led(self) -> bool:
        leader = self._group.leader
        return leader is not None and leader.endpoint == (
            self._takeover.candidate
        )

    def _lost_claim(self) -> bool:
        posted = self._tools.board.takeover(self._group.name)
        return (
            posted is not None and posted.takeover.claim != self._takeover.claim
        )

    async def _abandon(self) -> None:
        """Gives the takeover up before anything was ordered."""
        self._tools.metrics.takeover('abandoned')
        log.warning('takeover_abandoned', extra={'group': self._group.name})
        await self._tools.claims.advance(self._claim, Phase.ABANDONED)
        await self._control(self._answering(), _resume)


def _hold(
    term: Term,
) -> Callable[[Link], Awaitable[EndpointStatus | None]]:
    async def hold(link: Link) -> EndpointStatus | None:
        return await link.hold(term)

    return hold


def _demote(
    term: Term,
) -> Callable[[Link], Awaitable[EndpointStatus | None]]:
    async def demote(link: Link) -> EndpointStatus | None:
        return await link.demote(term)

    return demote


async def _resume(link: Link) -> EndpointStatus | None:
    return await link.resume()
