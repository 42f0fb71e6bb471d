"""Which neighbours a node hears, and which hear it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from cowslipfork.ids import VmId
from cowslipfork.membership.member import ReceivedHeartbeat, Report

_Kept = TypeVar('_Kept')

#: Seconds without a heartbeat after which a neighbour is suspected.
SUSPECT_AFTER = 1.2

#: Seconds until a neighbour that others hear may be suspected again.
DOUBT_PAUSE = 5.0

#: Seconds without a majority after which a node gives up what it carries.
#: Less than the time after which others take over.
CUT_AFTER = 1.5


class HeartbeatMonitor:
    """Heartbeats of the neighbours."""

    def __init__(self, own: VmId) -> None:
        """Starts without neighbours.

        Args:
            own: the node's own name.
        """
        self._own = own
        self._received: dict[VmId, ReceivedHeartbeat] = {}
        self._expected: dict[VmId, float] = {}
        self._doubted_at: dict[VmId, float] = {}

    @property
    def expected(self) -> Iterable[VmId]:
        """VMs whose heartbeats must come to this node."""
        return self._expected.keys()

    def expect(self, neighbours: Iterable[VmId], now: float) -> None:
        """Sets the VMs whose heartbeats must come to this node.

        Args:
            neighbours: VMs with a link to this node.
            now: seconds.
        """
        self._expected = {vm: self._expected.get(vm, now) for vm in neighbours}
        self._received = _only(self._received, self._expected)
        self._doubted_at = _only(self._doubted_at, self._expected)

    def note(
        self,
        report: Report,
        not_received_from: frozenset[VmId],
        now: float,
    ) -> None:
        """Takes in a heartbeat, unless a later one came before.

        Args:
            report: the neighbour about itself.
            not_received_from: VMs that the neighbour should hear and does not.
            now: seconds.
        """
        vm = report.vm
        order = (report.incarnation, report.beat)
        last = self._received.get(vm)
        if last and order <= last.order:
            return
        self._received[vm] = ReceivedHeartbeat(now, order, not_received_from)
        self._expected[vm] = now
        self._doubted_at.pop(vm, None)

    def lose(self, vm: VmId) -> None:
        """Drops what was heard of a VM.

        Args:
            vm: the neighbour.
        """
        self._received.pop(vm, None)

    def start_over(self, now: float) -> None:
        """Drops all that was heard, after the process was stopped.

        Args:
            now: seconds.
        """
        self._received.clear()
        self._expected = dict.fromkeys(self._expected, now)

    def heard_lately(self, vm: VmId, now: float) -> bool:
        """Tells whether a neighbour's heartbeat came.

        Args:
            vm: the neighbour.
            now: seconds.

        Returns:
            Whether it came too lately to be suspected.
        """
        received = self._received.get(vm)
        return received is not None and now - received.at <= SUSPECT_AFTER

    def silent(self, now: float) -> frozenset[VmId]:
        """Names the neighbours that cannot be relied on to be in touch.

        Args:
            now: seconds.

        Returns:
            Neighbours that this node does not hear, or that do not hear it.
        """
        return frozenset(
            vm for vm in self._expected if not self._mutual(vm, now)
        )

    def not_received_from(self, now: float) -> frozenset[VmId]:
        """Names the neighbours that this node does not hear.

        Args:
            now: seconds.

        Returns:
            VMs without a heartbeat for long enough to be suspected.
        """
        return frozenset(
            vm
            for vm, last in self._expected.items()
            if now - last > SUSPECT_AFTER
        )

    def doubt(self, now: float) -> list[VmId]:
        """Names the neighbours to suspect now.

        Others may hear a VM that this node does not. Without a pause the
        fleet would carry doubt and refutation for as long as the cut lasts.

        Args:
            now: seconds.

        Returns:
            Silent VMs that were not suspected a short time ago.
        """
        doubted = [
            vm
            for vm in self.not_received_from(now)
            if now - self._doubted_at.get(vm, -DOUBT_PAUSE) >= DOUBT_PAUSE
        ]
        self._doubted_at.update(dict.fromkeys(doubted, now))
        return doubted

    def _mutual(self, vm: VmId, now: float) -> bool:
        received = self._received.get(vm)
        return (
            received is not None
            and now - received.at <= CUT_AFTER
            and self._own not in received.not_received_from
        )


def _only(
    table: dict[VmId, _Kept],
    wanted: Iterable[VmId],
) -> dict[VmId, _Kept]:
    return {vm: table[vm] for vm in wanted if vm in table}
