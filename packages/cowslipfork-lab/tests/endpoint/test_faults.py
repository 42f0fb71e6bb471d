"""Which packets the faults of an endpoint let through."""

from __future__ import annotations

import asyncio

import pytest

from cowslipfork_lab.endpoint.faults import (
    NEVER_BLOCKED,
    Faults,
    Partition,
)

FIRST = 1


def frozen(faults):
    faults.freeze(frozen=True)


def cut(partition):
    def apply(faults):
        faults.set_partition(partition)

    return apply


def silent(faults):
    faults.block_connections_below(below=FIRST + 1)


async def passes(faults, connection, *, peer):
    passage = asyncio.create_task(
        faults.wait_while_blocked(connection, peer=peer)
    )
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return passage.done(), passage


@pytest.mark.parametrize(
    ('fault', 'old', 'new', 'peer'),
    [
        (frozen, False, False, False),
        (cut(Partition.CALLERS), False, False, True),
        (cut(Partition.PEERS), True, True, False),
        (cut(Partition.ALL), False, False, False),
        (silent, False, True, True),
    ],
)
async def test_faults_stop_the_right_packets(fault, old, new, peer):
    faults = Faults()
    fault(faults)
    passages = [
        await passes(faults, FIRST, peer=False),
        await passes(faults, FIRST + 1, peer=False),
        await passes(faults, NEVER_BLOCKED, peer=True),
    ]
    assert [passed for passed, _ in passages] == [old, new, peer]
    faults.freeze(frozen=False)
    faults.set_partition(Partition.NONE)
    healed = [one for _, one in passages if fault is not silent]
    await asyncio.gather(*healed)
    for _, passage in passages:
        passage.cancel()
