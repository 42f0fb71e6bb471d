"""A link to a neighbour: heartbeats out and in, with news."""

from __future__ import annotations

import asyncio
import random

from cowslipfork.ids import VmId
from cowslipfork.membership.members import Members
from cowslipfork.membership.messages import (
    record_from_wire,
    record_to_wire,
    report_from_wire,
    report_to_wire,
    version_of,
)
from cowslipfork.membership.port import PeerStream
from cowslipfork.record_sync.local_records import LocalRecords
from cowslipfork.record_sync.record import CONFIGURATION_KEY, Version
from cowslipfork.wire import node_pb2

#: Seconds between heartbeats without news.
HEARTBEAT = 0.45

#: Share by which each interval is drawn shorter or longer.
JITTER = 0.1

#: Least seconds between two heartbeats of a link, however much news there is.
SPACING = 0.03

#: Most reports on other VMs in a heartbeat.
REPORTS = 100

#: Most records in a heartbeat.
RECORDS = 100


class Link:
    """What one neighbour has been told.

    The stream keeps order and loses nothing while it lasts, so each change
    is sent once. A new link tells all reports from the beginning; records
    that differ are found by digest and fetched.
    """

    def __init__(
        self,
        members: Members,
        local_records: LocalRecords,
        stream: PeerStream,
    ) -> None:
        """Starts with nothing told.

        Args:
            members: VMs that the node knows.
            local_records: records that the node holds.
            stream: open stream to the neighbour.
        """
        self._members = members
        self._local_records = local_records
        self._stream = stream
        self._news = asyncio.Event()
        self._reports_told = 0
        self._records_told = local_records.changes.last
        self._received: dict[str, Version] = {}
        self._peer: VmId | None = None

    @property
    def peer(self) -> VmId | None:
        """The neighbour, once it said its name."""
        return self._peer

    @property
    def stream(self) -> PeerStream:
        """The open stream."""
        return self._stream

    def wake(self) -> None:
        """Sends the next heartbeat as soon as ``SPACING`` allows."""
        self._news.set()

    async def send_all(self) -> None:
        """Sends heartbeats until the stream ends.

        Raises:
            PeerUnavailable: the stream ended.
        """
        clock = asyncio.get_running_loop().time
        while True:
            self._news.clear()
            await self._stream.send(self.build_heartbeat(clock()))
            await asyncio.sleep(SPACING)
            if self._has_news():
                continue
            pause = HEARTBEAT * random.uniform(1 - JITTER, 1 + JITTER)
            await _wait(self._news, pause - SPACING)

    def build_heartbeat(self, now: float) -> node_pb2.Heartbeat:
        """Builds a heartbeat with what the neighbour was not told.

        Args:
            now: seconds.

        Returns:
            The message.
        """
        own = self._members.next_heartbeat()
        told, vms = self._members.changes.after(self._reports_told, REPORTS)
        self._reports_told = told
        told, keys = self._local_records.changes.after(
            self._records_told, RECORDS
        )
        self._records_told = told
        known = self._members.others
        reports = [known[vm].report for vm in vms if vm != self._peer]
        return node_pb2.Heartbeat(
            sender=own.vm,
            reports=map(report_to_wire, [own, *reports]),
            revision=self._local_records.revision,
            records=self._untold(keys),
            digest=self._local_records.digest,
            deaf_to=sorted(self._members.heartbeats.not_received_from(now)),
        )

    def take_in(self, heartbeat: node_pb2.Heartbeat, now: float) -> None:
        """Applies a heartbeat of the neighbour.

        Args:
            heartbeat: as it was received.
            now: seconds.

        Raises:
            RecordUnreadable: the neighbour passes on what is no record.
        """
        self._peer = VmId(heartbeat.sender)
        own, *others = map(report_from_wire, heartbeat.reports)
        self._members.apply_heartbeat(
            own, frozenset(map(VmId, heartbeat.deaf_to)), now
        )
        for report in others:
            self._members.apply_report(report, now)
        for message in heartbeat.records:
            self._received[message.key] = version_of(message)
            self._local_records.apply(record_from_wire(message))

    def _untold(self, keys: list[str]) -> list[node_pb2.HeldRecord]:
        # A configuration is large: neighbours learn its revision and fetch
        # it from the first that has it.
        records = [
            self._local_records.get(key)
            for key in keys
            if key != CONFIGURATION_KEY
        ]
        return [
            record_to_wire(record)
            for record in records
            if record and self._received.pop(record.key, None) != record.version
        ]

    def _has_news(self) -> bool:
        return (
            self._news.is_set()
            or self._reports_told < self._members.changes.last
            or self._records_told < self._local_records.changes.last
        )


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
