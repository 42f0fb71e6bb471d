"""The carriers of each group as this node sees them."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from cowslipfork.ids import GroupName, VmId, WorkspaceName
from cowslipfork_direct.carriers import (
    NodeTraits,
    carriers_of,
    preferred,
    ranked,
)

log = logging.getLogger(__name__)


class CarrierTable:
    """Carriers by group, kept until the list of nodes changes."""

    def __init__(
        self,
        entry: VmId,
        candidates: Callable[[], Mapping[VmId, NodeTraits]],
        count: int,
    ) -> None:
        """Starts without groups.

        Args:
            entry: this node.
            candidates: returns the nodes that may be carriers.
            count: wanted number of carriers of a group.
        """
        self._entry = entry
        self._candidates = candidates
        self._count = count
        self._carriers: dict[GroupName, tuple[VmId, ...]] = {}
        self._orders: dict[
            tuple[GroupName, WorkspaceName | None], tuple[VmId, ...]
        ] = {}

    @property
    def entry(self) -> VmId:
        """This node."""
        return self._entry

    def carriers(self, group: GroupName) -> tuple[VmId, ...]:
        """Returns the carriers of a group, best first; none without nodes."""
        if group not in self._carriers:
            nodes = self._candidates()
            self._carriers[group] = carriers_of(group, nodes, self._count)
        return self._carriers[group]

    def is_carrier(self, group: GroupName) -> bool:
        """Returns whether this node is a carrier of a group."""
        return self._entry in self.carriers(group)

    def try_order(
        self, group: GroupName, workspace: WorkspaceName | None
    ) -> tuple[VmId, ...]:
        """Returns the nodes to which a statement may be sent, best first.

        These are the carriers, as many further nodes, and this node.

        Args:
            group: group of the statement.
            workspace: workspace of the caller; None without workspaces.
        """
        key = (group, workspace)
        if key not in self._orders:
            self._orders[key] = self._order(group, workspace)
        return self._orders[key]

    def refresh(self) -> None:
        """Chooses again; to be called when the list of nodes has changed."""
        before = dict(self._carriers)
        self._carriers.clear()
        self._orders.clear()
        for group, carriers in before.items():
            chosen = self.carriers(group)
            if chosen != carriers:
                log.info(
                    'carriers_changed',
                    extra={'group': group, 'carriers': ','.join(chosen)},
                )

    def _order(
        self, group: GroupName, workspace: WorkspaceName | None
    ) -> tuple[VmId, ...]:
        nodes = self._candidates()
        first = preferred(
            group, self.carriers(group), nodes, self._entry, workspace
        )
        standby = ranked(group, nodes)[self._count : 2 * self._count]
        return tuple(dict.fromkeys((*first, *standby, self._entry)))
