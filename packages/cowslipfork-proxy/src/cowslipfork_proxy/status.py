"""Describes a node and what it knows of others, for operators."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

from cowslipfork.groups import (
    Condition,
    GroupRecord,
    Tracker,
    write_refusal,
)
from cowslipfork.ids import EndpointId, GroupName, VmId
from cowslipfork.membership import Member, Members
from cowslipfork.wire import admin_pb2
from cowslipfork_proxy.carrier import GroupCarrier

#: Age reported for an endpoint about which nothing is proved.
_UNKNOWN_AGE = -1

_MS_PER_SECOND = 1000


def node_statuses(
    members: Members,
    now: float,
) -> Iterator[admin_pb2.NodeStatus]:
    """Describes the VMs of the fleet.

    Args:
        members: VMs that the node knows.
        now: seconds of the event loop's clock.

    Yields:
        A description of each VM, the node itself first.
    """
    others = members.all.values()
    for member in (Member(members.own), *others):
        report = member.report
        heard = now - member.changed_at if member.changed_at else 0
        yield admin_pb2.NodeStatus(
            vm=report.vm,
            state=member.state.value,
            revision=report.revision,
            failure_domain=report.place.failure_domain,
            relay=report.relay,
            heard_ms=round(heard * _MS_PER_SECOND),
        )


def group_statuses(
    records: Iterable[GroupRecord],
    carried: Mapping[GroupName, GroupCarrier],
    carrier_of: Callable[[GroupName], VmId | None],
) -> Iterator[admin_pb2.GroupStatus]:
    """Describes groups; endpoints only of those carried here.

    Args:
        records: record of each group.
        carried: carriers at this node.
        carrier_of: gives the VM that carries a group.

    Yields:
        A description of each group.
    """
    for record in records:
        carrier = carried.get(record.group)
        yield admin_pb2.GroupStatus(
            group=record.group,
            term=record.term,
            primary=record.primary,
            carrier=carrier_of(record.group) or '',
            endpoints=(
                [
                    endpoint_status(carrier.tracker, endpoint)
                    for endpoint in carrier.tracker.controls
                ]
                if carrier
                else []
            ),
        )


def endpoint_status(
    tracker: Tracker,
    endpoint: EndpointId,
) -> admin_pb2.EndpointStatus:
    """Describes an endpoint as it was last heard.

    Args:
        tracker: samples of its group.
        endpoint: the endpoint.

    Returns:
        Its description.
    """
    status = tracker.status(endpoint)
    if status is None:
        return admin_pb2.EndpointStatus(
            endpoint=endpoint,
            state='never heard',
            age_seconds=_UNKNOWN_AGE,
        )
    age = tracker.age(endpoint)
    silence = tracker.silence(endpoint)
    state = f'silent for {silence:.1f} s' if silence else 'live'
    return admin_pb2.EndpointStatus(
        endpoint=endpoint,
        role=status.role.value,
        term=status.term,
        position=status.mark.position,
        age_seconds=_UNKNOWN_AGE if age is None else age,
        state='leaving' if status.leaving else state,
    )


def impediments(carried: Mapping[GroupName, GroupCarrier]) -> Iterator[str]:
    """Says what cannot go on now.

    Args:
        carried: carriers at this node.

    Yields:
        A sentence for each group that takes no writes.
    """
    for name, carrier in carried.items():
        condition = carrier.health.condition
        refused = write_refusal(condition)
        if refused is not None:
            yield f'group {name}: writes are not run: {refused.detail}'
        elif condition is not Condition.SERVING:
            yield f'group {name}: {condition.value}'
