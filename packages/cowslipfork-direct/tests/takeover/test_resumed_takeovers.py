"""When a node resumes a takeover that nobody seems to carry out any more."""

import asyncio
from types import SimpleNamespace

import pytest
from direct_fakes.world import run, world

from cowslipfork.ids import EndpointId, GroupName, Term, VmId
from cowslipfork.store import Event
from cowslipfork_direct.order_window import CLAIM_EXPIRY
from cowslipfork_direct.takeover import PrimarySupervisor, TakeoverCache
from cowslipfork_direct.takeover.records import (
    ClaimId,
    Takeover,
    TakeoverKind,
    TakeoverPhase,
    encode,
    takeover_key,
)

GROUP = GroupName('g')


def takeover_of(claimer, phase):
    return Takeover(
        GROUP,
        Term(2),
        Term(1),
        EndpointId('e1'),
        TakeoverKind.FAILOVER,
        phase,
        VmId(claimer),
        ClaimId('claim'),
        EndpointId('e2'),
    )


@pytest.mark.parametrize(
    ('claimer', 'phase', 'after', 'resumed'),
    [
        ('n1', TakeoverPhase.CLAIMED, 0, True),
        # An order of an earlier process of this node may yet take effect.
        ('n1', TakeoverPhase.ORDERED, CLAIM_EXPIRY - 0.1, False),
        ('n1', TakeoverPhase.ORDERED, CLAIM_EXPIRY + 0.1, True),
        ('n2', TakeoverPhase.CLAIMED, CLAIM_EXPIRY - 0.1, False),
        ('n2', TakeoverPhase.ORDERED, CLAIM_EXPIRY - 0.1, False),
        ('n2', TakeoverPhase.CLAIMED, CLAIM_EXPIRY + 0.1, True),
        ('n2', TakeoverPhase.ORDERED, CLAIM_EXPIRY + 0.1, True),
    ],
)
def test_a_takeover_is_resumed_once_no_order_can_take_effect(
    claimer, phase, after, resumed
):
    """Guards against two nodes, or processes, that order at the same time."""

    async def main():
        async with world(nodes=1) as cluster:
            takeover_cache = TakeoverCache(lambda _: None)
            content = encode(takeover_of(claimer, phase))
            takeover_cache.apply_events(
                [Event(takeover_key(GROUP), content, 1)]
            )
            context = SimpleNamespace(
                takeover_cache=takeover_cache,
                supervisors=lambda _: frozenset(('n1', 'n2')),
                settlement=SimpleNamespace(settled=True),
                node='n1',
            )
            group = cluster.nodes['n1']._view.groups[GROUP]
            supervisor = PrimarySupervisor(context, group, None, None, None)
            await asyncio.sleep(after)
            return supervisor.needed_takeover()

    assert run(main()) is (TakeoverKind.FAILOVER if resumed else None)
