"""Holds, demotions and releases take no effect after the next claim."""

import asyncio

import pytest
from direct_fakes.world import run

from cowslipfork.ids import GroupName, Term
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.order_window import (
    MAX_CLAIM_AGE,
    MAX_REFRESH_TIME,
    ORDER_TIMEOUT,
)
from cowslipfork_direct.takeover.claims import Claim
from cowslipfork_direct.takeover.endpoint_orders import EndpointOrders
from cowslipfork_direct.takeover.held_claim import HeldClaim
from cowslipfork_direct.takeover.records import (
    ClaimId,
    Takeover,
    TakeoverKind,
    TakeoverPhase,
)

TAKEOVER = Takeover(
    GroupName('g'),
    Term(2),
    Term(1),
    'e1',
    TakeoverKind.FAILOVER,
    TakeoverPhase.CLAIMED,
    'n1',
    ClaimId('claim'),
)


class FakeClaims:
    """Writes a claim again, unless another node has claimed."""

    def __init__(self, *, lost=False):
        self.lost = lost
        self.writes = 0

    async def advance(self, claim, phase, *_):
        self.writes += 1
        if self.lost:
            return None
        assert phase is claim.takeover.phase
        return Claim(claim.takeover, claim.revision + 1, 7, boot_time())


class FakeMonitor:
    """Sends requests on a link that takes a while to be had."""

    def __init__(self, connecting=0.0):
        self._connecting = connecting
        self.link = FakeLink()

    async def control_all(self, endpoints, action):
        await asyncio.sleep(self._connecting)
        return [await action(self.link) for _ in endpoints]


class FakeLink:
    """Answers nothing; remembers what was sent."""

    def __init__(self):
        self.sent = []

    async def hold(self, term):
        await self._send('hold')

    async def demote(self, term):
        await self._send('demote')

    async def resume(self):
        await self._send('resume')

    async def _send(self, name):
        self.sent.append(name)
        await asyncio.Event().wait()


async def send_all(claims, monitor, age):
    """Sends each kind of request with a claim of some age."""
    orders = (
        lambda orders: orders.hold(['e2'], Term(2)),
        lambda orders: orders.demote('e1', Term(2)),
        lambda orders: orders.resume(['e2']),
    )
    for order in orders:
        claim = Claim(TAKEOVER, 5, 7, boot_time() - age)
        held_claim = HeldClaim(claims, claim)
        try:
            await order(EndpointOrders(held_claim, monitor))
        except TimeoutError:
            continue
    return monitor.link.sent


@pytest.mark.parametrize(
    ('age', 'lost', 'writes', 'sent'),
    [
        (0, True, 0, ['hold', 'demote', 'resume']),
        (2 * MAX_CLAIM_AGE, False, 3, ['hold', 'demote', 'resume']),
        (2 * MAX_CLAIM_AGE, True, 3, []),
        # Another node may do better than one that makes no progress.
        (MAX_REFRESH_TIME + 0.1, False, 0, []),
    ],
)
def test_each_begins_with_a_recent_claim(age, lost, writes, sent):
    """Guards against a node that acts on beside the one that has claimed."""
    claims = FakeClaims(lost=lost)
    assert run(send_all(claims, FakeMonitor(), age)) == sent
    assert claims.writes == writes


def test_none_is_sent_after_its_deadline():
    """Guards against a request that waited for a connection for long."""
    monitor = FakeMonitor(connecting=ORDER_TIMEOUT + 0.1)
    assert run(send_all(FakeClaims(), monitor, age=0)) == []


def test_each_is_given_up_at_its_deadline():
    async def main():
        begun = boot_time()
        await send_all(FakeClaims(), FakeMonitor(), age=0)
        return boot_time() - begun

    assert run(main()) == pytest.approx(3 * ORDER_TIMEOUT, abs=0.2)


def test_no_claim_is_written_if_no_endpoint_is_reached():
    """Guards against a claimer that keeps others from claiming."""
    claims = FakeClaims()

    async def main():
        claim = Claim(TAKEOVER, 5, 7, boot_time() - 2 * MAX_CLAIM_AGE)
        held_claim = HeldClaim(claims, claim)
        return await EndpointOrders(held_claim, FakeMonitor()).hold([], Term(2))

    assert run(main()) == []
    assert claims.writes == 0
