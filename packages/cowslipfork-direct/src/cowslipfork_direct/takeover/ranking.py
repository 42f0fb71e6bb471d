"""Order in which nodes write a record of a group."""

from __future__ import annotations

from typing import Final

from cowslipfork.ids import GroupName
from cowslipfork.weights import rendezvous_weight
from cowslipfork_direct.takeover.takeover_context import TakeoverContext

#: Seconds that each node waits for the node ranked before it to write.
DELAY_PER_RANK: Final = 0.08


def write_delay(context: TakeoverContext, group: GroupName) -> float:
    """Returns the seconds after which this node writes if no other has.

    The holder of the duty ranks first.

    Args:
        context: dependencies of a takeover's steps.
        group: group of the record, of which this node is a supervisor.
    """
    duty = context.takeover_cache.duty
    holder = duty.holder if duty else None
    if holder == context.node:
        return 0
    alive = context.supervisors(group)
    others = sorted(
        alive - {holder}, key=lambda node: rendezvous_weight(group, node)
    )
    offset = int(holder in alive)
    return DELAY_PER_RANK * (offset + others.index(context.node))
