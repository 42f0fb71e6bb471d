"""One node's state and steps at the size that letter 1 asks for."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from google.protobuf.message import Message

from cowslipfork.ids import (
    FailureDomain,
    GroupName,
    Incarnation,
    RegionName,
    VmId,
)
from cowslipfork.membership import (
    ListedVm,
    Members,
    Report,
    VmLocation,
    carrier_of,
)
from cowslipfork.membership.carrier_table import CarrierTable
from cowslipfork.membership.link import Link
from cowslipfork.membership.member import MemberState
from cowslipfork.membership.memory import MemoryNetwork, MemoryStream
from cowslipfork.membership.topology import neighbours_of, relays_of
from cowslipfork.record_sync import HeldRecord, LocalRecords, read_record
from cowslipfork.record_sync.fetch import answer_fetch
from cowslipfork.record_sync.record import (
    ENDPOINTS_PREFIX,
    GROUPS_PREFIX,
    VMS_PREFIX,
)
from cowslipfork.wire import node_pb2, records_pb2

NODES: Final = 1900
GROUPS: Final = 3700
SERVERS: Final = 3
DOMAINS: Final = 15
REGIONS: Final = 7

_ROUNDS: Final = 20
_TELL_ALL: Final = 200
_MS: Final = 1000
_MIB: Final = 2**20


@dataclass(frozen=True, slots=True)
class Step:
    """Cost of one step.

    Attributes:
        name: what is done.
        milliseconds: processor time of one.
        size: bytes of the message that it makes; 0 for none.
    """

    name: str
    milliseconds: float
    size: int = 0


def measure_state() -> tuple[float, list[Step]]:
    """Builds the state of a node at full size and times its steps.

    Returns:
        Mebibytes of the state, and the steps.
    """
    tracemalloc.start()
    members = _members()
    local_records = _local_records()
    memory = tracemalloc.get_traced_memory()[0] / _MIB
    tracemalloc.stop()
    return memory, list(_steps(members, local_records))


def _steps(members: Members, local_records: LocalRecords) -> Iterator[Step]:
    own = members.own.location
    locations = [member.report.location for member in members.others.values()]
    listed = {
        location.vm: ListedVm(location, f'{location.vm}:1')
        for location in locations
    }
    home = [location for location in locations if location.region == own.region]
    yield _time('tick of the members', lambda: members.tick(0))
    yield _time(
        'neighbours chosen anew',
        lambda: neighbours_of(own, locations),
    )
    yield _time('relays chosen anew', lambda: relays_of(locations))
    yield _time(
        "platform's list joined", lambda: members.apply_vm_list(listed, 0)
    )
    yield _time(
        'carriers of all groups of a region chosen anew',
        lambda: [
            carrier_of(GroupName(f'group-{number}'), home, own.region)
            for number in range(GROUPS // REGIONS)
        ],
    )
    table = CarrierTable(own.region)
    table.set_locations(home)
    for group in range(GROUPS // REGIONS):
        table.carrier_of(GroupName(f'group-{group}'))
    yield _time(
        'a VM gone and come back in the table of carriers',
        partial(_go_and_come, table, home),
    )
    yield from _messages(members, local_records)


def _go_and_come(table: CarrierTable, home: list[VmLocation]) -> None:
    table.set_locations(home[1:])
    table.set_locations(home)


def _messages(members: Members, local_records: LocalRecords) -> Iterator[Step]:
    network = MemoryNetwork()
    link = Link(members, local_records, MemoryStream(network, 'a', 'b'))
    # As many heartbeats as tell a new neighbour everything.
    told = [link.build_heartbeat(0) for _ in range(_TELL_ALL)]
    quiet = told[-1]
    yield _time(
        'heartbeat without news made', lambda: link.build_heartbeat(0), quiet
    )
    full = node_pb2.FetchRequest(digests=[0 for _ in local_records.digests])
    reply = answer_fetch(local_records, full)
    yield _time(
        'page of a fetch answered',
        lambda: answer_fetch(local_records, full),
        reply,
    )
    yield _time(
        'page of a fetch applied (all known)',
        lambda: [
            local_records.apply(_read(message)) for message in reply.records
        ],
        reply,
    )
    request = node_pb2.FetchRequest(digests=local_records.digests)
    yield _time(
        'fetch without differences answered',
        lambda: answer_fetch(local_records, request),
        request,
    )
    yield _report_told(members)


def _report_told(members: Members) -> Step:
    reports = iter(
        [
            replace(
                members.others[VmId('vm0001')].report,
                beat=beat,
                state=MemberState.LIVE,
            )
            for beat in range(10, 10 + 2 * _ROUNDS)
        ],
    )
    return _time(
        'report on a VM joined', lambda: members.apply_report(next(reports), 0)
    )


def _read(message: node_pb2.HeldRecord) -> HeldRecord:
    content = None if message.deleted else message.content
    return read_record(message.key, content, message.major)


def _time(
    name: str,
    step: Callable[[], object],
    message: Message | None = None,
) -> Step:
    step()
    began = time.process_time()
    for _ in range(_ROUNDS):
        step()
    spent = (time.process_time() - began) / _ROUNDS
    return Step(name, _MS * spent, message.ByteSize() if message else 0)


def _members() -> Members:
    members = Members(_report(0), 0)
    for number in range(1, NODES):
        members.apply_report(_report(number), 0)
    return members


def _report(number: int) -> Report:
    domain = number % DOMAINS
    vm = VmId(f'vm{number:04}')
    location = VmLocation(
        vm,
        FailureDomain(f'domain-{domain}'),
        RegionName(f'region-{domain % REGIONS}'),
    )
    held = range(number, GROUPS, NODES)
    carries = frozenset(GroupName(f'group-{group}') for group in held)
    return Report(
        location,
        f'10.{number >> 8}.{number & 255}.1:7000',
        Incarnation(1),
        1,
        carries=carries,
    )


def _local_records() -> LocalRecords:
    local_records = LocalRecords(_fail)
    for group in range(GROUPS):
        record = records_pb2.GroupRecord(
            group=f'group-{group}',
            term=1,
            state=records_pb2.GROUP_STATE_SERVING,
            primary=f'endpoint-{group}-0',
            claimer='vm0001/0123456789abcdef0123456789abcdef',
        )
        _put(local_records, f'{GROUPS_PREFIX}group-{group}', record)
    for number in range(NODES):
        _put(local_records, f'{VMS_PREFIX}vm{number}', _entry(f'vm{number}'))
    for endpoint in range(GROUPS * SERVERS):
        name = f'endpoint-{endpoint // SERVERS}-{endpoint % SERVERS}'
        _put(local_records, f'{ENDPOINTS_PREFIX}{name}', _entry(name))
    return local_records


def _entry(name: str) -> records_pb2.PlatformEntry:
    return records_pb2.PlatformEntry(
        name=name,
        failure_domain='domain-7',
        host='10.20.30.40',
        port=7000,
        state=records_pb2.VM_STATE_LIVE,
    )


def _put(
    local_records: LocalRecords,
    key: str,
    record: records_pb2.GroupRecord | records_pb2.PlatformEntry,
) -> None:
    local_records.apply(read_record(key, record.SerializeToString(), 1))


def _fail(record: object) -> None:
    raise RuntimeError(record)
